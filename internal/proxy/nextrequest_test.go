package proxy_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// plainRequest is a request to the plain service, with a body of three bytes.
const plainRequest = "POST /services/portal/x HTTP/1.1\r\nHost: h\r\nEbonydyke-Customer: branch-recife\r\nContent-Length: 3\r\n\r\nabc"

// startSlowPortal starts an instance before a plain server that answers after delay.
func startSlowPortal(t *testing.T, delay time.Duration) *instance {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(delay)
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return startInstance(t, fleetConfig(nil, []string{strings.TrimPrefix(s.URL, "http://")}), proxy.Options{DrainIdle: time.Minute})
}

// Guards against an instance that is not ready and keeps a connection open, or closes one on which a further request waits
// that then gets nothing, because it mistakes where a request ends.
func TestResponseClosesConnectionUnlessRequestWaits(t *testing.T) {
	lines := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	head := "Host: h\nEbonydyke-Customer: branch-recife\n"
	for name, c := range map[string]struct {
		writes []string
		// closes tells which of the responses must ask the caller to close the connection.
		closes []bool
	}{
		"one request":              {[]string{plainRequest}, []bool{true}},
		"without a body":           {[]string{lines("GET /services/portal/x HTTP/1.1\n" + head + "\n")}, []bool{true}},
		"in pieces":                {[]string{plainRequest[:20], plainRequest[20:60], plainRequest[60 : len(plainRequest)-1], plainRequest[len(plainRequest)-1:]}, []bool{true}},
		"with spaces in fields":    {[]string{lines("GET /services/portal/x?a=b HTTP/1.1\nHost:   h  \nEbonydyke-Customer:branch-recife\nX-Other: \n\n")}, []bool{true}},
		"an absolute target":       {[]string{lines("GET http://h/services/portal/x HTTP/1.1\n" + head + "\n")}, []bool{true}},
		"in chunks":                {[]string{lines("POST /services/portal/x HTTP/1.1\n" + head + "Transfer-Encoding: chunked\n\n3\nabc\n0\n\n")}, []bool{true}},
		"behind an empty line":     {[]string{"\r\n" + plainRequest}, []bool{true}},
		"rejected":                 {[]string{lines("GET /unknown HTTP/1.1\n" + head + "\n")}, []bool{true}},
		"two in one write":         {[]string{plainRequest + plainRequest}, []bool{false, true}},
		"three in one write":       {[]string{plainRequest + plainRequest + plainRequest}, []bool{false, false, true}},
		"the second before":        {[]string{plainRequest, plainRequest}, []bool{false, true}},
		"the second in pieces":     {[]string{plainRequest + plainRequest[:9], plainRequest[9:]}, []bool{false, true}},
		"the second is long":       {[]string{plainRequest, strings.Replace(plainRequest, "3\r\n\r\nabc", "9000\r\n\r\n"+strings.Repeat("x", 9000), 1)}, []bool{false, true}},
		"the second behind chunks": {[]string{lines("POST /services/portal/x HTTP/1.1\n" + head + "Transfer-Encoding: chunked\n\n3\nabc\n0\n\n"), plainRequest}, []bool{false, true}},
		"the second with chunks":   {[]string{lines("POST /services/portal/x HTTP/1.1\n"+head+"Transfer-Encoding: chunked\n\n3\nabc\n0\n\n") + plainRequest}, []bool{false, true}},
		"two in chunks":            {[]string{lines("POST /services/portal/x HTTP/1.1\n"+head+"Transfer-Encoding: chunked\n\n3\nabc\n0\n\n") + lines("POST /services/portal/x HTTP/1.1\n"+head+"Transfer-Encoding: chunked\n\n3\nabc\n0\n\n")}, []bool{false, true}},
		"two behind chunks":        {[]string{lines("POST /services/portal/x HTTP/1.1\n"+head+"Transfer-Encoding: chunked\n\n3\nabc\n0\n\n") + plainRequest + plainRequest}, []bool{false, false, true}},
		"before an empty line":     {[]string{plainRequest + "\r\n"}, []bool{true}},
		"with trailers":            {[]string{lines("POST /services/portal/x HTTP/1.1\n" + head + "Transfer-Encoding: chunked\n\n3\nabc\n0\nX-Sum: 1\n\n")}, []bool{true}},
		"the second is rejected":   {[]string{plainRequest + lines("GET /unknown HTTP/1.1\n"+head+"\n")}, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := startSlowPortal(t, 150*time.Millisecond)
			i.server.SetReady(false)
			conn := dial(t, i.address)
			for _, text := range c.writes {
				_, err := conn.Write([]byte(text))
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
			responses := bufio.NewReader(conn)
			for n, closes := range c.closes {
				resp, err := http.ReadResponse(responses, nil)
				require.NoError(t, err, "response %d", n)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, closes, resp.Close, "response %d", n)
			}
			_, err := responses.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}
