package proxy

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// chunkedLength is the HTTP library's content length of a body in chunks.
const chunkedLength = -1

// nextRequest tells whether a further request has begun to arrive on a connection before the response to the current one.
// The connection must then not be closed after that response: the caller would wait for the second one in vain.
type nextRequest struct {
	// taken is the number of bytes that the HTTP library has read beyond the requests that were processed.
	taken atomic.Int64
	// ahead is set while bytes that were read ahead wait for the library.
	ahead atomic.Bool
}

// readByLibrary records that the HTTP library read n bytes. While the connection is idle the library has none left.
func (r *nextRequest) readByLibrary(n int, idle bool) {
	if idle {
		r.taken.Store(0)
	}
	r.taken.Add(int64(n))
}

// processed records that a request is processed. What its chunks took is not known; what follows it then counts only once
// it is read ahead.
func (r *nextRequest) processed(req *fasthttp.Request) {
	if req.Header.ContentLength() == chunkedLength {
		r.taken.Store(0)
		return
	}
	size := headerBytes(&req.Header) + len(req.Body())
	r.taken.Store(max(0, r.taken.Load()-int64(size)))
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
