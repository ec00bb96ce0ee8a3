package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

const processPath = "/process"

// checkedDialect asks servers which process they are.
type checkedDialect struct{ routeDialect }

func (checkedDialect) ProcessPath() string { return processPath }

func (checkedDialect) SameProcess(body []byte, incarnation uint64) (same, known bool) {
	return string(body) == fmt.Sprint(incarnation), len(body) > 0
}

// startChecked starts an instance whose attempts must reach the servers' process 7.
func startChecked(t *testing.T, addresses ...string) *instance {
	t.Helper()
	cfg := fleetConfig(addresses, nil)
	for _, r := range silenceRoutes() {
		if r.Split[0].Service == cfg.Services[0].Name {
			cfg.Routes = append(cfg.Routes, r)
		}
	}
	i := startInstance(t, cfg, proxy.Options{Dialect: checkedDialect{}})
	i.process = &core.ProcessCheck{Incarnation: 7}
	return i
}

// Guards against waiting for the deadline when a server does not answer which process it is and another one can serve the
// request.
func TestHungProcessCheckDelaysRequestOnly(t *testing.T) {
	t.Parallel()
	script := streamScripts()[0]
	var asked, runs atomic.Int64
	serve := func(_ int, r *http.Request, conn net.Conn) bool {
		if r.URL.Path == processPath {
			if asked.Add(1) == 1 {
				_, _ = io.Copy(io.Discard, conn) // It answers nothing until its caller gives up.
				return false
			}
			respondOK(conn, "7")
			return true
		}
		runs.Add(1)
		_, err := io.WriteString(conn, strings.ReplaceAll(strings.Join(script.pieces, ""), "%RUN", "1"))
		return err == nil
	}
	i := startChecked(t, startRawBackend(t, serve).address, startRawBackend(t, serve).address)
	begun := time.Now()
	got := send(t, routeRequest("resumable")(t, i.url, "/x"))
	require.Less(t, time.Since(begun), routeTimeout/2)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.NoError(t, got.err)
	require.Equal(t, script.body, got.body)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against giving up a request, or a stream whose server has ended, because the servers that can go on with it are
// silent when they are asked which process they are.
func TestSilenceInProcessCheckEndsNothing(t *testing.T) {
	t.Run("a request", testSilentChecksOfRequest)
	t.Run("a stream under way", testSilentCheckOfStream)
}

func testSilentChecksOfRequest(t *testing.T) {
	t.Parallel()
	pausedUntil := time.Now().Add(silence)
	script := streamScripts()[0]
	serve := func(_ int, r *http.Request, conn net.Conn) bool {
		time.Sleep(time.Until(pausedUntil))
		if r.URL.Path == processPath {
			respondOK(conn, "7")
			return true
		}
		_, err := io.WriteString(conn, strings.ReplaceAll(strings.Join(script.pieces, ""), "%RUN", "1"))
		return err == nil
	}
	i := startChecked(t, startRawBackend(t, serve).address, startRawBackend(t, serve).address)
	got := send(t, routeRequest("resumable")(t, i.url, "/x"))
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.NoError(t, got.err)
	require.Equal(t, script.body, got.body)
}

func testSilentCheckOfStream(t *testing.T) {
	t.Parallel()
	script := streamScripts()[0]
	var runs atomic.Int64
	var pausedUntil atomic.Pointer[time.Time]
	serve := func(_ int, r *http.Request, conn net.Conn) bool {
		if until := pausedUntil.Load(); until != nil {
			time.Sleep(time.Until(*until))
		}
		switch {
		case r.URL.Path == processPath:
			respondOK(conn, "7")
			return true
		case runs.Add(1) == 1:
			_, _ = io.WriteString(conn, strings.ReplaceAll(strings.Join(script.pieces[:4], ""), "%RUN", "1"))
			time.Sleep(100 * time.Millisecond)
			until := time.Now().Add(silence)
			pausedUntil.Store(&until)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		default:
			_, err := io.WriteString(conn, strings.ReplaceAll(script.after(r.Header.Get(proxy.HeaderLastEventID)), "%RUN", "2"))
			return err == nil
		}
	}
	i := startChecked(t, startRawBackend(t, serve).address, startRawBackend(t, serve).address)
	got := send(t, routeRequest("resumable")(t, i.url, "/x"))
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.NoError(t, got.err)
	require.Equal(t, script.body, got.body)
}
