package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against refusing the header of a long answer, which brings no body.
func TestHeaderOfLongAnswerIsAnswered(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"200 OK", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", status, int64(proxy.DefaultMaxResponse)+1)
				return err == nil
			})
			i := startInstance(t, fleetConfig(nil, []string{b.address}), proxy.Options{})
			method := http.MethodHead
			if status != "200 OK" {
				method = http.MethodGet
			}
			got := send(t, newCall(t, method, i.url+"/services/portal/x", "", nil))
			require.Equal(t, status[:3], fmt.Sprint(got.status))
		})
	}
}
