package proxy_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Guards against a request that runs twice because one late response moves all later ones on the connection by one: the refusal
// of its first attempt is taken for the answer to the second.
func TestLateResponseDoesNotShiftLaterOnes(t *testing.T) {
	t.Parallel()
	const work = 20 * time.Millisecond
	var arrivals, runs atomic.Int64
	server := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
		id := fakeplatform.ReadAttempt(r).ID
		text := answerOf(id)
		if id == "refused" {
			if arrivals.Add(1) == 1 {
				_, _ = io.WriteString(conn, refusalOf("other"))
				text = refusalOf(id)
			} else {
				runs.Add(1)
			}
			time.Sleep(work)
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	send := serveOnce(t, &lateCopyServer{rawBackend: server})
	require.Equal(t, http.StatusOK, send("first").status)
	got := send("refused")
	require.Eventually(t, func() bool { return runs.Load() > 0 }, waitTimeout, pollInterval)
	time.Sleep(2 * work)
	require.EqualValues(t, 1, runs.Load(), "runs; status %d", got.status)
	require.Equal(t, http.StatusOK, got.status)
}
