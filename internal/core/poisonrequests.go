package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

const (
	// maxDigestPoison is the maximum number of poison records in a digest.
	maxDigestPoison = 32
	// poisonInterval is the minimum interval between two digests with poison records to a peer of a fleet that is no full mesh. While
	// many servers end, each record changes several times within it.
	poisonInterval = 250 * time.Millisecond
	// poisonExpiryInterval is the interval between checks for records to be forgotten.
	poisonExpiryInterval = 10 * time.Second
	// blockedRetryAfter is the Retry-After delay of a blocked request that is not to be sent again
	// as long as it keeps coming.
	blockedRetryAfter = 10 * time.Minute
)

// counterPoison counts events of poison requests by the labels below.
const (
	counterPoison      = "poison_requests"
	labelServerEnded   = "server-ended"
	labelServerAlive   = "server-alive"
	labelEndDisproved  = "end-disproved"
	labelBlocked       = "blocked"
	labelUnblocked     = "unblocked"
	labelTrial         = "trial"
	labelRecordEvicted = "record-evicted"
	// labelDecided counts how often the blocked requests were determined, which takes time in proportion to the suspects.
	labelDecided = "decided"
)

// poisonState holds what this instance knows of requests under which backend servers ended.
type poisonState struct {
	tracker *poison.Tracker
	// late holds the servers that seemed to have ended, and answered later.
	late *poison.LateAnswers
	// blocked are the blocked requests that were last logged.
	blocked  poison.BlockedList
	expireAt time.Time
	// spread holds the changed records of which peers are to be told.
	spread *poison.Spread
	// store holds which records are to be written to the platform's store.
	store poisonStoreState
}

func newPoisonState() poisonState {
	return poisonState{
		tracker: poison.NewTracker(), late: poison.NewLateAnswers(), store: newPoisonStoreState(),
		spread: poison.NewSpread(),
	}
}

// refusesPoison reports whether a request is to be refused on arrival because its content or a part is blocked. When
// a trial is due, the request becomes that trial.
func (n *Node) refusesPoison(r *request) bool {
	return n.poison.tracker.Refuses(&r.poison, n.settings.Name, n.hearsAllPeers(), n.now)
}

// hearsAllPeers reports whether no instance of the layout is silent. An instance that is cut off
// from others starts no trial, because it does not learn of theirs.
func (n *Node) hearsAllPeers() bool {
	for name := range n.peers.inLayout {
		if !n.peerConnectedTo(name) || n.peerSilent(name) {
			return false
		}
	}
	return true
}

// recordTrial records the first attempt of a trial and tells the other instances.
func (n *Node) recordTrial(r *request) {
	if !r.poison.IsTrial || r.attempts > 0 {
		return
	}
	for _, key := range n.poison.tracker.BlockedAmong(&r.poison) {
		n.poison.tracker.Trial(key, n.now)
		n.poisonChanged(sourceSelf, key)
	}
	n.emit(Counted{Counter: counterPoison, Label: labelTrial, N: 1})
}

// leastLoaded returns the index of the reachable backend server with the lowest load that is allowed for the request and was not
// tried yet, or routing.None. A trial goes there, so that few other requests are lost if it ends
// one more server.
func (p *pool) leastLoaded(r *request) int {
	best := routing.None
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Unreachable || c.Cold || slices.Contains(r.tried, c.Name) || !r.zoneAllowed(c.Zone) {
			continue
		}
		if best == routing.None || c.Load < p.candidates[best].Load {
			best = i
		}
	}
	return best
}

// poisonRetryAfter returns the Retry-After delay of a request that is refused for what is blocked: the time until the
// next trial.
func (n *Node) poisonRetryAfter(r *request) time.Duration {
	delay, ever := n.poison.tracker.UntilTrial(&r.poison, n.settings.Name, n.now)
	if !ever {
		return blockedRetryAfter
	}
	return max(delay, defaultRetryAfter)
}

// retryAfterOf returns the Retry-After delay for a request that ends for reason why.
func (n *Node) retryAfterOf(r *request, why reason.Reason) time.Duration {
	if why == reason.PoisonRequest {
		return n.poisonRetryAfter(r)
	}
	if why == reason.StreamVersionGone {
		return n.streamRetryAfter(*r.software)
	}
	return n.retryAfterFor(r.target, why)
}

// updatePoison updates the poison records from the outcome of an attempt.
func (n *Node) updatePoison(r *request, e AttemptEnded) {
	switch {
	case e.ServerEnded:
		n.serverEnded(&r.poison)
	case e.Outcome == retry.Answered && !e.Uncertain, e.Outcome == retry.Failed:
		n.poison.late.Note(n.poison.tracker, r.poison.Start, r.sentAt, n.now)
		n.poisonChanged(sourceSelf, n.poison.tracker.Answered(&r.poison, n.now)...)
	}
}

// softwareName names the software that runs the last attempt: two services may run different programs under one
// version.
func (r *request) softwareName() string { return r.service.Name + " " + r.version }

// responseBegan records that the response of the last attempt has begun.
func (n *Node) responseBegan(r *request) {
	r.poison.BeganAt = n.now
	if len(r.poison.Parts) == 0 {
		return
	}
	number := r.number
	n.schedule(n.now.Add(poison.BeginWindow), r, func(n *Node, r *request) {
		if r.selectAttempt(number) {
			n.poisonChanged(sourceSelf, n.poison.tracker.Begun(&r.poison)...)
		}
	})
}

// serverHasEnded decides whether a backend server ended under a request.
func (n *Node) serverHasEnded(r *request, e *AttemptEnded) bool {
	if !e.ServerEnded {
		return false
	}
	ended, disproved := n.paths.tracker.ConfirmsEnd(r.backend, r.service.Name, e.EndChecks)
	if disproved {
		n.emit(Counted{Counter: counterPoison, Label: labelEndDisproved, N: 1})
	}
	return ended
}

// serverStart returns the current start of a backend server.
func (n *Node) serverStart(backend string) poison.Server {
	server := poison.Server{Name: backend}
	if member := n.view.Get(backend); member != nil {
		server.Incarnation = member.Incarnation
	}
	return server
}

// serverEnded records that the backend server of a request's last attempt ended while it held the request. The end of a server that
// was leaving or whose entry had been removed was planned, and the request has no part in it.
func (n *Node) serverEnded(held *poison.Request) {
	start := held.Start
	member := n.view.Get(start.Name)
	if member != nil && member.Incarnation == start.Incarnation && member.State != membership.Live {
		return
	}
	if changed := n.poison.tracker.ServerEnded(held, n.now); len(changed) > 0 {
		n.emit(Counted{Counter: counterPoison, Label: labelServerEnded, N: 1})
		n.poisonChanged(sourceSelf, changed...)
	}
}

// voidPlannedEnd voids the end of a server whose entry says that it was leaving.
func (n *Node) voidPlannedEnd(member *membership.Member) {
	if member.State == membership.Leaving {
		server := poison.Server{Name: member.Name, Incarnation: member.Incarnation}
		n.poisonChanged(sourceSelf, n.poison.tracker.Void(server, n.now)...)
	}
}

// tickPoison tells of changed records, forgets old ones, and voids the ends of servers that turned out to be alive.
func (n *Node) tickPoison() {
	n.voidAlive()
	n.tickPoisonStore()
	n.tellPoisonChanges()
	n.logBlocked()
	if decisions := n.poison.tracker.TakeDecisions(); decisions > 0 {
		n.emit(Counted{Counter: counterPoison, Label: labelDecided, N: decisions})
	}
	if n.now.Before(n.poison.expireAt) {
		return
	}
	n.poison.expireAt = n.now.Add(poisonExpiryInterval)
	n.poison.tracker.Expire(n.now)
	n.poison.spread.Expire(n.poison.tracker)
	n.poison.store.writer.Expire(n.poison.tracker)
	if evicted := n.poison.tracker.TakeEvicted(); evicted > 0 {
		n.emit(Counted{Counter: counterPoison, Label: labelRecordEvicted, N: evicted})
	}
}

// voidAlive voids the ends of servers that answered later. A server may start again under the same
// name, and its answers then say nothing about its former start. So an answer counts only once the
// store must have told of a new start.
func (n *Node) voidAlive() {
	for _, server := range n.poison.late.TakeOlder(n.settings.ChangeBound, n.now) {
		if member := n.view.Get(server.Name); member == nil || member.Incarnation != server.Incarnation {
			continue
		}
		n.emit(Counted{Counter: counterPoison, Label: labelServerAlive, N: 1})
		n.poisonChanged(sourceSelf, n.poison.tracker.Void(server, n.now)...)
	}
}

// poisonChanged notes changed records. Peers are told with the next digests, and what is blocked is determined by then once for all
// changes: it would take the processor time of the requests if each message did so.
func (n *Node) poisonChanged(from poisonSource, keys ...poison.Key) {
	for _, key := range keys {
		n.noteUnstored(from, key)
		if from == sourceSelf || from == sourceStore {
			n.poison.spread.Observed(key)
		} else {
			n.poison.spread.ToldBy(key, string(from))
		}
	}
}

// advancePoison makes the next digest to a peer due as soon as it may carry records.
func (p *peerState) advancePoison(now time.Time) {
	if due := later(now, p.poisonDue); due.Before(p.digestDue) {
		p.digestDue = due
	}
}

// addPoison adds the records that the peer is to be sent, those of the most suspicious requests first.
func (n *Node) addPoison(p *peerState, d *Digest) {
	if len(p.pendingPoison) == 0 || n.now.Before(p.poisonDue) {
		return
	}
	if n.multiHop() {
		p.poisonDue = n.now.Add(poisonInterval)
	}
	for _, key := range n.poison.tracker.Select(slices.Collect(maps.Keys(p.pendingPoison)), maxDigestPoison) {
		delete(p.pendingPoison, key)
		if record, ok := n.poison.tracker.Record(key, n.now); ok {
			d.Poison = append(d.Poison, record)
		}
	}
}

// mergePoison merges the records from another source.
func (n *Node) mergePoison(from poisonSource, records []poison.Record) {
	for _, record := range records {
		if n.poison.tracker.Merge(record, n.now) {
			n.poisonChanged(from, record.Key)
		}
		n.heardPoison(from, record)
		for _, end := range record.Ends {
			if member := n.view.Get(end.Name); member != nil && n.backends.log.Conveys(*member) {
				n.voidPlannedEnd(member)
			}
		}
	}
}

// logBlocked logs the requests that are blocked since the last call, and those that no longer are.
func (n *Node) logBlocked() {
	added, removed := n.poison.blocked.Update(n.poison.tracker)
	for _, key := range added {
		n.logPoison(key, labelBlocked)
	}
	for _, key := range removed {
		n.logPoison(key, labelUnblocked)
	}
}

func (n *Node) logPoison(key poison.Key, state string) {
	record, _ := n.poison.tracker.Record(key, n.now)
	var names []string
	for _, end := range record.Ends {
		names = append(names, end.Name)
	}
	subject := SubjectRequest
	if record.Position > 0 {
		subject = SubjectPromptPart
	}
	n.emit(Counted{Counter: counterPoison, Label: state, N: 1})
	n.emit(StateChanged{
		Subject: subject, Name: key.String(), State: state,
		Cause: fmt.Sprintf("backend servers that ended under it: %s; trials: %d", strings.Join(names, " "), record.Trials),
	})
}
