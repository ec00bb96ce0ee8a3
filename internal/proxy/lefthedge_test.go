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

// Guards against a request that waits for its deadline at a silent server while the only other one is sound again and idle,
// because that one was left for bytes that were no response.
func TestLeftServerTakesOverFromSilentOne(t *testing.T) {
	t.Parallel()
	const firstHold = 2 * time.Second
	p := routePath("idempotent", "idempotent")
	for name, holds := range map[string]int{"never left": 0, "left once": 1, "left twice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var spoils, mute atomic.Bool
			spoils.Store(holds > 0)
			spoiling := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
				if spoils.Load() {
					_, _ = io.WriteString(conn, "this is not a head of a reply\r\n")
					return false
				}
				return p.respond(r, conn)
			})
			silent := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
				if mute.Load() {
					time.Sleep(2 * endlessDeadline)
				}
				return p.respond(r, conn)
			})
			i := startInstance(t, endlessConfig(p, []string{spoiling.address, silent.address}), proxy.Options{Dialect: p.options.Dialect})
			for n := range 100 * holds {
				if n%100 == 0 && n > 0 {
					time.Sleep(firstHold)
				}
				got := askOnce(p.request(t, i, n))
				require.Equal(t, http.StatusOK, got.status)
			}
			spoils.Store(false)
			mute.Store(true)
			before := silent.requests.Load()
			for n := 1000; silent.requests.Load() == before; n++ {
				began := time.Now()
				got := askOnce(p.request(t, i, n))
				require.Equal(t, http.StatusOK, got.status, fmt.Sprint(got, " after ", time.Since(began)))
				require.Less(t, time.Since(began), time.Second)
			}
		})
	}
}
