package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

func (i *instance) loggedConnEnds() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.connEnds...)
}

// startBreakingPortal starts an instance before a plain server that breaks its responses off after their first part.
func startBreakingPortal(t *testing.T) *instance {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = io.WriteString(w, strings.Repeat("x", 200_000))
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return startInstance(t, fleetConfig(nil, []string{strings.TrimPrefix(s.URL, "http://")}), proxy.Options{})
}

// readWhole reads a response.
func readWhole(t *testing.T, responses *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(responses, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against a connection that ends without an answer and of which no log tells who ended it, and in which phase of its
// request; and against such lines for connections whose requests were answered.
func TestEndsOfCallerConnectionsAreReported(t *testing.T) {
	slow := func(t *testing.T) *instance { return startSlowPortal(t, 300*time.Millisecond) }
	own := strings.Replace(plainRequest, "Host: h", "Host: h\r\nConnection: close", 1)
	for name, c := range map[string]struct {
		start func(*testing.T) *instance
		text  string
		// then goes on once text was sent and some time has passed.
		then     func(*testing.T, *instance, net.Conn)
		expected []string
	}{
		"the caller leaves without a request":     {start: slow, text: ""},
		"the caller leaves in the header":         {start: slow, text: plainRequest[:30], expected: []string{"arriving caller-closed"}},
		"the caller leaves in the body":           {start: slow, text: plainRequest[:len(plainRequest)-1], expected: []string{"arriving caller-closed"}},
		"the caller leaves before the response":   {start: slow, text: plainRequest, expected: []string{"sent caller-closed"}},
		"the process ends before the response":    {slow, plainRequest, func(_ *testing.T, i *instance, _ net.Conn) { i.server.ReportUnanswered() }, []string{"sent grace-time-over"}},
		"the process ends in the header":          {slow, plainRequest[:30], func(_ *testing.T, i *instance, _ net.Conn) { i.server.ReportUnanswered() }, []string{"arriving grace-time-over"}},
		"the process ends on an idle connection":  {slow, "", func(_ *testing.T, i *instance, _ net.Conn) { i.server.ReportUnanswered() }, nil},
		"the response breaks off":                 {startBreakingPortal, plainRequest, func(_ *testing.T, _ *instance, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, []string{"responding broken-response"}},
		"the response closes before a second one": {slow, own + plainRequest, func(t *testing.T, _ *instance, conn net.Conn) { readWhole(t, bufio.NewReader(conn)) }, []string{"behind-another response-closes"}},
		"the response closes":                     {slow, own, func(t *testing.T, _ *instance, conn net.Conn) { readWhole(t, bufio.NewReader(conn)) }, nil},
		"two are answered": {slow, plainRequest + plainRequest, func(t *testing.T, _ *instance, conn net.Conn) {
			responses := bufio.NewReader(conn)
			readWhole(t, responses)
			readWhole(t, responses)
		}, nil},
		"a request that cannot be read is rejected": {slow, "GET\r\n\r\n", func(t *testing.T, _ *instance, conn net.Conn) { readWhole(t, bufio.NewReader(conn)) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := c.start(t)
			conn := dial(t, i.address)
			_, err := conn.Write([]byte(c.text))
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			if c.then != nil {
				c.then(t, i, conn)
			}
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return len(i.loggedConnEnds()) == len(c.expected) }, time.Second, pollInterval)
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, c.expected, i.loggedConnEnds())
		})
	}
}
