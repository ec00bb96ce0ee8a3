package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Guards against a target that reaches the backend server changed, such as one that loses the question mark before an empty query.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	targets := make(chan string, 1)
	server := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
		targets <- r.RequestURI
		_, err := io.WriteString(conn, answerOf(fakeplatform.ReadAttempt(r).ID))
		return err == nil
	})
	path := routePath("once", "once")
	i := startInstance(t, endlessConfig(path, []string{server.address}), path.options)
	for _, target := range []string{
		"/once/x", "/once/x?", "/once/x?a", "/once/x??", "/once/x?a?b=?", "/once//y/../z?b=%20+", "/once/%41%2f?x", "/once/x?a=1&a=2&&", "/once/x;p?;",
	} {
		conn := dial(t, i.address)
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: x\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 9000\r\n\r\n", target, routeHost, endlessKey)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, target)
		require.Equal(t, http.StatusOK, resp.StatusCode, target)
		require.Equal(t, target, <-targets)
	}
}
