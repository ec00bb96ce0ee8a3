package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// effectQueue holds the effects of one request: at most an attempt and a final
// answer wait at a time, for an attempt follows only on the end of the last.
const effectQueue = 4

// exchange is one caller's request and its answer.
type exchange struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	id      core.RequestID
	request *Request
	begun   time.Time
	effects chan core.Effect
	answer  *answer
	unwatch func()

	mu sync.Mutex
	// current is the call of the running attempt.
	current *call
	attempt int
	// cancelled is the last attempt that nobody waits for.
	cancelled int
	// over is set once the core gave the final answer.
	over bool
}

func newExchange(s *Server, ctx *fasthttp.RequestCtx, r *Request) *exchange {
	x := &exchange{
		server:  s,
		ctx:     ctx,
		id:      r.Arrived.Request,
		request: r,
		begun:   time.Now(),
		effects: make(chan core.Effect, effectQueue),
		unwatch: func() {},
	}
	x.answer = &answer{exchange: x}
	return x
}

// run carries a request from its arrival to the first byte of its answer.
func (x *exchange) run() {
	x.server.register(x)
	if c, ok := x.ctx.Conn().(*callerConn); ok {
		x.unwatch = c.watch(func() { x.server.post(core.CallerGone{Request: x.id}) })
	}
	x.server.post(x.request.Arrived)
	for effect := range x.effects {
		switch e := effect.(type) {
		case core.SendAttempt:
			if x.answer.open(e) {
				x.answer.begin()
				return
			}
		case core.Finish:
			x.finish(e)
			return
		}
	}
}

// deliver takes an effect from the core's goroutine.
func (x *exchange) deliver(effect core.Effect) {
	switch e := effect.(type) {
	case core.CancelAttempt:
		x.cut(e.Attempt, false)
		return
	case core.Finish:
		x.cut(e.Attempt, true)
	}
	select {
	case x.effects <- effect:
	default:
		// The queue holds more than the core may send, so this is never reached;
		// to block here would stop every other request.
	}
}

// cut ends the running call, so that its goroutine comes back for what is next.
func (x *exchange) cut(attempt int, over bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = x.over || over
	x.cancelled = max(x.cancelled, attempt)
	if x.current != nil && (over || x.attempt <= x.cancelled) {
		x.current.cancel()
	}
}

// enter makes c the running call. It is cancelled at once if nobody waits for it.
func (x *exchange) enter(attempt int, c *call) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.current, x.attempt = c, attempt
	if x.over || attempt <= x.cancelled {
		c.cancel()
	}
}

// ended reports the end of an attempt.
func (x *exchange) ended(event core.AttemptEnded, err error) {
	event.Request = x.id
	if err != nil {
		event.Detail = err.Error()
	}
	x.server.log.put("attempt ended", "request", x.id, "attempt", event.Attempt, "backend", x.answer.send.Backend,
		"outcome", event.Outcome, "status", x.answer.status, "sinceArrivalMs", time.Since(x.begun).Milliseconds(),
		"firstMs", x.answer.first.Milliseconds(), "lastEvent", x.answer.sequence.last, "dialled", x.answer.dialled, "error", event.Detail)
	x.server.post(event)
}

// leave ends the exchange's part in the server.
func (x *exchange) leave() {
	x.unwatch()
	x.server.forget(x.id)
}

// finish writes the final answer: the failure that a backend server answered, or the
// fleet's own.
func (x *exchange) finish(e core.Finish) {
	x.answer.abandon()
	x.leave()
	if e.ForwardFailure && x.answer.failure != nil {
		x.answer.failure.write(x)
		return
	}
	x.server.options.Dialect.WriteFinal(&x.ctx.Response, x.request, &e)
}

// newRequest builds the request of one attempt.
func (x *exchange) newRequest(e *core.SendAttempt) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	left := e.Deadline.Sub(x.server.options.Now())
	x.server.options.Dialect.WriteAttempt(req, &x.ctx.Request, e, left)
	req.SetRequestURI("http://" + e.Address + x.request.Target)
	if body := x.ctx.PostBody(); len(body) > 0 {
		req.SetBodyRaw(body)
	}
	return req
}

// outcomeOf types the end of a call that brought no answer. One byte handed to
// the kernel may have reached the backend server, whatever failed after it.
func outcomeOf(c *call) retry.Outcome {
	if c.sent() {
		return retry.Unknown
	}
	return retry.NotSent
}

// finishReason is for the error that ends a broken answer's body.
func finishReason(e core.Finish) error {
	why := e.Reason
	if why == reason.None {
		why = reason.BrokenStream
	}
	return fmt.Errorf("proxy: answer ended early: %s", why)
}
