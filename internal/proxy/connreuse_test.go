package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// pastZoneSilence is longer than maxZoneSilence.
const pastZoneSilence = 400 * time.Millisecond

func respondKeepAlive(conn net.Conn, seconds int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=%d\r\n\r\nok", seconds)
}

// oneBackendConfig returns a configuration with one backend server and one attempt per request.
func oneBackendConfig(address string) config.Text {
	cfg := fleetConfig(nil, []string{address})
	cfg.Services[0].MaxAttempts = 1
	return cfg
}

// sendAtMostOnce sends a request that must run at most once.
func sendAtMostOnce(t *testing.T, i *instance) reply {
	t.Helper()
	return send(t, newCall(t, "POST", i.url+"/services/portal/x", "", headers{proxy.HeaderIdempotent: "false"}))
}

// Guards against a new connection for each request that must run at most once; on one day
// four connections were opened for five requests, each with a delay. Such requests must
// reuse one connection while its server keeps it open.
func TestAtMostOnceRequestsReuseConnection(t *testing.T) {
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		respondKeepAlive(conn, 10)
		return true
	})
	i := startInstance(t, oneBackendConfig(b.address), proxy.Options{})
	const requests = 5
	for range requests {
		require.Equal(t, "ok", sendAtMostOnce(t, i).body)
	}
	require.EqualValues(t, requests, b.requests.Load())
	require.Equal(t, 1, i.dials(proxy.NoneIdle))
}

// Guards against a request that is sent at the moment at which the server closes the idle
// connection: its outcome is unknown, and it cannot be retried. A connection must not be
// reused shortly before the idle timeout that its server announced.
func TestConnectionIsNotReusedNearServerIdleTimeout(t *testing.T) {
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		respondKeepAlive(conn, 1)
		return true
	})
	i := startInstance(t, oneBackendConfig(b.address), proxy.Options{})
	require.Equal(t, "ok", sendAtMostOnce(t, i).body)
	require.Equal(t, "ok", sendAtMostOnce(t, i).body)
	require.Equal(t, 1, i.dials(proxy.IdleTooLong))
}

// If a server announces no idle timeout, the BackendIdle setting applies.
func TestBackendIdleAppliesWithoutKeepAlive(t *testing.T) {
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		respondOK(conn, "ok")
		return true
	})
	long := startInstance(t, oneBackendConfig(b.address), proxy.Options{BackendIdle: time.Minute})
	require.Equal(t, "ok", sendAtMostOnce(t, long).body)
	require.Equal(t, "ok", sendAtMostOnce(t, long).body)
	require.Zero(t, long.dials(proxy.IdleTooLong))
	short := startInstance(t, oneBackendConfig(b.address), proxy.Options{BackendIdle: time.Millisecond})
	require.Equal(t, "ok", sendAtMostOnce(t, short).body)
	time.Sleep(10 * time.Millisecond)
	require.Equal(t, "ok", sendAtMostOnce(t, short).body)
	require.Equal(t, 1, short.dials(proxy.IdleTooLong))
}

// Guards against a request that is sent on a pooled connection to a zone which has been
// cut off silently: its caller would wait until the deadline and receive an unknown
// outcome. If the zone has been silent, a new connection must be opened instead. The
// dial fails, and the caller receives the outcome "not-run" at once.
func TestSilentZoneOpensNewConnection(t *testing.T) {
	b := startRawBackend(t, func(nth int, _ *http.Request, conn net.Conn) bool {
		if nth > 1 {
			time.Sleep(waitTimeout)
		}
		respondKeepAlive(conn, 10)
		return true
	})
	i := startInstance(t, oneBackendConfig(b.address), proxy.Options{})
	require.Equal(t, "ok", sendAtMostOnce(t, i).body)
	require.NoError(t, b.listener.Close())
	time.Sleep(pastZoneSilence)
	got := sendAtMostOnce(t, i)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, string(reason.NotRun), got.header.Get(proxy.HeaderOutcome))
	require.EqualValues(t, 1, b.requests.Load())
	require.Equal(t, 1, i.dials(proxy.ZoneSilent))
}
