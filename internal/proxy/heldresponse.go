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
func (a *attemptResponse) holdFailure() {
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedBody+1))
	switch {
	case err != nil, len(body) <= maxBufferedBody:
	case a.call.length < 0, a.call.length > maxUnreadLength:
		err = errNoEnd
	default:
		err = errLongFailure
	}
	if err != nil {
		a.abort(retry.Broken, "", fmt.Errorf("%w with an incomplete body: %w", errBackendFailure, err))
		return
	}
	held := &heldResponse{body: body, send: a.attempt}
	a.resp.Header.CopyTo(&held.header)
	a.exchange.holdFailure(held)
	a.close(true)
	a.reportEnd(core.AttemptEnded{Outcome: retry.Failed}, errBackendFailure)
}

// write sends the held response to the caller.
func (h *heldResponse) write(x *exchange) {
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &h.header, x.request, &h.send)
	out.SetStatusCode(h.header.StatusCode())
	out.SetBodyRaw(h.body)
}
