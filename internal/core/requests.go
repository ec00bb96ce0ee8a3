package core

import (
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// defaultRetryAfter is when a caller may come back if nothing else is known.
	defaultRetryAfter = time.Second
	// resumePause lies between two attempts to resume one stream.
	resumePause = 500 * time.Millisecond
	// statusCallerGone is for the log; nobody reads an answer with it.
	statusCallerGone = 499
)

// request is one request in progress at this instance.
type request struct {
	arrived  RequestArrived
	service  *config.Service
	deadline time.Time
	attempt  int
	// running is set while the last attempt has not ended.
	running bool
	// backend and address are the last attempt's backend server.
	backend string
	address string
	// placement is the hint that goes with the last attempt's answer.
	placement string
	// resumeAfter is the last event of a broken stream that its backend server
	// may resume.
	resumeAfter string
	// retryAfter is the longest wait that a refusing backend server asked for.
	retryAfter time.Duration
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
	// ended is set once the request got its final answer.
	ended bool
	due   []*due
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
	if !n.now.Before(r.deadline) {
		n.refuse(e, service.Name, http.StatusGatewayTimeout, reason.DeadlineExceeded)
		return
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
		n.capDeadline(r)
	}
	n.schedule(r.deadline, r, (*Node).deadlinePassed)
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
	if r.ended {
		n.endClaim(r, claims.Released)
		return
	}
	// An instance that was frozen handles the answer to its claim before it sees
	// that the deadline is over; the key may be another's by now.
	if !n.now.Before(r.deadline) {
		n.giveUp(r, reason.DeadlineExceeded)
		return
	}
	n.startAttempt(r, reason.None)
}

// claimRefused ends a request whose key another request holds, or whose claim
// could not be recorded with certainty. Nothing was sent.
func (n *Node) claimRefused(r *request, reply claims.Reply) {
	if r.ended {
		return
	}
	finish := Finish{Status: http.StatusServiceUnavailable, Outcome: reason.NotRun, RetryAfter: defaultRetryAfter}
	switch reply.Verdict {
	case claims.Duplicate:
		finish.Status, finish.Outcome, finish.Reason = http.StatusConflict, reason.Duplicate, reason.ClaimDuplicate
		finish.First = reply.First.String()
		finish.RetryAfter = 0
	case claims.Full:
		finish.Reason = reason.ClaimsFull
	default:
		finish.Reason = reason.ClaimUnavailable
	}
	n.finish(r, finish)
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
		if why != reason.None {
			refusal = why
		}
		n.giveUp(r, refusal)
		return
	}
	r.backend, r.address = c.Name, c.Address
	r.resumeAfter = ""
	r.placement = n.hintFor(&c)
	n.send(r, SendAttempt{Why: why})
}

// resume asks the backend server that began a stream for the rest of it. This is
// no second run: the stream's own id names the one that is in progress.
func (n *Node) resume(r *request) {
	n.send(r, SendAttempt{ResumeAfter: r.resumeAfter, Why: reason.BrokenStream})
}

func (n *Node) send(r *request, e SendAttempt) {
	r.attempt++
	r.running = true
	n.loadSent(r.backend)
	e.Request, e.Attempt, e.Deadline = r.arrived.Request, r.attempt, r.deadline
	e.Backend, e.Address, e.Placement = r.backend, r.address, r.placement
	n.emit(e)
}

func (n *Node) answerStarted(e AnswerStarted) {
	if r := n.requests[e.Request]; r != nil && r.running && e.Attempt == r.attempt {
		r.started = true
	}
}

func (n *Node) attemptEnded(e AttemptEnded) {
	if e.Load != nil {
		n.backendSaid(*e.Load)
	}
	r := n.requests[e.Request]
	if r == nil || e.Attempt != r.attempt || !r.running {
		return
	}
	n.attemptOver(r)
	n.backendAnswered(r.backend, e)
	if e.Outcome == retry.Answered {
		n.answered(r)
		return
	}
	r.mayHaveRun = r.mayHaveRun || e.Outcome.MayHaveRun()
	r.retryAfter = max(r.retryAfter, e.RetryAfter)
	if e.Outcome == retry.Broken {
		r.resumeAfter = e.LastEventID
	}
	n.afterFailure(r, e.Outcome)
}

// attemptOver takes the running attempt off its backend server's load.
func (n *Node) attemptOver(r *request) {
	r.running = false
	n.loadEnded(r.backend)
}

func (n *Node) answered(r *request) {
	n.pool(r.service.Name).budget.Success()
	if r.claimed {
		n.endClaim(r, claims.Done)
	}
	n.release(r)
}

// afterFailure decides what follows an attempt that brought no whole answer.
func (n *Node) afterFailure(r *request, outcome retry.Outcome) {
	why := outcome.Reason()
	switch {
	case r.gone:
		n.giveUp(r, reason.CallerGone)
	case !n.now.Before(r.deadline):
		n.giveUp(r, reason.DeadlineExceeded)
	case r.resumable(outcome):
		n.retryOrGiveUp(r, why, (*Node).resumeSoon)
	case r.started, r.arrived.NonIdempotent && r.mayHaveRun:
		n.giveUp(r, why)
	default:
		n.retryOrGiveUp(r, why, func(n *Node, r *request) {
			r.tried = append(r.tried, r.backend)
			n.startAttempt(r, why)
		})
	}
}

// resumable tells whether the broken stream is to be resumed. When the server did
// not even answer a resumption, a request that can run elsewhere does so: its
// attempts are few, and the machine may be gone.
func (r *request) resumable(outcome retry.Outcome) bool {
	if r.resumeAfter == "" {
		return false
	}
	return outcome == retry.Broken || r.started || r.arrived.NonIdempotent
}

// retryOrGiveUp makes another attempt if the attempts of the request and the
// retry budget of the service allow one.
func (n *Node) retryOrGiveUp(r *request, why reason.Reason, again func(*Node, *request)) {
	switch {
	case r.attempt >= r.service.MaxAttempts && r.attempt > 1:
		n.giveUp(r, reason.AttemptsExhausted)
	case r.attempt >= r.service.MaxAttempts:
		n.giveUp(r, why)
	case !n.pool(r.service.Name).budget.Take():
		n.giveUp(r, reason.RetryBudget)
	default:
		again(n, r)
	}
}

// resumeSoon resumes at once the first time, and later only after a pause: an
// engine that does not answer needs time more than it needs requests.
func (n *Node) resumeSoon(r *request) {
	if r.attempt == 1 {
		n.resume(r)
		return
	}
	n.schedule(n.now.Add(resumePause), r, (*Node).resume)
}

// deadlinePassed ends a request whose time is over, whether or not its attempt
// ever reports back. A frozen backend server would otherwise hold its caller.
func (n *Node) deadlinePassed(r *request) {
	if r.running {
		r.mayHaveRun = true
		n.attemptOver(r)
		n.emit(CancelAttempt{Request: r.arrived.Request, Attempt: r.attempt})
	}
	n.giveUp(r, reason.DeadlineExceeded)
}

// giveUp ends a request without a whole answer of a backend server.
func (n *Node) giveUp(r *request, why reason.Reason) {
	outcome := reason.NotRun
	if r.mayHaveRun {
		outcome = reason.Unknown
	} else if r.claimed {
		n.endClaim(r, claims.Released)
	}
	n.finish(r, Finish{
		Backend:    r.backend,
		Attempt:    r.attempt,
		Status:     giveUpStatus(outcome, why),
		Outcome:    outcome,
		Reason:     why,
		RetryAfter: max(r.retryAfter, defaultRetryAfter),
	})
}

func giveUpStatus(outcome reason.Outcome, why reason.Reason) int {
	switch {
	case why == reason.CallerGone:
		return statusCallerGone
	case why == reason.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case outcome == reason.Unknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// finish gives a request its final answer.
func (n *Node) finish(r *request, e Finish) {
	n.release(r)
	e.Request, e.Customer, e.Service = r.arrived.Request, r.arrived.Customer, r.service.Name
	n.emit(e)
}

// release forgets a request that has ended, whatever its end.
func (n *Node) release(r *request) {
	r.ended = true
	n.unschedule(r)
	delete(n.requests, r.arrived.Request)
	n.admissionEnded(r)
}

// refuse ends a request that never got as far as an attempt.
func (n *Node) refuse(e RequestArrived, service string, status int, why reason.Reason) {
	n.refuseLater(e, service, &refusal{status: status, why: why, retryAfter: defaultRetryAfter})
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

// callerGone stops the work for a caller that left. A running attempt still
// reports its end, which says whether the request may have run.
func (n *Node) callerGone(e CallerGone) {
	r := n.requests[e.Request]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	if !r.running {
		n.giveUp(r, reason.CallerGone)
		return
	}
	n.emit(CancelAttempt{Request: e.Request, Attempt: r.attempt})
}
