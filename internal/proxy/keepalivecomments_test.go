package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against leaving a sound server because it sends comments while a request waits at it, although one that sends nothing
// for as long is kept.
func TestCommentsOfAWaitingStreamAreNoFault(t *testing.T) {
	t.Parallel()
	const steps, step = 8, 200 * time.Millisecond
	for name, text := range map[string]string{"nothing": "", "comments": chunk(": wait\n\n")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := routePath("resumable stream", "resumable")
			requireKept(t, p, func(_ int, r *http.Request, conn net.Conn) bool {
				_, err := io.WriteString(conn, p.fill(r, statusOK+eventFields+"Transfer-Encoding: chunked\r\n\r\n"))
				for range steps {
					time.Sleep(step)
					_, _ = io.WriteString(conn, text)
				}
				_, _ = io.WriteString(conn, chunk(soundEvents)+lastChunk)
				return err == nil
			})
		})
	}
}
