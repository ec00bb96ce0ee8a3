package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against waiting for the rest of a refusal from a server that falls silent in it, while another server would
// answer.
func TestSilenceInRefusalDelaysNothing(t *testing.T) {
	for _, path := range []string{"/once/x", "/idempotent/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			serve := func(_ int, _ *http.Request, conn net.Conn) bool {
				if requests.Add(1) > 1 {
					respondOK(conn, "answer")
					return true
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: true\r\nContent-Length: 10\r\n\r\nhalf", proxy.HeaderNotStarted)
				_, _ = io.Copy(io.Discard, conn) // It sends nothing more until its caller gives up.
				return false
			}
			cfg := fleetConfig(nil, []string{startRawBackend(t, serve).address, startRawBackend(t, serve).address})
			cfg.Routes = silenceRoutes()[2:]
			i := startInstance(t, cfg, proxy.Options{Dialect: routeDialect{}})
			begun := time.Now()
			got := send(t, newCall(t, http.MethodGet, i.url+path, "", nil))
			require.Equal(t, "answer", got.body)
			require.Less(t, time.Since(begun), time.Second)
		})
	}
}
