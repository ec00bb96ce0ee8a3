package proxy

import (
	"bytes"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// headScanner finds the empty line that ends the header of a request. The connection returns no byte behind an empty line
// together with it, so that the HTTP library holds nothing of the body or of the next request.
type headScanner struct {
	// inLine is set while the current line has a byte other than its end, and begun once a line of the request had one.
	inLine, begun bool
	// ends is the number of empty lines since begun was set, and behind is set if a byte has followed the last of them.
	ends   int
	behind bool
}

// next returns the number of the bytes of b up to and including the next empty line, or all of them if there is none.
func (s *headScanner) next(b []byte) int {
	for n, c := range b {
		s.behind = true
		switch {
		case c == '\n' && !s.inLine:
			if s.begun {
				s.ends++
				s.behind = false
			}
			return n + 1
		case c == '\n':
			s.inLine = false
		case c != '\r':
			s.inLine, s.begun = true, true
		}
	}
	return len(b)
}

// ended reports whether the bytes so far are one whole header.
func (s *headScanner) ended() bool { return s.ends == 1 && !s.behind }

// nextRequest tells whether a further request has begun to arrive on a connection before the response to the current one.
// The connection must then not be closed after that response: the caller would wait for the second one in vain.
type nextRequest struct{ ahead atomic.Bool }

// set records the bytes that were read beyond the requests that were processed. Empty lines may precede a request.
func (r *nextRequest) set(ahead []byte) { r.ahead.Store(len(bytes.TrimLeft(ahead, lineEnd)) > 0) }

// waits reports whether a further request has begun to arrive.
func (r *nextRequest) waits() bool { return r.ahead.Load() }

// announceClose asks the caller to close the connection after this response, if the load balancer must not send new requests.
func (s *Server) announceClose(ctx *fasthttp.RequestCtx) {
	if !s.notReady.Load() {
		return
	}
	if c, ok := ctx.Conn().(*callerConn); ok && c.next.waits() {
		return
	}
	ctx.SetConnectionClose()
}
