package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against leaving a sound server because its short answers take some time.
func TestSlowShortAnswersAreNoFault(t *testing.T) {
	t.Parallel()
	p := routePath("idempotent", "idempotent")
	requireKept(t, p, func(_ int, r *http.Request, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n", statusOK, sealedFields(r), 20)
		for range 20 {
			_, _ = io.WriteString(conn, "x")
			time.Sleep(50 * time.Millisecond)
		}
		return err == nil
	})
}
