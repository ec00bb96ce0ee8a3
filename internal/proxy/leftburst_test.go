package proxy_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against requests that are sent to a server that was left, beside one with ample room, because the bound on a server's
// load counts the left one among those that share the load.
func TestLeftServerGetsNoPartOfABurst(t *testing.T) {
	t.Parallel()
	const burst, serveTime = 12, 300 * time.Millisecond
	p := routePath("once", "once")
	var slow atomic.Bool
	bad := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "this is not a head of a reply\r\n")
		return false
	})
	good := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
		if slow.Load() {
			time.Sleep(serveTime)
		}
		return p.respond(r, conn)
	})
	i := startInstance(t, endlessConfig(p, []string{bad.address, good.address}), proxy.Options{Dialect: p.options.Dialect})
	for n := 0; bad.requests.Load() < 2; n++ {
		_ = askOnce(p.request(t, i, n))
	}
	slow.Store(true)
	var group sync.WaitGroup
	var failed atomic.Int64
	for n := range burst {
		group.Go(func() {
			if got := askOnce(p.request(t, i, 1000+n)); got.status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	require.Zero(t, bad.requests.Load()-2, "requests at the server that was left; %d of %d failed", failed.Load(), burst)
}
