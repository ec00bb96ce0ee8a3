package proxy

import (
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// heldAnswer is a whole failure response that is buffered until the core decides
// whether another attempt follows.
type heldAnswer struct {
	header fasthttp.ResponseHeader
	body   []byte
	send   core.SendAttempt
}

// holdFailure reads a failure response to its end and reports it. A response that is
// cut, or too large to buffer, is reported as broken.
func (r *answer) holdFailure() {
	body, err := io.ReadAll(io.LimitReader(r.call, wholeBody+1))
	if err != nil || len(body) > wholeBody {
		r.lost(retry.Broken, "", fmt.Errorf("%w with an incomplete body: %w", errFailed, err))
		return
	}
	held := &heldAnswer{body: body, send: r.send}
	r.resp.Header.CopyTo(&held.header)
	r.failure = held
	r.closeCall(true)
	r.end(core.AttemptEnded{Outcome: retry.Failed}, errFailed)
}

// write sends the held response to the caller.
func (h *heldAnswer) write(x *exchange) {
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &h.header, x.request, &h.send)
	out.SetStatusCode(h.header.StatusCode())
	out.SetBodyRaw(h.body)
}
