package proxy

import (
	"bytes"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// maxTail is the number of the last bytes that are kept.
const maxTail = 8

// nextRequest tells whether a further request has begun to arrive on a connection before the response to the current one.
// The connection must then not be closed after that response: the caller would wait for the second one in vain.
type nextRequest struct {
	// taken is the number of bytes that the HTTP library has read beyond the requests that were processed.
	taken atomic.Int64
	// ahead is set while bytes that were read ahead wait for the library.
	ahead atomic.Bool
	// leading is set until a byte of a request has followed the empty lines that may precede it, and tail holds the last bytes
	// that were read. Only the goroutine that serves the connection uses them.
	leading bool
	tail    []byte
}

// readByLibrary records that the HTTP library has read bytes. While the connection is idle the library has none left.
func (r *nextRequest) readByLibrary(p []byte, idle bool) {
	if idle {
		r.taken.Store(0)
		r.leading = true
	}
	if r.leading {
		p = bytes.TrimLeft(p, "\r\n")
		r.leading = len(p) == 0
	}
	r.taken.Add(int64(len(p)))
	r.tail = append(r.tail, p...)
	r.tail = r.tail[max(0, len(r.tail)-maxTail):]
}

// processed records that a request is processed. If it came in several chunks, what they took is not known, and a further request
// may seem to wait: the connection is then closed once it is idle.
func (r *nextRequest) processed(req *fasthttp.Request) {
	left := max(0, int(r.taken.Load())-requestSize(req))
	if left <= len(r.tail) && len(bytes.Trim(r.tail[len(r.tail)-left:], lineEnd)) == 0 {
		left = 0 // Empty lines between requests.
	}
	r.taken.Store(int64(left))
}

// requestSize returns the size of a request as it was sent, if its body came with a length or in one chunk.
func requestSize(req *fasthttp.Request) int {
	size := headerBytes(&req.Header) + len(req.Body())
	if req.Header.ContentLength() != chunkedLength {
		return size
	}
	if n := len(req.Body()); n > 0 {
		size += len(strconv.FormatInt(int64(n), hexadecimal)) + 2*len(lineEnd)
	}
	size += len("0") + 2*len(lineEnd)
	for name := range req.Header.Trailers() {
		size += len(name) + len(": ") + len(req.Header.PeekBytes(name)) + len(lineEnd)
	}
	return size
}

// waits reports whether a further request has begun to arrive.
func (r *nextRequest) waits() bool { return r.ahead.Load() || r.taken.Load() > 0 }

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
