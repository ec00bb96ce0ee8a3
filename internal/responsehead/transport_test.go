package responsehead_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/responsehead"
	"github.com/ebonydyke/ebonydyke/test/heads"
)

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// Guards against a client of the standard library that believes a head that breaks the protocol.
func TestTransportRefusesBrokenHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Broken() {
		for _, bytewise := range []bool{false, true} {
			s := &heads.Server{Text: h.Text(usualStatus, usualFields, usualBody), Bytewise: bytewise}
			s.Start(t)
			client := newClient(t)
			for n := range 2 {
				_, err := client.Post("http://"+s.Address, "text/plain", strings.NewReader("a request"))
				require.Error(t, err, h.Name)
				if !bytewise {
					require.ErrorIs(t, err, responsehead.ErrMalformed, h.Name)
				}
				require.EqualValues(t, n+1, s.Requests.Load(), h.Name)
				require.EqualValues(t, n+1, s.Connections.Load(), "%s: connections that are not used again", h.Name)
			}
		}
	}
}

// Guards against turning away an unusual response, also one that comes before the request was read, and against a connection for
// each of them.
func TestTransportPassesUnusualHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Unusual() {
		for _, bytewise := range []bool{false, true} {
			for _, early := range []bool{false, true} {
				s := &heads.Server{Text: h.Text(usualStatus, usualFields, usualBody), Bytewise: bytewise, Early: early}
				s.Start(t)
				client := newClient(t)
				for range 3 {
					resp, err := client.Post("http://"+s.Address, "text/plain", strings.NewReader(strings.Repeat("x", 100<<10)))
					require.NoError(t, err, h.Name)
					body, err := io.ReadAll(resp.Body)
					require.NoError(t, err, h.Name)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, usualBody, string(body), h.Name)
					require.Equal(t, http.StatusOK, resp.StatusCode, h.Name)
				}
				if h.StatusLine != "HTTP/1.0 200 OK" && !early {
					require.EqualValues(t, 1, s.Connections.Load(), h.Name)
				}
			}
		}
	}
}

// Guards against reading the body of a response as a head.
func TestTransportChecksNoBodies(t *testing.T) {
	t.Parallel()
	const body = "X Y: z\r\n\r\nHTTP/1.1 000 OK\r\n\r\n"
	for _, framing := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		h := heads.Head{Framing: framing}
		text := h.Text(usualStatus, usualFields, body)
		if framing != "" {
			text = h.Text(usualStatus, usualFields, "1d\r\n"+body+"\r\n0\r\n\r\n")
		}
		for _, bytewise := range []bool{false, true} {
			s := &heads.Server{Text: text, Bytewise: bytewise}
			s.Start(t)
			client := newClient(t)
			for range 3 {
				resp, err := client.Get("http://" + s.Address)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, body, string(got))
			}
		}
	}
}
