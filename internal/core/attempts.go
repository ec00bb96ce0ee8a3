package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/hedge"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
	"github.com/ebonydyke/ebonydyke/internal/core/separation"
)

// resumePause is the pause between two attempts to resume a stream on the same engine.
const resumePause = 500 * time.Millisecond

// startAttempt selects a backend server and sends the request to it. If there is none, it
// ends the request.
func (n *Node) startAttempt(r *request, why reason.Reason) {
	n.placeAndSend(r, SendAttempt{RetryReason: why})
}

// resumeOnAnotherBackend resumes a broken stream on another backend server.
func (n *Node) resumeOnAnotherBackend(r *request, why reason.Reason) {
	n.placeAndSend(r, SendAttempt{RetryReason: why, ResumeAfter: r.resumeAfter})
}

func (n *Node) placeAndSend(r *request, e SendAttempt) {
	if n.poison.tracker.Stops(&r.poison, r.execution.Runs()) {
		n.giveUp(r, reason.PoisonRequest)
		return
	}
	c, refusal := n.place(r)
	if refusal == reason.Saturated {
		if n.borrowSlot(r, e) {
			return
		}
		refusal = n.pool(r.service.Name).evacuatedOr(reason.Saturated)
	}
	if refusal != reason.None {
		if refusal == reason.NoBackend {
			n.recordWaitingCaller()
		}
		if e.RetryReason != reason.None && refusal != reason.ZoneEvacuated && !endsStream(refusal) {
			refusal = e.RetryReason
		}
		n.giveUp(r, refusal)
		return
	}
	if c.Unreachable {
		n.pool(r.service.Name).unreachableTriedAt = n.now
	}
	if c.Cold {
		n.askPermit(r, c, e, false)
		return
	}
	n.sendTo(r, c, e)
}

// sendTo sends the request's next attempt to a backend server.
func (n *Node) sendTo(r *request, c *routing.Candidate, e SendAttempt) {
	r.attempt = attempt{backend: c.Name, address: c.Address, zone: c.Zone, placement: n.hintFor(c), loan: r.loan}
	r.resumeAfter = e.ResumeAfter
	if !e.Hedge {
		e.Source = n.copySource(r, n.pool(r.service.Name), c)
		n.recordPrompt(r)
	}
	e.Selection = n.selectionInputs(r, c)
	n.recordTrial(r)
	n.send(r, e)
}

// endsStream reports whether a refusal means that the stream cannot go on, however often it is tried.
func endsStream(refusal reason.Reason) bool {
	return refusal == reason.StreamUnknown || refusal == reason.StreamVersionGone
}

// responseTimeouts returns the first-byte and stall timeouts of the next attempt. There are
// none if the request must not run again or no run is left after this one.
func (r *request) responseTimeouts() (first, stall time.Duration) {
	if r.route == nil || !r.policy.repeatable || r.execution.Runs()+len(r.others)+1 >= r.policy.maxRuns {
		return 0, 0
	}
	goal, pauseGoal := time.Duration(r.route.Goal), time.Duration(r.route.PauseGoal)
	if !r.policy.resumable {
		return hedge.FirstByteTimeout(goal), 0
	}
	return hedge.StreamTimeouts(goal, pauseGoal)
}

// responseTimeouts returns the timeouts of the next attempt. A stream that no other server could go on with has none.
func (n *Node) responseTimeouts(r *request) (first, stall time.Duration) {
	first, stall = r.responseTimeouts()
	if n.continuesElsewhere(r) {
		return first, stall
	}
	if r.software != nil {
		first = 0
	}
	return first, 0
}

// selectionInputs records the inputs of the selection of c.
func (n *Node) selectionInputs(r *request, c *routing.Candidate) SelectionInputs {
	p := n.pool(r.service.Name)
	load := n.loadAmong(r, p)
	b := SelectionInputs{
		Generation: n.snapshot.Generation, Revision: n.backends.log.Revision(c.Name), Session: r.arrived.Chat,
		Load: c.Load, Mean: load.Total / max(1, load.Servers), Parts: n.load.Parts(c.Name),
		Limit: n.routingChoice(r, p).Limits.Finite().Inner, ReportAge: -1, Waited: r.waited, PermitIssuer: r.permitIssuer,
	}
	if at, ok := n.load.LastReport(c.Name); ok {
		b.ReportAge = n.now.Sub(at)
	}
	return b
}

// resumeOnSameBackend continues a broken stream on its backend server. It does not run the
// request again: the stream ID refers to the run in progress.
func (n *Node) resumeOnSameBackend(r *request) {
	r.continuesRun = true
	e := SendAttempt{ResumeAfter: r.resumeAfter, RetryReason: reason.BrokenStream}
	if n.isCold(r.backend) {
		r.resumeAsks++
		n.askPermit(r, n.poolByBackend[r.backend].find(r.backend), e, true)
		return
	}
	n.send(r, e)
}

func (n *Node) send(r *request, e SendAttempt) {
	r.attempts++
	r.number = r.attempts
	r.execution.Sent()
	r.running, r.outcomeCounted, r.withdrawn = true, false, false
	r.warmOnly, r.permitIssuer = false, ""
	r.sentAt = n.now
	n.countSent(r)
	if !e.Hedge {
		r.softwareUncertain = r.softwareUncertain && r.software != nil
	}
	if late := r.lateAfter(); late > 0 {
		number := r.number
		n.schedule(n.now.Add(late), r, func(n *Node, r *request) { n.countLate(r, number) })
	}
	n.countRequestSent(r.backend)
	e.Request, e.Attempt, e.Deadline = r.arrived.Request, r.number, r.deadline
	e.Backend, e.Address, e.Placement = r.backend, r.address, r.placement
	r.version = n.versionOf(r.backend)
	r.poison.Sent(n.serverStart(r.backend), r.softwareName())
	e.Zone, e.Version = n.zoneOf(r.backend), r.version
	e.Continues, e.ContinuationBasis = r.arrived.Continues.first(), r.continuationBasis
	e.Dial = n.dialPlan(r)
	e.Content = uint64(r.poison.Content)
	e.Customer, e.Priority, e.AtMostOnce = r.arrived.Customer, r.policy.priority, !r.policy.repeatable
	e.TakesPriority = r.route != nil && r.service.Kind == config.Model
	e.Process = n.processCheck(r)
	e.FirstByteTimeout, e.StallTimeout = n.responseTimeouts(r)
	n.emit(e)
}

func (n *Node) answerStarted(e AnswerStarted) {
	n.applyAnswerReport(e.Load)
	if r := n.requests[e.Request]; r != nil && r.selectAttempt(e.Attempt) {
		n.recordWait(r)
		n.recordWork(r, e.Load)
		r.responseStarted = true
		r.silent = false
		n.responseBegan(r)
		n.streamBegan(r, e.ProcessCertain)
		n.paths.tracker.Reached(r.service.Name)
		n.recordRejectionLimit(r, e.RejectionLimit)
		n.responseReached(r)
		n.reach.RecordAnswer(n.zoneOf(r.backend), n.now)
		n.zoneAnswered(n.zoneOf(r.backend))
	}
}

func (n *Node) attemptEnded(e AttemptEnded) {
	n.applyAnswerReport(e.Load)
	r := n.requests[e.Request]
	if r == nil || !r.selectAttempt(e.Attempt) {
		return
	}
	n.recordWorkAtEnd(r, &e)
	e.ServerEnded = n.serverHasEnded(r, &e)
	if e.ServerEnded || e.ConnectionRefused || e.ProcessReplaced {
		n.streams.ended.Add(r.backend, n.now)
	}
	verdict := n.judgeFailure(r, &e)
	n.observeAttemptEnd(r, &e, verdict)
	n.attemptDone(r)
	if r.withdrawn && e.Outcome == retry.NotSent {
		r.execution.NotRun()
		n.attemptWithdrawn(r)
		return
	}
	n.countResponse(r, &e)
	if e.Outcome == retry.Superseded {
		n.attemptSuperseded(r, e.Unsent)
		return
	}
	if !r.callerGone || e.Outcome != retry.NotSent {
		// A connection that was given up because the caller left says nothing about the server.
		n.judgeServer(r, e, verdict)
	}
	if e.Outcome == retry.Answered {
		n.requestAnswered(r)
		return
	}
	n.recordFailedAttempt(r, &e)
	if len(r.others) > 0 {
		r.tried = append(r.tried, r.backend)
		n.goesOnWithHedge(r)
		return
	}
	n.afterFailure(r, e.Outcome)
}

// judgeServer updates what this instance believes of the server of an attempt that has ended. A failure at a cut says nothing about
// the server.
func (n *Node) judgeServer(r *request, e AttemptEnded, verdict separation.Verdict) {
	if verdict == separation.InContact {
		if e.Outcome != retry.NotSent {
			n.paths.tracker.Reached(r.service.Name)
		}
		n.countOutcome(r, e.Outcome)
	}
	n.recordRejection(r, e.Outcome, e.RejectionLimit)
	n.updateReachability(r.backend, e, verdict)
	n.updatePoison(r, e)
}

// recordFailedAttempt records in the request what an attempt without a complete response has left.
func (n *Node) recordFailedAttempt(r *request, e *AttemptEnded) {
	if e.Outcome.MayHaveRun() {
		r.execution.Ended()
	} else {
		r.execution.NotRun()
	}
	if e.Outcome == retry.NotSent {
		n.refundRetry(r)
	}
	r.hasFailureResponse = r.hasFailureResponse || e.Outcome == retry.Failed
	r.retryAfter = max(r.retryAfter, e.RetryAfter)
	if e.Outcome == retry.Broken {
		r.recordLastEvent(e.LastEventID)
	}
}

// attemptDone marks the attempt as ended and removes it from its backend server's load.
func (n *Node) attemptDone(r *request) {
	r.running = false
	n.countRequestEnded(r.backend)
	n.releaseSlot(r)
}

func (n *Node) requestAnswered(r *request) {
	if r.route == nil {
		n.pool(r.service.Name).budget.Earn()
	}
	if r.claimed {
		n.endClaim(r, claims.Done)
	}
	n.recordCompletion(r)
	n.streams.registry.Complete(n.now, r.streamKey())
	n.release(r)
}

// afterFailure decides how to continue after the last attempt in progress ended without a complete response.
func (n *Node) afterFailure(r *request, outcome retry.Outcome) {
	why := outcome.Reason()
	switch {
	case r.callerGone:
		n.giveUp(r, reason.CallerGone)
	case !n.now.Before(r.deadline):
		n.giveUp(r, reason.DeadlineExceeded)
	case n.endsWithGrace(r.deadline):
		n.giveUp(r, reason.Stopping)
	case outcome == retry.NotSent && n.noneReached(r):
		n.giveUp(r, why)
	case r.resumesOnSameBackend(outcome):
		n.retryOrGiveUp(r, outcome, (*Node).resumeWithDelay)
	case r.responseStarted && r.policy.resumable && r.resumeAfter != "":
		n.retryOrGiveUp(r, outcome, func(n *Node, r *request) {
			r.tried = append(r.tried, r.backend)
			n.resumeOnAnotherBackend(r, why)
		})
	case r.responseStarted, !r.policy.repeatable && r.execution.MayHaveRun():
		n.giveUp(r, why)
	default:
		n.retryOrGiveUp(r, outcome, func(n *Node, r *request) {
			r.tried = append(r.tried, r.backend)
			n.startAttempt(r, why)
		})
	}
}

// resumesOnSameBackend reports whether the broken stream is to be resumed on the same server.
// If the server did not respond to an earlier resume request, a request that may run on
// another server does so: its attempts are few, and the machine may be gone.
func (r *request) resumesOnSameBackend(outcome retry.Outcome) bool {
	if r.route != nil || r.resumeAfter == "" {
		return false
	}
	return outcome == retry.Broken || r.responseStarted || r.arrived.NonIdempotent
}

// retryOrGiveUp calls again if the request has attempts left and the service's retry
// budget, or that of another instance, allows one, and ends the request otherwise. On a route, a request that was not
// sent reached no backend server, so its retry costs no budget.
func (n *Node) retryOrGiveUp(r *request, outcome retry.Outcome, again func(*Node, *request)) {
	why := outcome.Reason()
	spent := r.attempts-r.withdrawals >= r.policy.maxAttempts || r.execution.Runs() >= r.policy.maxRuns
	switch {
	case n.poison.tracker.RetryEndsAnother(&r.poison):
		n.giveUp(r, reason.PoisonRequest)
	case spent && r.attempts > 1:
		n.giveUp(r, reason.AttemptsExhausted)
	case spent:
		n.giveUp(r, why)
	case !n.chargesRetryBudget(r, outcome), n.takeRetry(r.service.Name):
		again(n, r)
	default:
		n.borrowRetry(r, func(n *Node, r *request) bool {
			again(n, r)
			return true
		}, func(n *Node, r *request) { n.giveUp(r, reason.RetryBudget) })
	}
}

// chargesRetryBudget reports whether the next attempt is charged to the retry budget. On
// a route it is charged only if the failed attempt may have reached its backend server.
func (n *Node) chargesRetryBudget(r *request, outcome retry.Outcome) bool {
	return r.route == nil || outcome != retry.NotSent
}

// resumeWithDelay resumes a stream immediately after the first attempt, and after a pause
// from then on, so that an unresponsive engine gets time to recover.
func (n *Node) resumeWithDelay(r *request) {
	if r.attempts == 1 {
		n.resumeOnSameBackend(r)
		return
	}
	n.schedule(n.now.Add(resumePause), r, (*Node).resumeOnSameBackend)
}

// deadlinePassed ends a request at its deadline without waiting for the attempt in
// progress. Otherwise a frozen backend server would block the caller.
func (n *Node) deadlinePassed(r *request) {
	r.waiting = r.waitsFor()
	n.recordWaitInVain(r)
	if r.running {
		n.attemptDone(r)
		n.emit(CancelAttempt{Request: r.arrived.Request, Attempt: r.attempts})
	}
	n.giveUp(r, reason.DeadlineExceeded)
}

// giveUp ends a request without a complete successful response. The caller gets an error
// response, or the failure response of a backend server.
func (n *Node) giveUp(r *request, why reason.Reason) {
	outcome := r.outcome()
	if outcome == reason.NotRun && r.claimed {
		n.endClaim(r, claims.Released)
	}
	n.finish(r, Finish{
		Backend:        r.backend,
		Attempt:        r.attempts,
		Outcome:        outcome,
		Reason:         why,
		RetryAfter:     max(r.retryAfter, n.retryAfterOf(r, why)),
		Utilization:    n.refusalUtilization(r.service.Name, why),
		ForwardFailure: r.hasFailureResponse && !r.responseStarted && !r.callerGone,
	})
}
