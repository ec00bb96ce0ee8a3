package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// closeFramedDialect accepts responses whose end is the close of the connection, streams included.
type closeFramedDialect struct{ proxy.Native }

func (d closeFramedDialect) ReadHead(h *fasthttp.ResponseHeader, r *proxy.Request, e *core.SendAttempt, now time.Time) proxy.Head {
	head := d.Native.ReadHead(h, r, e, now)
	head.AllowUnframed = true
	head.Events = string(h.ContentType()) == "text/event-stream"
	head.BufferBody = !head.Events
	head.EndMarked = false
	return head
}

// endingBackend answers its first request with a head and a part of a body without a framing, closes the connection in
// order and, if it ends, refuses all later ones.
func endingBackend(t *testing.T, contentType, body string, ends bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				if ends {
					_ = l.Close()
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", contentType, body)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a response without a length or chunks that passes for whole because its server's end closes the
// connection in order.
func TestUnframedResponseOfServerThatEndsIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct{ contentType, body string }{
		"body":                {"text/plain", "half of it"},
		"empty body":          {"text/plain", ""},
		"stream after events": {"text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"stream in an event":  {"text/event-stream", "id: 1\ndata: a\n\nid: 2\nda"},
	} {
		for _, ends := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, ends: %v", name, ends), func(t *testing.T) {
				cfg := fleetConfig(nil, []string{endingBackend(t, c.contentType, c.body, ends)})
				cfg.Services[0].MaxAttempts = 1
				i := startInstance(t, cfg, proxy.Options{Dialect: closeFramedDialect{}})
				resp, err := http.DefaultClient.Do(newCall(t, "GET", i.url+"/services/portal/x", "", nil))
				require.NoError(t, err)
				_, readErr := io.Copy(io.Discard, resp.Body)
				require.NoError(t, resp.Body.Close())
				whole := resp.StatusCode == http.StatusOK && readErr == nil
				require.Equal(t, !ends && name != "stream in an event", whole)
			})
		}
	}
}
