package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against cutting off a whole answer of a sound server because it is long.
func TestLongSoundAnswersArrive(t *testing.T) {
	t.Parallel()
	const piece = 1 << 20
	for name, c := range map[string]struct {
		pieces  int
		chunked bool
	}{
		"31 MB in chunks":     {31, true},
		"33 MB in chunks":     {33, true},
		"63 MB with a length": {63, false},
		"65 MB with a length": {65, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				text, head, end := strings.Repeat("x", piece), fmt.Sprintf("Content-Length: %d\r\n\r\n", c.pieces*piece), ""
				if c.chunked {
					text, head, end = chunk(text), "Transfer-Encoding: chunked\r\n\r\n", lastChunk
				}
				_, _ = io.WriteString(conn, statusOK+head)
				for range c.pieces {
					if _, err := io.WriteString(conn, text); err != nil {
						return false
					}
				}
				_, err := io.WriteString(conn, end)
				return err == nil
			})
			i := startInstance(t, fleetConfig(nil, []string{b.address}), proxy.Options{})
			resp, err := singleUse.Do(newCall(t, http.MethodGet, i.url+"/services/portal/x", "", nil))
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, resp.Body.Close())
			require.NoError(t, err, "after %d bytes", n)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, int64(c.pieces*piece), n)
		})
	}
}
