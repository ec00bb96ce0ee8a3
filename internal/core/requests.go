package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/execution"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

const (
	// defaultRetryAfter is the Retry-After delay if no better one is known.
	defaultRetryAfter = time.Second
	// minRetryAfter is the minimum delay. An earlier retry would find the service
	// unchanged.
	minRetryAfter = 50 * time.Millisecond
	// stoppingRetryAfter is the delay if another instance can serve the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// startingRetryAfter is the delay while an instance that has just started is reading its
	// configuration and backend servers.
	startingRetryAfter = 200 * time.Millisecond
)

// saturatedRetryAfter returns the minimum Retry-After delay for a service without free
// capacity: half of the route's latency goal, within a lower and an upper bound. A service
// is full for about as long as its requests take. A retry after half of the goal can still
// meet it; after a whole second there is often no time left.
func (t target) saturatedRetryAfter() time.Duration {
	if t.route == nil || t.route.Goal == 0 {
		return defaultRetryAfter
	}
	return min(max(minRetryAfter, time.Duration(t.route.Goal)/2), defaultRetryAfter)
}

// retryAfterFor returns the Retry-After delay for a request refused with reason why.
func (n *Node) retryAfterFor(t target, why reason.Reason) time.Duration {
	switch {
	case why == reason.Saturated, why == reason.ZoneEvacuated, why == reason.BackendRefused, why == reason.RetryBudget:
		return n.spreadDelay(t.saturatedRetryAfter())
	case why == reason.StreamUnknown && n.streams.stored.reading:
		return startingRetryAfter
	case why == reason.Stopping, why == reason.StreamUnknown && n.now.Sub(n.startedAt) < settledAfter:
		return stoppingRetryAfter
	case why == reason.NoConfiguration && n.configs.failures == 0:
		return startingRetryAfter
	case why == reason.NoBackend && n.readingFirstBackends():
		return startingRetryAfter
	default:
		return defaultRetryAfter
	}
}

// request is one request in flight at this instance.
type request struct {
	target
	arrived  RequestArrived
	deadline time.Time
	// waited is how long the request was queued while this instance started.
	waited time.Duration
	// poison is what the request may end backend servers by, and the process of the last attempt's.
	poison poison.Request
	// attempts counts the attempts, and withdrawals those that were withdrawn before anything was sent.
	attempts, withdrawals int
	// execution tells whether a backend server may have started the request.
	execution execution.Record
	// attempt is the attempt that the event at hand is about, or the last one, and others are the other ones in progress;
	// see selectAttempt.
	attempt
	others []attempt
	// software is the software at which the request's stream must go on, nil while it may begin anywhere.
	// softwareCertain is set if the process that began it is certain, and softwareUncertain once it turns
	// out that it may have been another one.
	software          *streams.Software
	softwareCertain   bool
	softwareUncertain bool
	// continuationBasis is what the software rests on if the caller continues a stream.
	continuationBasis streams.Basis
	// slotAsks counts the owners that were asked for a slot. slotAsk is the last question while it waits for
	// an answer.
	slotAsks int
	slotAsk  *slotAsk
	// retryAsk is set while the request waits for a retry of another instance.
	retryAsk *retryAsk
	// permitAsk is the question for a permit for a cold server while it waits for an answer. warmOnly is set once the next
	// attempt got none, permitIssuer names who permitted it, and resumeAsks counts the questions for the only server that can
	// resume the request's stream.
	permitAsk    *permitAsk
	warmOnly     bool
	permitIssuer string
	resumeAsks   int
	// resumeAfter is the ID of the last event of a broken stream that can be resumed.
	resumeAfter string
	// retryAfter is the longest Retry-After delay requested by a backend server.
	retryAfter time.Duration
	// tried are the backend servers of earlier failed attempts, and quiet those that may be silent, sorted, while a hedge is
	// placed.
	tried, quiet []string
	// hasFailureResponse is set once the proxy holds a complete failure response of a
	// backend server. The caller gets it if no later attempt succeeds.
	hasFailureResponse bool
	// responseStarted is set once the first byte of a response was sent to the caller.
	responseStarted bool
	// claimed is set once the claim on the request's idempotency key was granted.
	claimed bool
	// claimToken and claimExpires are the token and the expiry time of the claim.
	claimToken   uint64
	claimExpires uint32
	// callerGone is set once the caller has disconnected.
	callerGone bool
	// waiting is what the request waits for when it is given up; see Finish.Waiting.
	waiting WaitPhase
	// ended is set once the request has ended.
	ended  bool
	timers []*requestTimer
}

func (n *Node) requestArrived(e RequestArrived) {
	if e.ReadAt.IsZero() || e.ReadAt.After(n.now) {
		e.ReadAt = n.now
	}
	e.queued = n.now.Sub(e.ReadAt)
	if !n.waitForStart(e) {
		n.startRequest(e, e.ReadAt)
	}
}

// startRequest admits a request that arrived at time at and starts it, or refuses it.
func (n *Node) startRequest(e RequestArrived, at time.Time) {
	if t, ok := n.resolveOrRefuse(&e); ok {
		n.startResolved(e, t, at, streamView{})
	}
}

// startContinuation starts a request that continues a stream, once other instances were asked about it.
func (n *Node) startContinuation(e RequestArrived, at time.Time, view streamView) {
	if t, ok := n.resolveOrRefuse(&e); ok {
		n.startResolved(e, t, at, view)
	}
}

func (n *Node) startResolved(e RequestArrived, t target, at time.Time, view streamView) {
	if e.Continues != nil && t.policy.resumable && !n.endsWithGrace(deadlineOf(&e, t, at)) {
		n.continueStream(e, t, at, view)
		return
	}
	n.admitRequest(e, t, at, nil)
}

// resolveOrRefuse resolves a request and sets its customer.
func (n *Node) resolveOrRefuse(e *RequestArrived) (target, bool) {
	t, unknown := n.resolve(e)
	if unknown != reason.None {
		n.refuse(*e, t, unknown)
		return t, false
	}
	e.Customer = t.customer.Name
	return t, true
}

// admitRequest admits a request and starts it, or refuses it. c is nil unless it continues a stream.
func (n *Node) admitRequest(e RequestArrived, t target, at time.Time, c *continued) {
	r := &request{
		target: t, arrived: e, poison: poison.NewRequest(e.Customer, e.Content, e.SharedParts), waited: n.now.Sub(at), deadline: deadlineOf(&e, t, at),
	}
	if c != nil {
		r.software, r.continuationBasis = &c.software, c.basis
	}
	switch {
	case !n.now.Before(r.deadline):
		n.refuse(e, t, reason.DeadlineExceeded)
		return
	case n.regionRefusal(&t) != reason.None:
		n.refuse(e, t, reason.NoRegion)
		return
	case n.exceedsStopGrace(r.deadline):
		n.refuse(e, t, reason.Stopping)
		return
	case !n.dependenciesUsable(t.service):
		n.refuse(e, t, reason.DependencyUnavailable)
		return
	case n.refusesPoison(r):
		n.refuseWith(e, t, &refusal{reason: reason.PoisonRequest, retryAfter: n.poisonRetryAfter(r)})
		return
	}
	if refused := n.admit(r); refused != nil {
		n.refuseWith(e, t, refused)
		return
	}
	n.requests[e.Request] = r
	if t.route != nil {
		budget := n.pool(t.service.Name).budget
		budget.Refill(n.now)
		budget.Earn()
	}
	if r.needsClaim() {
		n.capDeadline(r)
	}
	n.schedule(r.deadline, r, (*Node).deadlinePassed)
	if r.needsClaim() {
		n.recordClaim(r)
		return
	}
	n.startAttempt(r, reason.None)
}

// deadlineOf returns the time by which a request must end. On a route this is the caller's
// deadline or the end of the route's timeout, whichever is earlier. Without a route it is
// the caller's deadline, or the service's default if the caller set none.
func deadlineOf(e *RequestArrived, t target, at time.Time) time.Time {
	if t.route == nil {
		if !e.Deadline.IsZero() {
			return e.Deadline
		}
		return at.Add(time.Duration(t.service.Deadline))
	}
	limit := at.Add(time.Duration(t.route.Timeout))
	if !e.Deadline.IsZero() && e.Deadline.Before(limit) {
		return e.Deadline
	}
	return limit
}

// needsClaim reports whether the idempotency key must be claimed before the request is
// sent.
func (r *request) needsClaim() bool {
	return r.arrived.NonIdempotent && r.arrived.Key != ""
}

// claimGranted starts the first attempt of a request whose claim was granted.
func (n *Node) claimGranted(r *request) {
	r.claimed = true
	if r.ended {
		n.endClaim(r, claims.Released)
		return
	}
	// A frozen instance processes the reply to its claim before the deadline timer. The
	// claim may have expired and been granted to another request by then.
	if !n.now.Before(r.deadline) {
		n.giveUp(r, reason.DeadlineExceeded)
		return
	}
	n.startAttempt(r, reason.None)
}

// claimRefused ends a request whose key is held by another request, or whose claim could
// not be recorded with certainty. The request was not sent to a backend server.
func (n *Node) claimRefused(r *request, reply claims.Reply) {
	if r.ended {
		return
	}
	finish := Finish{Outcome: r.outcome(), RetryAfter: defaultRetryAfter}
	switch reply.Verdict {
	case claims.Duplicate:
		finish.Outcome, finish.Reason = reason.Duplicate, reason.ClaimDuplicate
		finish.First = reply.First.String()
		finish.RetryAfter = 0
	case claims.Full:
		finish.Reason = reason.ClaimsFull
	default:
		finish.Reason = reason.ClaimUnavailable
	}
	n.finish(r, finish)
}

// outcome returns what the caller is told of a request that ends without a whole response.
func (r *request) outcome() reason.Outcome {
	if r.execution.MayHaveRun() {
		return reason.Unknown
	}
	return reason.NotRun
}

// finish ends a request and emits its final result.
func (n *Node) finish(r *request, e Finish) {
	n.release(r)
	e.Request, e.Customer, e.Service = r.arrived.Request, r.arrived.Customer, r.service.Name
	e.Content = uint64(r.poison.Content)
	e.Continues = r.arrived.Continues.first()
	e.Waiting, e.Queued = r.waiting, r.arrived.queued
	n.countRefused(&r.target, &e)
	n.emit(e)
}

// waitsFor returns what the request waits for, "" if it is at a backend server.
func (r *request) waitsFor() WaitPhase {
	switch {
	case r.inProgress() > 0:
		return ""
	case r.needsClaim() && !r.claimed:
		return WaitsForClaim
	case r.slotAsk != nil:
		return WaitsForSlot
	case r.permitAsk != nil:
		return WaitsForPermit
	default:
		return WaitsForRetry
	}
}

// first returns the caller's ID of the request that began the stream, "" if there is none.
func (c *Continuation) first() string {
	if c == nil {
		return ""
	}
	return c.First
}

// release removes an ended request from the node's state.
func (n *Node) release(r *request) {
	r.ended = true
	n.dropHedges(r)
	n.cancelTimers(r)
	delete(n.requests, r.arrived.Request)
	n.admissionEnded(r)
}

// refuse ends a request before its first attempt.
func (n *Node) refuse(e RequestArrived, t target, why reason.Reason) {
	if why == reason.NoConfiguration || why == reason.NoBackend {
		n.recordWaitingCaller()
	}
	n.refuseWith(e, t, &refusal{reason: why, retryAfter: n.retryAfterFor(t, why)})
}

func (n *Node) refuseWith(e RequestArrived, t target, r *refusal) {
	finish := Finish{
		Request:    e.Request,
		Customer:   e.Customer,
		Content:    uint64(poison.KeyOf(e.Customer, e.Content)),
		Continues:  e.Continues.first(),
		Outcome:    reason.NotRun,
		Reason:     r.reason,
		RetryAfter: r.retryAfter,
		Generation: n.generation(),
		Waiting:    r.waiting,
		Queued:     e.queued,
	}
	if t.service != nil {
		finish.Service = t.service.Name
		finish.Utilization = n.refusalUtilization(t.service.Name, r.reason)
	}
	n.countRefused(&t, &finish)
	n.emit(finish)
}

// callerGone cancels the request of a caller that disconnected. An attempt in progress
// still reports its outcome, which shows whether the request may have run.
func (n *Node) callerGone(e CallerGone) {
	if n.cancelStartWaiter(e.Request) || n.cancelLookupWaiter(e.Request) {
		return
	}
	r := n.requests[e.Request]
	if r == nil || r.callerGone {
		return
	}
	r.callerGone = true
	r.waiting = r.waitsFor()
	if !r.running {
		n.giveUp(r, reason.CallerGone)
		return
	}
	n.recordWaitInVain(r)
	n.emit(CancelAttempt{Request: e.Request, Attempt: r.attempts})
}
