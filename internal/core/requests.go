package core

import (
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// request is one request in progress at this instance.
type request struct {
	arrived  RequestArrived
	service  *config.Service
	deadline time.Time
	attempt  int
	// backend is the backend server of the running attempt.
	backend string
	// tried are the backend servers that earlier attempts failed at.
	tried []string
	// mayHaveRun is set once any attempt ended in a way that leaves open whether
	// a backend server started the request; from then on no answer says not-run.
	mayHaveRun bool
	// started is set once the caller has the first byte of an answer.
	started bool
	// claimed is set once the request's idempotency key is recorded as its own.
	claimed bool
	// claimToken and claimExpires are those of its claim.
	claimToken   uint64
	claimExpires uint32
	// gone is set once the caller has left.
	gone bool
}

func (n *Node) requestArrived(e RequestArrived) {
	if n.snapshot == nil {
		n.refuse(e, "", http.StatusServiceUnavailable, reason.NoConfiguration)
		return
	}
	service := n.serviceOf(e)
	if service == nil {
		n.refuse(e, "", http.StatusNotFound, reason.UnknownService)
		return
	}
	if n.snapshot.Customer(e.Customer) == nil {
		n.refuse(e, service.Name, http.StatusForbidden, reason.UnknownCustomer)
		return
	}
	r := &request{arrived: e, service: service, deadline: e.Deadline}
	if r.deadline.IsZero() {
		r.deadline = n.now.Add(time.Duration(service.Deadline))
	}
	if !n.dependenciesUsable(service) {
		n.refuse(e, service.Name, http.StatusServiceUnavailable, reason.DependencyUnavailable)
		return
	}
	if refused := n.admit(r); refused != nil {
		n.refuseLater(e, service.Name, refused)
		return
	}
	n.requests[e.Request] = r
	if r.needsClaim() {
		n.claim(r)
		return
	}
	n.startAttempt(r, reason.None)
}

// needsClaim tells whether the key must be claimed before any byte is sent.
func (r *request) needsClaim() bool {
	return r.arrived.NonIdempotent && r.arrived.Key != ""
}

// claimGranted goes on with a request whose key is now its own.
func (n *Node) claimGranted(r *request) {
	r.claimed = true
	if r.gone || !n.now.Before(r.deadline) {
		n.giveUp(r, reason.DeadlineExceeded)
		return
	}
	n.startAttempt(r, reason.None)
}

// claimRefused ends a request whose key another request holds, or whose claim
// could not be recorded with certainty. Nothing was sent.
func (n *Node) claimRefused(r *request, reply claims.Reply) {
	n.release(r)
	finish := Finish{
		Request:  r.arrived.Request,
		Customer: r.arrived.Customer,
		Service:  r.service.Name,
	}
	switch reply.Verdict {
	case claims.Duplicate:
		finish.Status, finish.Outcome, finish.Reason = http.StatusConflict, reason.Duplicate, reason.ClaimDuplicate
		finish.First = reply.First.String()
	case claims.Full:
		finish.Status, finish.Outcome, finish.Reason = http.StatusServiceUnavailable, reason.NotRun, reason.ClaimsFull
		finish.RetryAfter = time.Second
	default:
		finish.Status, finish.Outcome, finish.Reason = http.StatusServiceUnavailable, reason.NotRun, reason.ClaimUnavailable
		finish.RetryAfter = time.Second
	}
	n.emit(finish)
}

// release forgets a request that has ended, whatever its end.
func (n *Node) release(r *request) {
	delete(n.requests, r.arrived.Request)
	n.admissionEnded(r)
}

func (n *Node) serviceOf(e RequestArrived) *config.Service {
	if e.Service != "" {
		return n.snapshot.Service(e.Service)
	}
	return n.snapshot.Model(e.Model)
}

// startAttempt places the request and sends it, or gives it up.
func (n *Node) startAttempt(r *request, why reason.Reason) {
	c, refusal := n.place(r)
	if refusal != reason.None {
		n.giveUp(r, refusal)
		return
	}
	r.attempt++
	r.backend = c.Name
	n.loadSent(c.Name)
	n.emit(SendAttempt{
		Request:   r.arrived.Request,
		Attempt:   r.attempt,
		Backend:   c.Name,
		Address:   c.Address,
		Deadline:  r.deadline,
		Placement: c.Name,
		Why:       why,
	})
}

func (n *Node) answerStarted(e AnswerStarted) {
	if r := n.requests[e.Request]; r != nil && e.Attempt == r.attempt {
		r.started = true
	}
}

func (n *Node) attemptEnded(e AttemptEnded) {
	if e.Load != nil {
		n.backendSaid(*e.Load)
	}
	r := n.requests[e.Request]
	if r == nil || e.Attempt != r.attempt {
		return
	}
	n.loadEnded(r.backend)
	if e.Outcome == retry.Answered {
		n.answered(r)
		return
	}
	r.mayHaveRun = r.mayHaveRun || e.Outcome.MayHaveRun()
	if !n.mayRetry(r, e.Outcome) {
		n.giveUp(r, e.Outcome.Reason())
		return
	}
	r.tried = append(r.tried, r.backend)
	n.startAttempt(r, e.Outcome.Reason())
}

func (n *Node) answered(r *request) {
	n.pool(r.service.Name).budget.Success()
	if r.claimed {
		n.endClaim(r, claims.Done)
	}
	n.release(r)
}

// mayRetry tells whether another attempt may follow one that ended in outcome.
func (n *Node) mayRetry(r *request, outcome retry.Outcome) bool {
	if r.started || r.gone || !n.now.Before(r.deadline) {
		return false
	}
	if r.arrived.NonIdempotent && outcome.MayHaveRun() {
		return false
	}
	if r.attempt >= r.service.MaxAttempts {
		return false
	}
	return n.pool(r.service.Name).budget.Take()
}

// giveUp ends a request without an answer of a backend server.
func (n *Node) giveUp(r *request, why reason.Reason) {
	outcome, status := reason.NotRun, http.StatusServiceUnavailable
	if r.mayHaveRun {
		outcome, status = reason.Unknown, http.StatusBadGateway
	} else if r.claimed {
		n.endClaim(r, claims.Released)
	}
	n.release(r)
	n.emit(Finish{
		Request:    r.arrived.Request,
		Customer:   r.arrived.Customer,
		Service:    r.service.Name,
		Backend:    r.backend,
		Attempt:    r.attempt,
		Status:     status,
		Outcome:    outcome,
		Reason:     why,
		RetryAfter: time.Second,
	})
}

// refuse ends a request that never got as far as an attempt.
func (n *Node) refuse(e RequestArrived, service string, status int, why reason.Reason) {
	n.refuseLater(e, service, &refusal{status: status, why: why, retryAfter: time.Second})
}

func (n *Node) refuseLater(e RequestArrived, service string, r *refusal) {
	n.emit(Finish{
		Request:    e.Request,
		Customer:   e.Customer,
		Service:    service,
		Status:     r.status,
		Outcome:    reason.NotRun,
		Reason:     r.why,
		RetryAfter: r.retryAfter,
	})
}

func (n *Node) callerGone(e CallerGone) {
	r := n.requests[e.Request]
	if r == nil {
		return
	}
	r.gone = true
	n.emit(CancelAttempt{Request: e.Request, Attempt: r.attempt})
}
