package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// exchange is one caller's request and its answer.
type exchange struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	id      core.RequestID
	path    string
	effects chan core.Effect
}

// newClient returns a client that never sends a request twice by itself.
func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		StreamResponseBody:            true,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

func (x *exchange) run(arrived core.RequestArrived) {
	x.effects = x.server.register(x.id)
	x.server.post(arrived)
	for effect := range x.effects {
		switch e := effect.(type) {
		case core.SendAttempt:
			if x.attempt(e) {
				return
			}
		case core.Finish:
			x.finish(e)
			return
		}
	}
}

// attempt sends the request once and tells whether an answer has begun.
func (x *exchange) attempt(e core.SendAttempt) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	x.ctx.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(x.ctx.PostBody())
	req.SetRequestURI("http://" + e.Address + x.path)
	req.URI().SetQueryStringBytes(x.ctx.URI().QueryString())
	if err := x.server.client.DoDeadline(req, resp, e.Deadline); err != nil {
		x.ended(e, retry.Unknown, err)
		return false
	}
	x.answer(e, resp)
	return true
}

func (x *exchange) ended(e core.SendAttempt, outcome retry.Outcome, err error) {
	event := core.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: outcome}
	if err != nil {
		event.Detail = err.Error()
	}
	x.server.post(event)
}

// answer passes the backend server's answer on as it arrives.
func (x *exchange) answer(e core.SendAttempt, resp *fasthttp.Response) {
	out := &x.ctx.Response
	out.SetStatusCode(resp.StatusCode())
	out.Header.SetContentTypeBytes(resp.Header.ContentType())
	out.Header.Set(HeaderRequestID, string(x.id))
	out.Header.Set(HeaderBackend, e.Backend)
	out.Header.Set(HeaderOutcome, "answered")
	out.Header.Set(HeaderPlacement, e.Placement)
	out.ImmediateHeaderFlush = true
	x.server.post(core.AnswerStarted{Request: e.Request, Attempt: e.Attempt})
	out.SetBodyStream(&answerReader{exchange: x, attempt: e, resp: resp, body: bodyOf(resp)}, -1)
}

func bodyOf(resp *fasthttp.Response) io.Reader {
	if stream := resp.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(resp.Body())
}

// answerReader reads a backend server's answer and reports its end to the core.
type answerReader struct {
	exchange *exchange
	attempt  core.SendAttempt
	resp     *fasthttp.Response
	body     io.Reader
	done     bool
}

// Read passes bytes on. An error leaves the final chunk out, so that the caller
// cannot take a broken answer for a whole one.
func (r *answerReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil || r.done {
		return n, err
	}
	r.done = true
	r.exchange.server.forget(r.exchange.id)
	if err == io.EOF {
		r.exchange.ended(r.attempt, retry.Answered, nil)
		return n, io.EOF
	}
	r.exchange.ended(r.attempt, retry.Broken, err)
	return n, fmt.Errorf("proxy: answer of %s: %w", r.attempt.Backend, err)
}

// Close is called when the answer is written or the caller has gone.
func (r *answerReader) Close() error {
	if !r.done {
		r.done = true
		r.exchange.server.forget(r.exchange.id)
		r.exchange.ended(r.attempt, retry.Broken, io.ErrClosedPipe)
	}
	return r.resp.CloseBodyStream()
}

// finish writes the fleet's own final answer.
func (x *exchange) finish(e core.Finish) {
	x.server.forget(x.id)
	var body errorBody
	body.Error.Message = fmt.Sprintf("request %s: %s", x.id, e.Reason)
	body.Error.Type = e.Outcome
	body.Error.Code = e.Reason
	text, _ := json.Marshal(body)
	out := &x.ctx.Response
	out.SetStatusCode(e.Status)
	out.Header.SetContentType("application/json")
	out.Header.Set(HeaderRequestID, string(x.id))
	out.Header.Set(HeaderOutcome, string(e.Outcome))
	out.Header.Set(HeaderReason, string(e.Reason))
	if e.RetryAfter > 0 {
		out.Header.Set("Retry-After", seconds(e.RetryAfter))
	}
	out.SetBodyRaw(text)
}

func seconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
