package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against an instance that is killed for its memory, with all requests in progress, because many large bodies arrive at
// once; against a refusal that is not at once true; and against memory that is not returned, whatever way a request ends.
func TestBodiesTogetherAreBounded(t *testing.T) {
	t.Parallel()
	const size, budget = 1 << 20, 4 << 20
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", size),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addresses := startEngines(t, 1, time.Millisecond)
			i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{MaxBodies: budget, ReadTimeout: waitTimeout})
			require.Eventually(t, func() bool { return i.generation() == 1 }, waitTimeout, pollInterval)
			// Each sends all of its body but the end.
			var conns []net.Conn
			for range 3 {
				conn := dial(t, i.address)
				_, err := io.WriteString(conn, chatHead+head+strings.Repeat(" ", size-100))
				require.NoError(t, err)
				conns = append(conns, conn)
			}
			require.Eventually(t, func() bool { return i.server.BodyBytes() >= 3*(size-100) }, waitTimeout, pollInterval)
			resp, took := sendAndAwait(t, dial(t, i.address), chatHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, string(reason.NotRun), resp.Header.Get(proxy.HeaderOutcome))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Less(t, took, 2*time.Second)
			require.LessOrEqual(t, i.server.BodyBytes(), int64(budget))
			// A small request is served beside them.
			keepWithOneRequest(t, i, dial(t, i.address))
			for _, conn := range conns {
				require.NoError(t, conn.Close())
			}
			require.Eventually(t, func() bool { return i.server.BodyBytes() == 0 }, waitTimeout, pollInterval)
			body := `{"model":"underwriting","messages":[]}`
			resp, _ = sendAndAwait(t, dial(t, i.address), chatHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+body+strings.Repeat(" ", size-len(body)))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Eventually(t, func() bool { return i.server.BodyBytes() == 0 }, waitTimeout, pollInterval, "a served request returns its memory")
		})
	}
}
