package proxy

import (
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// effectQueueSize is the capacity of a request's effect queue. At most one attempt and
// one Finish wait at a time: a hedge does not wait here, and the core sends any other
// attempt only after all have ended.
const effectQueueSize = 4

// exchange is one caller's request and its response.
type exchange struct {
	server    *Server
	ctx       *fasthttp.RequestCtx
	id        core.RequestID
	request   *Request
	startedAt time.Time
	effects   chan core.Effect
	response  *callerResponse
	// responding is set once the response is written.
	responding atomic.Bool
	stopWatch  func()
	// left is set once the caller has disconnected, and leftReported is closed once the core has been told.
	left         atomic.Bool
	leftReported chan struct{}

	race *race
	// heldFailure is a failure response of a backend server. It is held until no
	// further attempt can return a better response.
	heldFailure atomic.Pointer[heldResponse]
}

func newExchange(s *Server, ctx *fasthttp.RequestCtx, r *Request) *exchange {
	x := &exchange{
		server:    s,
		ctx:       ctx,
		id:        r.Arrived.Request,
		request:   r,
		startedAt: time.Now(),
		effects:   make(chan core.Effect, effectQueueSize),
		stopWatch: func() {},

		leftReported: make(chan struct{}),
		race:         newRace(r.LastEventID),
	}
	x.response = &callerResponse{exchange: x, race: x.race}
	return x
}

// run processes a request from its arrival to the first byte of its response.
func (x *exchange) run() {
	x.server.register(x)
	if c, ok := x.ctx.Conn().(*callerConn); ok {
		c.state.process(x)
	}
	x.server.post(x.request.Arrived)
	if c, ok := x.ctx.Conn().(*callerConn); ok {
		x.stopWatch = c.watchClose(x.callerLeft)
	}
	if e := x.response.awaitSource(); e != nil {
		x.finish(*e)
		return
	}
	x.responding.Store(true)
	x.response.sendHead()
}

// callerLeft ends all attempts, also those that the core has yet to send, and tells the core that the caller has disconnected. The core
// may be behind.
func (x *exchange) callerLeft() {
	x.left.Store(true)
	x.race.cancel(math.MaxInt, false)
	x.server.post(core.CallerGone{Request: x.id})
	close(x.leftReported)
}

// deliver accepts an effect from the core's goroutine. It never blocks.
func (x *exchange) deliver(effect core.Effect) {
	switch e := effect.(type) {
	case core.CancelAttempt:
		x.race.cancel(e.Attempt, false)
		return
	case core.WithdrawAttempt:
		x.race.withdraw(e.Attempt)
		return
	case core.SendAttempt:
		if e.Hedge {
			go x.response.hedge(e)
			return
		}
	case core.Finish:
		x.race.cancel(e.Attempt, true)
	}
	select {
	case x.effects <- effect:
	default:
		// The queue holds more effects than the core sends. Blocking here would stop every
		// other request.
		x.server.log.put("effect dropped", "request", x.id, "effect", effect.EffectName())
	}
}

// holdFailure keeps a whole failure response for the case that no attempt returns a better one.
func (x *exchange) holdFailure(held *heldResponse) { x.heldFailure.Store(held) }

// attemptEnded logs the end of an attempt and posts it to the core. If the connection closed
// early, it first checks whether the backend server has ended.
func (x *exchange) attemptEnded(a *attemptResponse, event core.AttemptEnded, err error) {
	event.Request = x.id
	if err != nil {
		event.Detail = err.Error()
		event.ConnectionRefused = event.Outcome == retry.NotSent && errors.Is(err, syscall.ECONNREFUSED)
		event.ProcessReplaced = errors.Is(err, errProcessReplaced)
		event.Malformed = event.Malformed || errors.Is(err, errMalformed)
		if event.Outcome.MayHaveRun() && closedByPeer(err) {
			check := x.checkEnd(a)
			event.ServerEnded, event.EndChecks = check.refused, check.found
		}
	}
	cause := endCauseOf(err)
	x.server.options.Metrics.AttemptEnded(cause)
	x.server.log.put("attempt ended", "request", x.id, "attempt", event.Attempt, "backend", a.attempt.Backend,
		"version", a.attempt.Version, "outcome", event.Outcome, "status", a.status, "sinceArrivalMs", time.Since(x.startedAt).Milliseconds(),
		"firstMs", a.firstByte.Milliseconds(), "lastEvent", a.sequence.last, "dialled", a.dialReason, "error", event.Detail, "endedBy", cause, "silentMs", ageMillis(a.silence),
		"serverEnded", event.ServerEnded, "relay", a.relay, "responseNames", a.origin.identity, "connCarried", a.origin.carried, "skipped", a.origin.skipped, "endChecks", event.EndChecks, "framing", a.framing,
		"parts", x.loggedParts(&event))
	if x.left.Load() {
		<-x.leftReported // The core would take the end for a failure of the server, and try another.
	}
	x.server.post(event)
}

// checkEnd checks whether the backend server of an attempt has ended, unless that was done to judge its response.
func (x *exchange) checkEnd(a *attemptResponse) endCheck {
	if a.endCheck != nil {
		return *a.endCheck
	}
	return x.server.ends.check(&a.attempt)
}

// loggedParts returns the parts of the prompt, by which the ends of backend servers can be grouped. They are long, and are
// logged only if the server seems to have ended.
func (x *exchange) loggedParts(event *core.AttemptEnded) []string {
	if !event.ServerEnded {
		return nil
	}
	var keys []string
	for _, id := range x.request.Arrived.SharedParts {
		keys = append(keys, poison.PartKey(id).String())
	}
	return keys
}

// release stops the watch on the caller's connection and unregisters the exchange.
func (x *exchange) release() {
	x.stopWatch()
	x.responding.Store(true)
	if c, ok := x.ctx.Conn().(*callerConn); ok && x.response.bodyErr != nil {
		c.state.ended(endByBrokenResponse)
	}
	x.server.unregister(x.id)
}

// finish writes the final response: the held failure response of a backend server, or
// one that the fleet itself generates.
func (x *exchange) finish(e core.Finish) {
	x.response.end()
	x.release()
	if held := x.heldFailure.Load(); e.ForwardFailure && held != nil {
		held.write(x)
		return
	}
	x.server.options.Dialect.WriteFinal(&x.ctx.Response, x.request, &e)
}

// newRequest builds the request of one attempt.
func (x *exchange) newRequest(e *core.SendAttempt) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	remaining := e.Deadline.Sub(x.server.options.Now())
	x.server.options.Dialect.WriteAttempt(req, &x.ctx.Request, e, remaining)
	req.SetRequestURI("http://" + e.Address + "/")
	// As a path, the target is written as it was received. As a URI, it would lose a question mark without a query.
	req.URI().SetPath(x.request.Target)
	if body := x.ctx.PostBody(); len(body) > 0 {
		req.SetBodyRaw(body)
	}
	return req
}

// newOwnedRequest builds the request of an attempt that may outlive the caller's request.
func (x *exchange) newOwnedRequest(e *core.SendAttempt) *fasthttp.Request {
	req := x.newRequest(e)
	if body := x.ctx.PostBody(); len(body) > 0 {
		req.SetBody(body)
	}
	return req
}

// outcomeWithoutResponse classifies a call that returned no response. Once the kernel has accepted
// one byte, the byte may have reached the backend server.
func outcomeWithoutResponse(c *call) retry.Outcome {
	if c.sent() {
		return retry.Unknown
	}
	return retry.NotSent
}

// endedEarlyError returns the error that ends the body of a broken response.
func endedEarlyError(e core.Finish) error {
	why := e.Reason
	if why == reason.None {
		why = reason.BrokenStream
	}
	return fmt.Errorf("proxy: response ended early: %s", why)
}
