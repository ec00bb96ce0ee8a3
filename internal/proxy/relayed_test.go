package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// fixedRelay relays every connection to one address.
type fixedRelay struct{ address string }

// DialContext implements proxy.RelayDialer.
func (r fixedRelay) DialContext(ctx context.Context, _ core.PeerAddress, _ string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", r.address)
}

// unframedDialect accepts responses whose end is the close of the connection.
type unframedDialect struct{ proxy.Native }

func (d unframedDialect) ReadHead(h *fasthttp.ResponseHeader, r *proxy.Request, e *core.SendAttempt, now time.Time) proxy.Head {
	head := d.Native.ReadHead(h, r, e, now)
	head.AllowUnframed = true
	return head
}

// unframedBackend answers every request with a response without a length.
func unframedBackend(t *testing.T) string {
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
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it")
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// Guards against a response that ends with the process of a relay and is taken for a whole one.
func TestResponseWithoutLengthIsNotWholeOverARelay(t *testing.T) {
	backend := unframedBackend(t)
	get := func(i *instance) error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, i.url+"/services/portal/x", nil)
		require.NoError(t, err)
		req.Header.Set("Ebonydyke-Customer", "branch-recife")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_, readErr := io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		return readErr
	}
	direct := startInstance(t, fleetConfig(nil, []string{backend}), proxy.Options{Dialect: unframedDialect{}})
	require.NoError(t, get(direct))
	relayed := startInstance(t, fleetConfig(nil, []string{closedAddress(t)}), proxy.Options{Dialect: unframedDialect{}, Relays: fixedRelay{backend}})
	relayed.relays = []core.PeerAddress{{Name: "entry-2"}}
	require.Error(t, get(relayed), "the response is visibly cut off")
	require.Equal(t, reason.Unknown, relayed.lastFinish().Outcome, "it may have run")
	require.Positive(t, relayed.dials(proxy.Relayed))
}
