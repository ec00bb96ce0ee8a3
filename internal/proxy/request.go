package proxy

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// BadRequestf returns a rejection with status 400 and a formatted message.
func BadRequestf(format string, args ...any) *Rejection {
	return &Rejection{Status: http.StatusBadRequest, Reason: reason.BadRequest, Message: fmt.Sprintf(format, args...)}
}

// reject writes the response to a request that did not reach the core.
func (s *Server) reject(ctx *fasthttp.RequestCtx, id core.RequestID, rejected *Rejection) {
	s.recordFinish(&core.Finish{
		Request: id,
		Outcome: reason.NotRun,
		Reason:  rejected.Reason,

		RetryAfter: rejected.RetryAfter,
	}, rejected.Message)
	s.options.Dialect.WriteRejection(&ctx.Response, id, rejected)
}

// rejectUnreadable writes the response to a request that the HTTP library could not read. The
// library then closes the connection, because the start of the next request is unknown.
func (s *Server) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	rejected := BadRequestf("the request cannot be read")
	c, ok := ctx.Conn().(*callerConn)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		rejected = &Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: reason.TooLarge, Message: "the header is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		rejected = &Rejection{Status: http.StatusRequestEntityTooLarge, Reason: reason.TooLarge, Message: "the body is too large"}
	case errors.Is(err, errNoBodyMemory):
		rejected = &Rejection{
			Status: http.StatusServiceUnavailable, Reason: reason.Overloaded, Message: "the bodies of other requests take all memory for them",
			RetryAfter: bodyRetryAfter,
		}
	case isTimeout(err), ok && c.hasTimedOut():
		rejected = &Rejection{Status: http.StatusRequestTimeout, Reason: reason.BadRequest, Message: "the request came too slowly"}
	}
	if ok {
		c.markUnread()
	}
	s.reject(ctx, s.nextID(), rejected)
}

// headerBytes returns the size of the request line and headers as received, including
// the blank line that ends them.
func headerBytes(h *fasthttp.RequestHeader) int {
	const protocol = len("  HTTP/1.1\r\n")
	return len(h.Method()) + len(h.RequestURI()) + protocol + len(h.RawHeaders())
}

// ceilSeconds formats d in whole seconds. It rounds up so that no caller retries too early.
func ceilSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
