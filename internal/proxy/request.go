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

// BadRequestf is the rejection of a request that cannot be understood.
func BadRequestf(format string, args ...any) *Rejection {
	return &Rejection{Status: http.StatusBadRequest, Why: reason.BadRequest, Text: fmt.Sprintf(format, args...)}
}

// reject answers a request that never reached the core.
func (s *Server) reject(ctx *fasthttp.RequestCtx, id core.RequestID, rejected *Rejection) {
	s.record(&core.Finish{
		Request: id,
		Outcome: reason.NotRun,
		Reason:  rejected.Why,
	}, rejected.Text)
	s.options.Dialect.WriteRejection(&ctx.Response, id, rejected)
}

// badRequest answers what the HTTP library could not read. The library closes the
// connection afterwards, for where the next request begins is not known.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	rejected := BadRequestf("the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		rejected = &Rejection{http.StatusRequestHeaderFieldsTooLarge, reason.TooLarge, "the header is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		rejected = &Rejection{http.StatusRequestEntityTooLarge, reason.TooLarge, "the body is too large"}
	case isTimeout(err):
		rejected = &Rejection{http.StatusRequestTimeout, reason.BadRequest, "the request came too slowly"}
	}
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.leaveUnread()
	}
	s.reject(ctx, s.nextID(), rejected)
}

// headerBytes is the size of a request's first line and headers as they came.
func headerBytes(h *fasthttp.RequestHeader) int {
	const protocol = len("  HTTP/1.1\r\n")
	return len(h.Method()) + len(h.RequestURI()) + protocol + len(h.RawHeaders())
}

// seconds rounds up, so that nobody comes back too early.
func seconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
