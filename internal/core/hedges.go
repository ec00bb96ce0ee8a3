package core

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/hedge"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// A hedge is a further attempt of a request whose attempts in progress are all silent: they bring the response no further.
//
// A server that is paused cannot be told in time from one that hangs or is cut off, and another server may be silent
// too or have no room. The invariant: a silent attempt is never cancelled before another one has delivered more of the
// response.

// counterHedges counts the reports of silent attempts by what followed.
const (
	counterHedges    = "hedges"
	labelHedgeSent   = "sent"
	labelHedgeBudget = "retry-budget"
	labelHedgeNone   = "no-server"
)

// attemptSilent starts a hedge if all attempts in
// progress are silent and another server may serve the request. The proxy reports again if none can be started now.
func (n *Node) attemptSilent(e AttemptSilent) {
	r := n.requests[e.Request]
	if r == nil || r.callerGone || !r.selectAttempt(e.Attempt) {
		return
	}
	n.countSilence(r, &e)
	switch n.hedgeTarget(r, &e) {
	case hedge.SameServer:
		n.hedgeOnSameBackend(r, e.LastEventID)
	case hedge.AnotherServer:
		n.hedge(r, e)
	}
}

// hedgeTarget returns where a further attempt may be sent now beside those in progress.
func (n *Node) hedgeTarget(r *request, e *AttemptSilent) hedge.Target {
	if !n.now.Before(r.deadline) || n.poison.tracker.Stops(&r.poison, r.execution.Runs()+r.inProgress()) {
		return hedge.None
	}
	return r.hedgeTarget(e)
}

// countSilence counts the first silence of an attempt as a failure of its server. If bytes have arrived, the path is not what
// is silent.
func (n *Node) countSilence(r *request, e *AttemptSilent) {
	switch {
	case r.silent:
	case e.Heard:
		n.countOutcomeAtServer(r, retry.Superseded)
	default:
		n.countOutcome(r, retry.Superseded)
	}
	r.silent = true
	if e.Stuck {
		n.countFault(r)
	}
}

// hedgeTarget returns where a further attempt may be sent beside those in progress.
func (r *request) hedgeTarget(e *AttemptSilent) hedge.Target {
	state := hedge.Request{
		OwnInterface: r.route == nil,
		OthersBusy:   slices.ContainsFunc(r.others, func(a attempt) bool { return !a.silent }),
		Attempts:     r.attempts - r.withdrawals, MaxAttempts: r.policy.maxAttempts,
		Runs: r.execution.Runs() + r.inProgress(), MaxRuns: r.policy.maxRuns,
		Repeatable: r.policy.repeatable, Resumable: r.policy.resumable,
		ResponseStarted: r.responseStarted,
	}
	return state.Target(hedge.Silence{HasEvents: e.LastEventID != "", Stuck: e.Stuck})
}

// hedge sends the request to another server beside the attempts in progress, unless there is none with room that may
// answer, or the retry budget is spent.
func (n *Node) hedge(r *request, e AttemptSilent) {
	c := n.placeHedge(r, e.Quiet)
	if c == nil {
		n.countHedge(labelHedgeNone)
		return
	}
	switch {
	case n.takeRetry(r.service.Name):
		n.sendHedge(r, c, &e)
	case r.retryAsk != nil:
		// The report is repeated while the request waits for a retry.
	case n.anotherAnswers(r, e.Quiet):
		use := func(n *Node, r *request) bool { return n.sendBorrowedHedge(r, &e) }
		n.borrowRetry(r, use, func(n *Node, _ *request) { n.countHedge(labelHedgeBudget) })
	default:
		n.countHedge(labelHedgeBudget)
	}
}

// sendBorrowedHedge sends a hedge once another instance has lent a retry for it, and reports whether it was still needed.
func (n *Node) sendBorrowedHedge(r *request, e *AttemptSilent) bool {
	if r.callerGone || !r.selectAttempt(e.Attempt) || !r.silent || n.hedgeTarget(r, e) != hedge.AnotherServer {
		return false
	}
	c := n.placeHedge(r, e.Quiet)
	if c == nil {
		return false
	}
	n.sendHedge(r, c, e)
	return true
}

// sendHedge sends a hedge to a server.
func (n *Node) sendHedge(r *request, c *routing.Candidate, e *AttemptSilent) {
	send := SendAttempt{Hedge: true, RetryReason: reason.BackendSilent}
	if r.responseStarted {
		send.ResumeAfter = e.LastEventID
	}
	send.Source = n.hedgeSource(r, c, e.Quiet)
	r.setAside()
	n.countHedge(labelHedgeSent)
	n.sendTo(r, c, send)
	r.charged = true
}

// hedgeSource returns the address of an engine from which the hedge's engine can copy cached parts of the prompt, "" if that
// engine may be silent: the hedge would wait for it.
func (n *Node) hedgeSource(r *request, c *routing.Candidate, quiet []string) string {
	p := n.pool(r.service.Name)
	source := n.copySource(r, p, c)
	for _, name := range slices.Concat(quiet, r.backendsInProgress()) {
		if silent := p.find(name); silent != nil && silent.Address == source {
			return ""
		}
	}
	return source
}

// hedgeOnSameBackend asks the server of a stream of the fleet's own interface for the rest of it on another connection.
// No other server can go on with the stream, and the server does not run it again.
func (n *Node) hedgeOnSameBackend(r *request, lastEvent string) {
	if n.isCold(r.backend) {
		n.countHedge(labelHedgeNone)
		return
	}
	if !n.takeRetry(r.service.Name) {
		n.countHedge(labelHedgeBudget)
		return
	}
	same := attempt{backend: r.backend, address: r.address, zone: r.zone, placement: r.placement, continuesRun: true}
	r.setAside()
	r.attempt = same
	n.countHedge(labelHedgeSent)
	n.send(r, SendAttempt{Hedge: true, ResumeAfter: lastEvent, RetryReason: reason.BackendSilent})
}

// placeHedge selects a server for a hedge, or returns nil if there is none: those that have been tried and that cannot be
// reached are none, nor are cold ones: a hedge is not worth a permit. Quiet ones come last: they may be silent as well, or be at work on a long request.
func (n *Node) placeHedge(r *request, quiet []string) *routing.Candidate {
	tried := r.tried
	excluded := slices.Concat(tried, r.backendsInProgress())
	r.tried, r.quiet, r.warmOnly = excluded, quiet, true
	c, refusal := n.place(r)
	r.tried, r.quiet, r.warmOnly = tried, nil, false
	if refusal != reason.None || c.Unreachable || slices.Contains(excluded, c.Name) {
		return nil
	}
	return c
}

// attemptSuperseded handles the end of an attempt that was cancelled because another one has delivered. It is no failure of
// its server unless that was silent, which has been counted.
func (n *Node) attemptSuperseded(r *request, unsent bool) {
	if unsent {
		r.execution.NotRun()
		n.refundRetry(r)
	} else {
		r.execution.Ended()
	}
	if r.silent {
		r.tried = append(r.tried, r.backend)
	}
	if !n.goesOnWithHedge(r) {
		// The attempt that delivered has failed since.
		n.afterFailure(r, retry.Broken)
	}
}

// goesOnWithHedge reports whether another attempt is still in progress, and selects it.
func (n *Node) goesOnWithHedge(r *request) bool {
	return len(r.others) > 0 && r.selectAttempt(r.others[len(r.others)-1].number)
}

// dropHedges removes the attempts that are still in progress when the request ends from their servers' loads.
func (n *Node) dropHedges(r *request) {
	for len(r.others) > 0 {
		r.selectAttempt(r.others[0].number)
		n.attemptDone(r)
	}
}

// refundRetry returns the charge of a hedge that reached no server. On a route such an attempt costs no retry.
func (n *Node) refundRetry(r *request) {
	if r.charged {
		r.charged = false
		n.pool(r.service.Name).budget.Refund()
	}
}

func (n *Node) countHedge(label string) {
	n.emit(Counted{Counter: counterHedges, Label: label, N: 1})
}
