package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// quickStop makes a stopping instance close its listener and idle connections long before a silence is over.
func quickStop(o proxy.Options) proxy.Options {
	o.AcceptQuiet, o.DrainIdle = 50*time.Millisecond, 200*time.Millisecond
	return o
}

// Guards against a stop that ends answers whose servers are silent, or that does not wait for them.
func TestStopWaitsForSilentServers(t *testing.T) {
	for _, p := range silentPaths() {
		scripts := plainScripts()
		if p.stream {
			scripts = streamScripts()
		}
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for _, s := range scripts {
				t.Run(s.phase, func(t *testing.T) {
					t.Parallel()
					p := p
					p.options = quickStop(p.options)
					f := startSilentFleet(t, s, noOther)
					i := p.start(t, f)
					req := p.request(t, i.url, "/x")
					time.AfterFunc(300*time.Millisecond, func() { i.loop.Post(core.StopRequested{}) })
					got, err := call(req)
					require.NoError(t, err)
					require.NoError(t, got.err)
					require.Equal(t, s.body, got.body)
					waitClosed(t, i.stopped, "the instance stops")
				})
			}
		})
	}
}

func waitClosed(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		require.Fail(t, "timeout", what)
	}
}

// Guards against a stopping instance that takes a connection for idle on which a request is arriving slowly.
func TestStopWaitsForSlowRequest(t *testing.T) {
	const body = "a slow body"
	head := fmt.Sprintf("POST /services/portal/x HTTP/1.1\r\nHost: h\r\n%s: branch-recife\r\nContent-Length: %d\r\n\r\n", proxy.HeaderCustomer, len(body))
	for name, pieces := range map[string][]string{
		"inside the request line": {head[:3], head[3:] + body},
		"inside the header":       {head[:len(head)-20], head[len(head)-20:] + body},
		"before the body":         {head, body},
		"inside the body":         {head + body[:4], body[4:]},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection: %v", name, kept), func(t *testing.T) {
				t.Parallel()
				b := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
					respondOK(conn, r.Method)
					return true
				})
				i := startInstance(t, fleetConfig(nil, []string{b.address}), quickStop(proxy.Options{}))
				conn := dial(t, i.address)
				in := bufio.NewReader(conn)
				exchange := func(pieces ...string) string {
					for n, piece := range pieces {
						if n > 0 {
							i.loop.Post(core.StopRequested{})
							time.Sleep(silence)
						}
						_, err := io.WriteString(conn, piece)
						require.NoError(t, err)
					}
					resp, err := http.ReadResponse(in, nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.StatusCode)
					got, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					return string(got)
				}
				if kept {
					require.Equal(t, "POST", exchange(head+body))
				}
				require.Equal(t, "POST", exchange(pieces...))
				require.NoError(t, conn.Close())
				waitClosed(t, i.stopped, "the instance stops")
			})
		}
	}
}

// Guards against a stopping instance that cuts a response because its caller reads it slowly.
func TestStopWaitsForSlowCaller(t *testing.T) {
	long := strings.Repeat("long answer ", 2<<20)
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		respondOK(conn, long)
		return true
	})
	i := startInstance(t, fleetConfig(nil, []string{b.address}), quickStop(proxy.Options{}))
	conn := dial(t, i.address)
	_, err := io.WriteString(conn, "GET /services/portal/x HTTP/1.1\r\nHost: h\r\n"+proxy.HeaderCustomer+": branch-recife\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	i.loop.Post(core.StopRequested{})
	time.Sleep(3 * time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, got, len(long))
	require.NoError(t, conn.Close())
	waitClosed(t, i.stopped, "the instance stops")
}
