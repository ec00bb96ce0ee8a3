package proxy

import (
	"bytes"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

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
	// uncounted is set while taken counts bytes of chunks. Only that goroutine uses it.
	uncounted bool
}

// lastChunk is how a body in chunks ends, if it has no trailers.
const lastChunk = "0\r\n\r\n"

// readByLibrary records that the HTTP library has read bytes. While the connection is idle the library has none left.
func (r *nextRequest) readByLibrary(p []byte, idle bool) {
	if idle {
		r.taken.Store(0)
		r.leading, r.uncounted = true, false
	}
	if r.leading {
		p = bytes.TrimLeft(p, "\r\n")
		r.leading = len(p) == 0
	}
	r.taken.Add(int64(len(p)))
	r.tail = append(r.tail, p...)
	r.tail = r.tail[max(0, len(r.tail)-len(lastChunk)):]
}

// processed records that a request is processed. What its chunks took is not known; from then on the last bytes that were read
// tell whether a further request has begun.
func (r *nextRequest) processed(req *fasthttp.Request) {
	r.uncounted = r.uncounted || req.Header.ContentLength() == chunkedLength
	if !r.uncounted {
		size := headerBytes(&req.Header) + len(req.Body())
		r.taken.Store(max(0, r.taken.Load()-int64(size)))
		return
	}
	if bytes.HasSuffix(r.tail, requestEnd(req)) {
		r.taken.Store(0)
		r.uncounted = false
	}
}

// requestEnd returns the last bytes of a request as it was sent, if it has no trailers.
func requestEnd(req *fasthttp.Request) []byte {
	body := req.Body()
	switch {
	case req.Header.ContentLength() == chunkedLength:
		return []byte(lastChunk)
	case len(body) == 0:
		return []byte("\r\n\r\n")
	default:
		return body[max(0, len(body)-len(lastChunk)):]
	}
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
