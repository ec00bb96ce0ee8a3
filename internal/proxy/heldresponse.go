package proxy

import (
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// heldResponse is a whole failure response that is buffered until the core decides
// whether another attempt follows.
type heldResponse struct {
	header fasthttp.ResponseHeader
	body   []byte
	send   core.SendAttempt
}

// holdFailure reads a failure response to its end and reports it. A response that is
// cut off, or too large to buffer, is reported as broken.
func (r *callerResponse) holdFailure() {
	body, err := io.ReadAll(io.LimitReader(r.call, maxBufferedBody+1))
	if err != nil || len(body) > maxBufferedBody {
		r.abortAttempt(retry.Broken, "", fmt.Errorf("%w with an incomplete body: %w", errBackendFailure, err))
		return
	}
	held := &heldResponse{body: body, send: r.attempt}
	r.resp.Header.CopyTo(&held.header)
	r.heldFailure = held
	r.closeCall(true)
	r.reportEnd(core.AttemptEnded{Outcome: retry.Failed}, errBackendFailure)
}

// write sends the held response to the caller.
func (h *heldResponse) write(x *exchange) {
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &h.header, x.request, &h.send)
	out.SetStatusCode(h.header.StatusCode())
	out.SetBodyRaw(h.body)
}
