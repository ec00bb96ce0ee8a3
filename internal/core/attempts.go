package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// resumePause is the pause between two attempts to resume a stream on the same engine.
const resumePause = 500 * time.Millisecond

// startAttempt selects a backend server and sends the request to it. If there is none, it
// ends the request.
func (n *Node) startAttempt(r *request, why reason.Reason) {
	n.placeAndSend(r, SendAttempt{Why: why})
}

// moveStream resumes a broken stream on another backend server.
func (n *Node) moveStream(r *request, why reason.Reason) {
	n.placeAndSend(r, SendAttempt{Why: why, ResumeAfter: r.resumeAfter})
}

func (n *Node) placeAndSend(r *request, e SendAttempt) {
	c, refusal := n.place(r)
	if refusal != reason.None {
		if refusal == reason.NoBackend {
			n.callerLacks()
		}
		if e.Why != reason.None {
			refusal = e.Why
		}
		n.giveUp(r, refusal)
		return
	}
	r.backend, r.address = c.Name, c.Address
	r.resumeAfter = ""
	r.placement = n.hintFor(c)
	e.Source = n.source(r, n.pool(r.service.Name), c)
	e.Basis = n.basis(r, c)
	n.promptSent(r)
	n.send(r, e)
}

// Timeouts after which an attempt on an unresponsive backend server is abandoned, if the
// request may continue on another server. Otherwise a server that hangs or is silently
// partitioned would block the caller until the deadline.
const (
	// firstGoals is the timeout for the first bytes as a multiple of the route's
	// latency goal.
	firstGoals = 2
	// leastFirst is the minimum timeout for the first bytes: an engine that runs the
	// prefill of another request's long prompt sends nothing for a few hundred milliseconds.
	leastFirst = 250 * time.Millisecond
	// leastFirstStream is the minimum for a stream, which the engine may queue.
	leastFirstStream = 1200 * time.Millisecond
	// stallPauses is the stall timeout of a stream as a multiple of the route's
	// pause goal. Callers disconnect after eight times the pause goal.
	stallPauses = 3
	// leastStall is the minimum stall timeout.
	leastStall = 700 * time.Millisecond
)

// patience returns the first-byte and stall timeouts of the next attempt. There are
// none if the request must not run again or no run is left after this one: a late
// response is then better than none.
func (r *request) patience() (first, stall time.Duration) {
	if r.route == nil || !r.policy.repeatable || r.runs+1 >= r.policy.maxRuns {
		return 0, 0
	}
	first = max(leastFirst, firstGoals*time.Duration(r.route.Goal))
	if !r.policy.resumable {
		return first, 0
	}
	return max(first, leastFirstStream), max(leastStall, stallPauses*time.Duration(r.route.PauseGoal))
}

// basis records the inputs of the selection of c.
func (n *Node) basis(r *request, c *routing.Candidate) Basis {
	p := n.pool(r.service.Name)
	total, count := n.sharing(r, p)
	b := Basis{
		Generation: n.snapshot.Generation, Revision: n.backends.known(c.Name), Session: r.arrived.Chat,
		Load: c.Load, Mean: total / float64(max(1, count)), Parts: n.load.Parts(c.Name),
		Limit: n.choice(r, p).Limits.Written().Inner, ReportAge: -1, Waited: r.waited,
	}
	if at, ok := n.load.Heard(c.Name); ok {
		b.ReportAge = n.now.Sub(at)
	}
	return b
}

// resume continues a broken stream on its backend server. It does not run the
// request again: the stream ID refers to the run in progress.
func (n *Node) resume(r *request) {
	n.send(r, SendAttempt{ResumeAfter: r.resumeAfter, Why: reason.BrokenStream})
}

func (n *Node) send(r *request, e SendAttempt) {
	r.attempt++
	r.running, r.judged = true, false
	if late := r.lateAfter(); late > 0 {
		attempt := r.attempt
		n.schedule(n.now.Add(late), r, func(n *Node, r *request) { n.countLate(r, attempt) })
	}
	n.loadSent(r.backend)
	e.Request, e.Attempt, e.Deadline = r.arrived.Request, r.attempt, r.deadline
	e.Backend, e.Address, e.Placement = r.backend, r.address, r.placement
	e.Zone = n.zoneOf(r.backend)
	e.Customer, e.Priority, e.Once = r.arrived.Customer, r.policy.priority, !r.policy.repeatable
	e.FirstWithin, e.Stall = r.patience()
	n.emit(e)
}

func (n *Node) answerStarted(e AnswerStarted) {
	n.answerSaid(e.Load)
	if r := n.requests[e.Request]; r != nil && r.running && e.Attempt == r.attempt {
		r.started = true
		n.reach.contacts[n.zoneOf(r.backend)] = n.now
	}
}

func (n *Node) attemptEnded(e AttemptEnded) {
	n.answerSaid(e.Load)
	r := n.requests[e.Request]
	if r == nil || e.Attempt != r.attempt || !r.running {
		return
	}
	n.attemptOver(r)
	n.judgeEnd(r, e.Outcome)
	n.backendAnswered(r.backend, e)
	if e.Outcome == retry.Answered {
		n.answered(r)
		return
	}
	if e.Outcome.MayHaveRun() {
		r.mayHaveRun = true
		r.runs++
	}
	r.failureHeld = r.failureHeld || e.Outcome == retry.Failed
	r.retryAfter = max(r.retryAfter, e.RetryAfter)
	if e.Outcome == retry.Broken {
		r.resumeAfter = e.LastEventID
	}
	n.afterFailure(r, e.Outcome)
}

// attemptOver marks the attempt as ended and removes it from its backend server's load.
func (n *Node) attemptOver(r *request) {
	r.running = false
	n.loadEnded(r.backend)
}

func (n *Node) answered(r *request) {
	if r.route == nil {
		n.pool(r.service.Name).budget.Earn()
	}
	if r.claimed {
		n.endClaim(r, claims.Done)
	}
	n.release(r)
}

// afterFailure decides how to continue after an attempt without a complete response.
func (n *Node) afterFailure(r *request, outcome retry.Outcome) {
	why := outcome.Reason()
	switch {
	case r.gone:
		n.giveUp(r, reason.CallerGone)
	case !n.now.Before(r.deadline):
		n.giveUp(r, reason.DeadlineExceeded)
	case r.resumesInPlace(outcome):
		n.retryOrGiveUp(r, outcome, (*Node).resumeSoon)
	case r.started && r.policy.resumable && r.resumeAfter != "":
		n.retryOrGiveUp(r, outcome, func(n *Node, r *request) {
			r.tried = append(r.tried, r.backend)
			n.moveStream(r, why)
		})
	case r.started, !r.policy.repeatable && r.mayHaveRun:
		n.giveUp(r, why)
	default:
		n.retryOrGiveUp(r, outcome, func(n *Node, r *request) {
			r.tried = append(r.tried, r.backend)
			n.startAttempt(r, why)
		})
	}
}

// resumesInPlace reports whether the broken stream is to be resumed on the same server.
// If the server did not respond to an earlier resume request, a request that may run on
// another server does so: its attempts are few, and the machine may be gone.
func (r *request) resumesInPlace(outcome retry.Outcome) bool {
	if r.route != nil || r.resumeAfter == "" {
		return false
	}
	return outcome == retry.Broken || r.started || r.arrived.NonIdempotent
}

// retryOrGiveUp calls again if the request has attempts left and the service's retry
// budget allows one, and ends the request otherwise. On a route, a request that was not
// sent reached no backend server, so its retry costs no budget.
func (n *Node) retryOrGiveUp(r *request, outcome retry.Outcome, again func(*Node, *request)) {
	why := outcome.Reason()
	spent := r.attempt >= r.policy.maxSends || r.runs >= r.policy.maxRuns
	switch {
	case spent && r.attempt > 1:
		n.giveUp(r, reason.AttemptsExhausted)
	case spent:
		n.giveUp(r, why)
	case n.costsBudget(r, outcome) && !n.takeRetry(r.service.Name):
		n.giveUp(r, reason.RetryBudget)
	default:
		again(n, r)
	}
}

// costsBudget reports whether the next attempt is charged to the retry budget. On
// a route it is charged only if the failed attempt may have reached its backend server.
func (n *Node) costsBudget(r *request, outcome retry.Outcome) bool {
	return r.route == nil || outcome != retry.NotSent
}

func (n *Node) takeRetry(service string) bool {
	budget := n.pool(service).budget
	budget.Pass(n.now)
	return budget.Take()
}

// resumeSoon resumes a stream immediately after the first attempt, and after a pause
// from then on, so that an unresponsive engine gets time to recover.
func (n *Node) resumeSoon(r *request) {
	if r.attempt == 1 {
		n.resume(r)
		return
	}
	n.schedule(n.now.Add(resumePause), r, (*Node).resume)
}

// deadlinePassed ends a request at its deadline without waiting for the attempt in
// progress. Otherwise a frozen backend server would block the caller.
func (n *Node) deadlinePassed(r *request) {
	if r.running {
		r.mayHaveRun = true
		n.attemptOver(r)
		n.emit(CancelAttempt{Request: r.arrived.Request, Attempt: r.attempt})
	}
	n.giveUp(r, reason.DeadlineExceeded)
}

// giveUp ends a request without a complete successful response. The caller gets an error
// response, or the failure response of a backend server.
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
		Outcome:    outcome,
		Reason:     why,
		RetryAfter: max(r.retryAfter, n.comeBackAfter(r.target, why)),
		Fill:       n.fill(r.service.Name, why),
		PassOn:     r.failureHeld && !r.started && !r.gone,
	})
}
