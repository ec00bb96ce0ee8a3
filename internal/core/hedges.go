package core

import (
	"slices"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/headroom"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// A hedge is a further attempt of a request whose attempts in progress are all silent.
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

// attempt is one attempt of a request.
type attempt struct {
	// number counts the request's attempts from 1.
	number int
	// running is set while the attempt is in progress.
	running bool
	sentAt  time.Time
	// backend and address identify the backend server.
	backend string
	address string
	// version is the version of its software, as far as this instance knew when it sent the attempt.
	version string
	// placement is the placement hint for the response.
	placement string
	// loan is the borrowed slot on which the attempt runs, nil if it needs none.
	loan *headroom.Loan
	// charged is set if the attempt was charged to the retry budget before it was known whether it would be sent.
	charged bool
	// silent is set once the server has sent nothing for the attempt's timeout.
	silent bool
	// outcomeCounted is set once the attempt was counted as a success or a failure of its server.
	outcomeCounted bool
	// run is what the poison tracker knows of the attempt while it is one of those in request.hedged.
	run poison.Run
}

// focus makes an attempt in progress the one that the request's fields describe, and reports whether there is one with
// that number.
func (r *request) focus(number int) bool {
	if r.running && r.number == number {
		return true
	}
	i := slices.IndexFunc(r.hedged, func(a attempt) bool { return a.number == number })
	if i < 0 {
		return false
	}
	other := r.hedged[i]
	r.hedged = slices.Delete(r.hedged, i, i+1)
	if r.running {
		r.setAside()
	}
	r.attempt, r.poison.Run = other, other.run
	return true
}

// setAside moves the attempt that the request's fields describe to the others in progress.
func (r *request) setAside() {
	r.run = r.poison.Run
	r.hedged = append(r.hedged, r.attempt)
	r.attempt = attempt{}
}

// inProgress returns the number of attempts in progress.
func (r *request) inProgress() int {
	if r.running {
		return len(r.hedged) + 1
	}
	return len(r.hedged)
}

// attemptSilent counts the first silence of an attempt as a failure of its server, and starts a hedge if all attempts in progress are silent, and another server may serve the request. The
// proxy reports again if none can be started now.
func (n *Node) attemptSilent(e AttemptSilent) {
	r := n.requests[e.Request]
	if r == nil || r.callerGone || !r.focus(e.Attempt) {
		return
	}
	if !r.silent {
		r.silent = true
		n.countOutcome(r, retry.Superseded)
	}
	if !n.now.Before(r.deadline) || !r.mayHedge(e.LastEventID) || n.poison.tracker.Stops(&r.poison, r.runs+r.inProgress()) {
		return
	}
	if r.route == nil {
		n.hedgeOnSameBackend(r, e.LastEventID)
		return
	}
	n.hedge(r, e)
}

// mayHedge reports whether a further attempt may run beside those in progress. lastEvent is the last event that the
// caller's response has.
func (r *request) mayHedge(lastEvent string) bool {
	switch {
	case slices.ContainsFunc(r.hedged, func(a attempt) bool { return !a.silent }):
		return false
	case r.attempts >= r.policy.maxAttempts:
		return false
	case r.route == nil:
		return lastEvent != ""
	case !r.policy.repeatable, r.runs+r.inProgress() >= r.policy.maxRuns:
		return false
	default:
		return !r.responseStarted || r.policy.resumable && lastEvent != ""
	}
}

// hedge sends the request to another server beside the attempts in progress, unless there is none with room that may
// answer, or the retry budget is spent.
func (n *Node) hedge(r *request, e AttemptSilent) {
	c := n.placeHedge(r, e.Quiet)
	if c == nil {
		n.countHedge(labelHedgeNone)
		return
	}
	if !n.takeRetry(r.service.Name) {
		n.countHedge(labelHedgeBudget)
		return
	}
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

// backendsInProgress returns the servers of the attempts in progress.
func (r *request) backendsInProgress() []string {
	names := []string{r.backend}
	for _, a := range r.hedged {
		names = append(names, a.backend)
	}
	return names
}

// hedgeOnSameBackend asks the server of a stream of the fleet's own interface for the rest of it on another connection.
// No other server can go on with the stream, and the server does not run it again.
func (n *Node) hedgeOnSameBackend(r *request, lastEvent string) {
	if !n.takeRetry(r.service.Name) {
		n.countHedge(labelHedgeBudget)
		return
	}
	same := attempt{backend: r.backend, address: r.address, placement: r.placement}
	r.setAside()
	r.attempt = same
	n.countHedge(labelHedgeSent)
	n.send(r, SendAttempt{Hedge: true, ResumeAfter: lastEvent, RetryReason: reason.BackendSilent})
}

// placeHedge selects a server for a hedge, or returns nil if there is none: those that have been tried and that cannot be
// reached are none. Quiet ones come last: they may be silent as well, or be at work on a long request.
func (n *Node) placeHedge(r *request, quiet []string) *routing.Candidate {
	tried := r.tried
	excluded := slices.Concat(tried, r.backendsInProgress())
	r.tried, r.quiet = excluded, quiet
	c, refusal := n.place(r)
	r.tried, r.quiet = tried, nil
	if refusal != reason.None || c.Unreachable || slices.Contains(excluded, c.Name) {
		return nil
	}
	return c
}

// attemptSuperseded handles the end of an attempt that was cancelled because another one has delivered. It is no failure of
// its server unless that was silent, which has been counted.
func (n *Node) attemptSuperseded(r *request, unsent bool) {
	if unsent {
		n.refundRetry(r)
	} else {
		r.mayHaveRun = true
		r.runs++
	}
	if r.silent {
		r.tried = append(r.tried, r.backend)
	}
	if !n.goesOnWithHedge(r) {
		// The attempt that delivered has failed since.
		n.afterFailure(r, retry.Broken)
	}
}

// goesOnWithHedge reports whether another attempt is still in progress, and focuses on it.
func (n *Node) goesOnWithHedge(r *request) bool {
	return len(r.hedged) > 0 && r.focus(r.hedged[len(r.hedged)-1].number)
}

// recordLastEvent records the event after which the stream of a broken attempt can go on, "" if it cannot. The end of an
// attempt that had delivered less may be reported later. While another attempt is in progress, an engine that refused to
// resume its stream may hold it all the same.
func (r *request) recordLastEvent(id string) {
	if r.route == nil && len(r.hedged) == 0 {
		r.resumeAfter = id
		return
	}
	if eventNumber(id) > eventNumber(r.resumeAfter) {
		r.resumeAfter = id
	}
}

// eventNumber returns the number of an event ID, -1 if there is none.
func eventNumber(id string) int64 {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return number
}

// dropHedges removes the attempts that are still in progress when the request ends from their servers' loads.
func (n *Node) dropHedges(r *request) {
	for len(r.hedged) > 0 {
		r.focus(r.hedged[0].number)
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

// sentTo reports whether an attempt of the request was sent to a process after a time.
func (r *request) sentTo(process streams.Process, after time.Time) bool {
	server := poison.Server{Name: process.Server, Incarnation: process.Incarnation}
	if r.poison.Start == server && r.sentAt.After(after) {
		return true
	}
	return slices.ContainsFunc(r.hedged, func(a attempt) bool { return a.run.Start == server && a.sentAt.After(after) })
}
