package proxy_test

import (
	"bufio"
	"bytes"
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

// longBody exceeds what the buffers between an instance and a backend server hold.
const longBody = 8 << 20

// lateReader accepts connections, but reads nothing from the first one for a while. It answers a request with the size of
// its body.
func lateReader(t *testing.T, runs *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if first {
					time.Sleep(silence)
				}
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				n, err := io.Copy(io.Discard, r.Body)
				if err == nil {
					runs.Add(1)
					respondOK(conn, fmt.Sprint(n))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against giving up a server that is paused before it has read the request, with full buffers.
func TestServerThatReadsLateIsNotLeft(t *testing.T) {
	for name, path := range map[string]string{
		"idempotent": "/idempotent/x", "non-idempotent": "/once/x", "native": "/services/portal/x",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			cfg := fleetConfig(nil, []string{lateReader(t, &runs)})
			cfg.Routes = silenceRoutes()[2:]
			o := proxy.Options{MaxBody: 2 * longBody}
			if name != "native" {
				o.Dialect = routeDialect{}
			}
			i := startInstance(t, cfg, o)
			req := newCall(t, http.MethodPost, i.url+path, "", headers{proxy.HeaderDeadline: nativeDeadline, proxy.HeaderIdempotent: "false"})
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, longBody))), longBody
			got := send(t, req)
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, fmt.Sprint(longBody), got.body)
			require.EqualValues(t, 1, runs.Load())
		})
	}
}
