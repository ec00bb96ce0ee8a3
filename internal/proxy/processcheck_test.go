package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// checkedCall returns a call that must reach the process with incarnation 7, and a connection to a server
// with the given handler.
func checkedCall(t *testing.T, handler http.HandlerFunc) (*call, *backendConn) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	raw, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	c := &call{
		deadline: time.Now().Add(time.Second), process: &core.ProcessCheck{Incarnation: 7, KnownAsOf: time.Now().Add(-time.Second)},
		processPath: "/process", host: &fasthttp.HostClient{Addr: address}, responseID: Native{}.ResponseID,
		sameProcess: func(body []byte, incarnation uint64) (same, known bool) {
			return string(body) == fmt.Sprint(incarnation), len(body) > 0
		},
	}
	return c, &backendConn{Conn: raw, now: time.Now, openedAt: time.Now()}
}

func answerProcess(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }
}

// Guards against a stream that goes on at another process, with other software, that runs under the name of the
// server that the core has chosen.
func TestProcessCheckRejectsAnotherProcess(t *testing.T) {
	c, conn := checkedCall(t, answerProcess("8"))
	require.ErrorIs(t, c.checkProcess(conn), errProcessReplaced)
	require.False(t, c.processCertain)
}

// Guards against asking a server again on each request of a connection.
func TestProcessIsCheckedOncePerConnection(t *testing.T) {
	asked := 0
	c, conn := checkedCall(t, func(w http.ResponseWriter, r *http.Request) {
		asked++
		answerProcess("7")(w, r)
	})
	for range 3 {
		require.NoError(t, c.checkProcess(conn))
		require.True(t, c.processCertain)
	}
	require.Equal(t, 1, asked)
}

// Guards against probes on connections that can only lead to the expected process.
func TestProcessIsNotCheckedOnEarlierConnection(t *testing.T) {
	c, conn := checkedCall(t, answerProcess("8"))
	conn.openedAt = c.process.KnownAsOf.Add(-time.Second)
	require.NoError(t, c.checkProcess(conn))
	require.True(t, c.processCertain)
}

// Guards against refusing a server that does not tell its process, and against taking its word as certain.
func TestProcessCheckAcceptsServerThatDoesNotTell(t *testing.T) {
	c, conn := checkedCall(t, http.NotFound)
	require.NoError(t, c.checkProcess(conn))
	require.False(t, c.processCertain)
}

// Guards against a request that gets the server's report as its response, because a late response to an earlier request was taken
// for the report.
func TestProcessCheckRejectsLateResponse(t *testing.T) {
	c, conn := checkedCall(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderAnswers, "earlier")
		_, _ = fmt.Fprint(w, "an answer")
	})
	require.ErrorIs(t, c.checkProcess(conn), errLateResponse)
}

// Guards against believing a refusal without an ID on a connection on which the server's report was requested: it may be a late
// copy of the answer to that.
func TestProcessCheckCountsAsCarried(t *testing.T) {
	c, conn := checkedCall(t, answerProcess("7"))
	require.NoError(t, c.checkProcess(conn))
	require.Equal(t, 1, conn.carried.count())
}

// Guards against waiting for the deadline when the server does not answer.
func TestProcessCheckTimesOut(t *testing.T) {
	release := make(chan struct{})
	c, conn := checkedCall(t, func(http.ResponseWriter, *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	startedAt := time.Now()
	require.Error(t, c.checkProcess(conn))
	require.Less(t, time.Since(startedAt), 900*time.Millisecond)
}

// Guards against a check of a silent server that lasts on when another server has answered the request.
func TestCancelEndsProcessCheck(t *testing.T) {
	release := make(chan struct{})
	c, conn := checkedCall(t, func(http.ResponseWriter, *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	c.attempt = maxCheckDoublings
	require.NoError(t, c.attach(conn))
	startedAt := time.Now()
	time.AfterFunc(50*time.Millisecond, c.cancel)
	require.Error(t, c.checkProcess(conn))
	require.Less(t, time.Since(startedAt), 900*time.Millisecond)
}
