package proxy_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against a request that is answered with bytes of an earlier one, because connections are used again to a server that has
// sent more than a response on one a moment after it.
func TestLateBytesEndReuseOfConnections(t *testing.T) {
	t.Parallel()
	const lateBy = 30 * time.Millisecond
	for name, late := range map[string]bool{"with the response": false, "a moment later": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			var served atomic.Int64
			b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				extra := served.Add(1) == 1
				text := answer
				if extra && !late {
					text += answer
				}
				_, err := io.WriteString(conn, text)
				if extra && late {
					time.AfterFunc(lateBy, func() { _, _ = io.WriteString(conn, answer) })
				}
				return err == nil
			})
			i := startInstance(t, fleetConfig(nil, []string{b.address}), proxy.Options{})
			for range 4 {
				require.Equal(t, "ok", send(t, newCall(t, http.MethodGet, i.url+"/services/portal/x", "", nil)).body)
				time.Sleep(2 * lateBy)
			}
			require.Equal(t, 4, i.dials(proxy.NoneIdle)+i.dials(proxy.ServerClosed)+i.dials(proxy.ZoneSilent), "connections opened")
		})
	}
}
