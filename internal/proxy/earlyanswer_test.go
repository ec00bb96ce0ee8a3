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
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// uploadSizes are sizes of requests of which the kernel's buffers take all, most, and little while the server reads nothing. The
// server's receive buffer, which grows only while it reads, takes none of them whole.
var uploadSizes = []int{200 << 10, 3 << 20, 12 << 20}

// earlyEnd is how a server ends a connection on which it has answered before it has read the request.
type earlyEnd struct {
	name string
	// pause precedes the end.
	pause time.Duration
	// halfCloses is set if the server first closes its side in order, and reads if it then reads the request.
	halfCloses, reads bool
	// resets is set if the server resets the connection in place of closing it.
	resets bool
}

// brokenEnds are ends in the middle of an answer.
func brokenEnds() []earlyEnd {
	var ends []earlyEnd
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 60 * time.Millisecond} {
		ends = append(ends,
			earlyEnd{name: fmt.Sprint("reset after ", pause), pause: pause, resets: true},
			earlyEnd{name: fmt.Sprint("closed after ", pause), pause: pause},
			earlyEnd{name: fmt.Sprint("half closed, then reset after ", pause), pause: pause, halfCloses: true, resets: true},
			earlyEnd{name: fmt.Sprint("half closed, then closed after ", pause), pause: pause, halfCloses: true},
			earlyEnd{name: fmt.Sprint("read, then reset after ", pause), pause: pause, reads: true, resets: true},
		)
	}
	return ends
}

func (e earlyEnd) end(r *http.Request, conn *net.TCPConn) {
	if e.halfCloses {
		_ = conn.CloseWrite()
	}
	time.Sleep(e.pause)
	if e.reads {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if e.resets {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}

// earlyPath is a way of a request whose answer comes early.
type earlyPath struct {
	name, route string
	relayed     bool
	// chunked is set if the caller sends the request in chunks, and reused if the connection to the server carried another one before.
	chunked, reused bool
}

var earlyPaths = []earlyPath{
	{name: "idempotent", route: "idempotent"}, {name: "once", route: "once"}, {name: "resumable", route: "resumable"}, {name: "stream", route: "stream"},
	{name: "idempotent, relayed", route: "idempotent", relayed: true}, {name: "stream, relayed", route: "stream", relayed: true},
	{name: "idempotent, in chunks", route: "idempotent", chunked: true},
	{name: "once, on a reused connection", route: "once", reused: true}, {name: "stream, on a reused connection", route: "stream", reused: true},
}

// path returns the path of a request with a body of the given size.
func (p earlyPath) path(size int) endlessPath {
	path := routePathOf(p.route, p.route, strings.Repeat("x", size))
	path.options.MaxBody = 2 * size
	return path
}

// startEarlyServer starts a server that answers the request with earlyID before it has read more than its head, and then ends the
// connection.
func (p earlyPath) startEarlyServer(t *testing.T, path endlessPath, end earlyEnd) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn), path, end)
		}
	}()
	return l.Addr().String()
}

func (p earlyPath) serve(conn *net.TCPConn, path endlessPath, end earlyEnd) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			_ = conn.Close()
			return
		}
		if fakeplatform.ReadAttempt(r).ID == earlyID {
			_, _ = io.WriteString(conn, path.fill(r, earlyAnswer(path)))
			end.end(r, conn)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		path.respond(r, conn)
	}
}

// earlyNumber and earlyID are the number and the ID of the request that is answered early.
const (
	earlyNumber = 2
	earlyID     = "0002"
)

// earlyAnswer is an answer without a length.
func earlyAnswer(p endlessPath) string {
	if p.stream {
		return statusOK + eventFields + "\r\n" + firstEvent
	}
	return statusOK + plainFields + "\r\nten bytes."
}

func (p earlyPath) ask(t *testing.T, size int, end earlyEnd) endlessReply {
	path := p.path(size)
	address, options := p.startEarlyServer(t, path, end), path.options
	if p.relayed {
		options.Relays = fixedRelay{address}
		address = closedAddress(t)
	}
	i := startInstance(t, endlessConfig(path, []string{address}), options)
	if p.relayed {
		i.relays = []core.PeerAddress{{Name: "entry-2"}}
	}
	if p.reused {
		require.Equal(t, path.whole(), askOnce(p.path(1).request(t, i, 1)).body)
	}
	req := path.request(t, i, earlyNumber)
	if p.chunked {
		req.ContentLength = -1
	}
	return askOnce(req)
}

// Guards against a caller that gets a part of an answer without a length as the whole one, because its server ends the connection
// while the request is still being sent.
func TestPartOfEarlyAnswerIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, p := range earlyPaths {
		for _, size := range uploadSizes {
			for _, end := range brokenEnds() {
				t.Run(fmt.Sprintf("%s/%d bytes/%s", p.name, size, end.name), func(t *testing.T) {
					t.Parallel()
					got := p.ask(t, size, end)
					looksWhole := got.status == http.StatusOK && got.err == nil
					require.False(t, looksWhole, "%q", got.body)
				})
			}
		}
	}
}

// Guards against turning away a whole answer without a length whose server reads the request only after it.
func TestWholeEarlyAnswerIsPassedOn(t *testing.T) {
	t.Parallel()
	for _, p := range earlyPaths {
		for _, size := range append([]int{0, 10}, uploadSizes...) {
			if p.relayed {
				continue // The close of a relayed connection ends no answer.
			}
			t.Run(fmt.Sprintf("%s/%d bytes", p.name, size), func(t *testing.T) {
				t.Parallel()
				got := p.ask(t, size, earlyEnd{pause: 5 * time.Millisecond, halfCloses: true, reads: true})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.True(t, strings.HasSuffix(earlyAnswer(p.path(size)), "\r\n\r\n"+got.body), "%q", got.body)
			})
		}
	}
}
