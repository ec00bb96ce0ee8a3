package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// soundRequests are sent after two odd responses, so many that a server which is kept gets some of them first.
	soundRequests = 24
	// oddResponses is the number of odd responses of a server.
	oddResponses = 2
)

// requireKept checks that a server whose first responses are odd but sound gets requests as others do.
func requireKept(t *testing.T, p endlessPath, odd rawHandler) {
	t.Helper()
	var sent atomic.Int64
	f := startEndlessFleet(t, p, endless{}, piecewise)
	_ = f.bad.listener.Close()
	other := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool { return p.respond(r, conn) })
	first := startRawBackend(t, func(nth int, r *http.Request, conn net.Conn) bool {
		if sent.Add(1) <= oddResponses {
			return odd(nth, r, conn)
		}
		return p.respond(r, conn)
	})
	f.instance = startInstance(t, endlessConfig(p, []string{first.address, other.address}), p.options)
	for n := 1; sent.Load() < oddResponses; n++ {
		require.Less(t, n, 100, "the server was not asked")
		_ = askOnce(p.request(t, f.instance, n))
	}
	before := first.requests.Load()
	for n := range soundRequests {
		got := askOnce(p.request(t, f.instance, 1000+n))
		require.Equal(t, http.StatusOK, got.status)
	}
	require.Positive(t, first.requests.Load()-before, "requests at the server after its odd responses")
}

// Guards against leaving a sound server because the body of its refusals is long.
func TestLongRefusalsAreNoFault(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100, 4095, 4096, 20000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			t.Parallel()
			p := routePath("idempotent", "idempotent")
			requireKept(t, p, func(_ int, r *http.Request, conn net.Conn) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: %d\r\n\r\n%s", platformRefusal(r), size, strings.Repeat("x", size))
				return err == nil
			})
		})
	}
}

// Guards against leaving a sound server because the bodies of its refusals come a moment after their heads.
func TestLateRefusalBodiesAreNoFault(t *testing.T) {
	t.Parallel()
	p := routePath("idempotent", "idempotent")
	requireKept(t, p, func(_ int, r *http.Request, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 4\r\n\r\n", platformRefusal(r))
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(conn, "busy")
		return err == nil
	})
}

// Guards against leaving a sound server because the bodies of its failures are long.
func TestLongFailuresAreNoFault(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100, 64 << 10, 64<<10 + 1} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			t.Parallel()
			p := routePath("idempotent", "idempotent")
			requireKept(t, p, func(_ int, r *http.Request, conn net.Conn) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: %d\r\n\r\n%s", sealedFields(r), size, strings.Repeat("x", size))
				return err == nil
			})
		})
	}
}
