package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// The backend servers of an evacuated zone get no new requests, at each instance within the bound on the age of what it knows of
// the store. The evacuations come with the configuration key's reads and watches and with peers' digests, and an
// instance's proof of the age of its knowledge includes them.

const (
	// evacuationsWait is how long an instance that starts is not ready because it does not know the evacuations. Peers of an
	// earlier build do not tell them, and the store may be away.
	evacuationsWait = 3 * time.Second
	// peerBehindLimit is how long a peer may state older evacuations than this instance's until what it proves of the store
	// no longer counts. A peer that lags catches up within a digest round; one that does not has seen the store go back.
	peerBehindLimit = 3 * time.Second
)

// The counter of evacuations and its labels.
const (
	counterEvacuations = "evacuations"
	labelBegun         = "begun"
	labelEnded         = "ended"
	labelRolledBack    = "store-rolled-back"
	labelOlder         = "older-answer"
	labelBadName       = "bad-name"
	labelWithdrawn     = "attempt-withdrawn"
)

// evacuationState is what an instance knows of evacuated zones.
type evacuationState struct {
	set *evacuation.Set
}

// peerEvacuations is which evacuations a peer and this instance have stated to each other, by the revision of their newest
// change; 0 for none.
type peerEvacuations struct {
	stated, sent uint64
	// behindSince is the time since which the peer has stated older ones than this instance's, zero if it does not.
	behindSince time.Time
}

// evacuationEnded is called once for each end of a zone's evacuation, after its servers have become candidates again. Load
// returns to them in steps; see evacuation.Set.Share. They may have turned cold, as they got no requests.
func (n *Node) evacuationEnded(zone string) {
	n.emit(Counted{Counter: counterEvacuations, Label: labelEnded, N: 1})
	n.zoneTurnedCold(zone)
}

// mergeStoredEvacuations merges what an answer of the store shows of the evacuations, and reports whether the answer
// shows the state of the store: one that is older than what is known does not.
func (n *Node) mergeStoredEvacuations(r *evacuation.Read) bool {
	if r == nil {
		return true
	}
	n.reportBadZones(r)
	set := n.evacuations.set
	result := set.MergeRead(*r, n.now)
	n.configs.revision = r.Revision
	if set.Doubted() {
		// Only a complete answer can show that the store has lost changes.
		n.configs.revision = 0
		n.configs.nextCallAt = n.now.Add(configMaxBackoff)
		n.emit(Counted{Counter: counterEvacuations, Label: labelOlder, N: 1})
	}
	source := "the store"
	if result.RolledBack {
		source = "the store, which has lost changes"
		n.emit(Counted{Counter: counterEvacuations, Label: labelRolledBack, N: 1})
	}
	n.evacuationsChanged(result.Changes, source)
	return !result.Ignored
}

// reportBadZones counts and logs the keys of an answer that name no zone.
func (n *Node) reportBadZones(r *evacuation.Read) {
	bad := max(0, len(r.Zones)-evacuation.MaxZones)
	for _, z := range r.Zones {
		if !z.Valid() {
			bad++
		}
	}
	if bad > 0 {
		n.emit(Counted{Counter: counterEvacuations, Label: labelBadName, N: bad})
		n.emit(StateChanged{Subject: SubjectZone, State: "not evacuated", Cause: fmt.Sprintf(
			"%d keys ignored: the name is empty or over %d bytes, or there are over %d", bad, evacuation.MaxNameBytes, evacuation.MaxZones)})
	}
}

// evacuationsChanged applies changes of the set that were learned from a source.
func (n *Node) evacuationsChanged(changes []evacuation.Change, source string) {
	if len(changes) == 0 {
		return
	}
	n.logEvacuations(changes, source)
	n.rebuildPools()
	n.withdrawUnsent()
	for _, c := range changes {
		if c.Ended {
			n.evacuationEnded(c.Name)
			continue
		}
		n.emit(Counted{Counter: counterEvacuations, Label: labelBegun, N: 1})
	}
}

// logEvacuations logs changes of the set, many as one line for each state.
func (n *Node) logEvacuations(changes []evacuation.Change, source string) {
	groups := make(map[string][]string)
	for _, c := range changes {
		state := evacuationStateName(c.Ended)
		if len(changes) >= groupedLogThreshold {
			groups[state] = append(groups[state], c.Name)
			continue
		}
		servers, own := n.zoneRequests(c.Name)
		cause := fmt.Sprintf("told by %s, known as of %v ago; %d servers, %d requests of this instance there", source, n.Staleness().Round(time.Millisecond), servers, own)
		if c.Ended {
			cause += fmt.Sprintf("; evacuated for %v", n.now.Sub(c.Since).Round(time.Millisecond))
		}
		n.emit(StateChanged{Subject: SubjectZone, Name: c.Name, State: state, Revision: c.Revision, Cause: cause})
	}
	for _, ended := range []bool{false, true} {
		if names := groups[evacuationStateName(ended)]; len(names) > 0 {
			n.emit(StateChanged{Subject: SubjectZone, Names: names, State: evacuationStateName(ended), Revision: n.evacuations.set.AsOf(), Cause: "told by " + source})
		}
	}
}

func evacuationStateName(ended bool) string {
	if ended {
		return "evacuation ended"
	}
	return "evacuated"
}

// zoneRequests returns the number of backend servers of a zone, and of this instance's requests in progress there.
func (n *Node) zoneRequests(zone string) (servers, own int) {
	for _, p := range n.pools {
		for _, list := range [][]routing.Candidate{p.candidates, p.leaving} {
			for i := range list {
				if list[i].Zone == zone {
					servers++
					own += n.load.Own(list[i].Name)
				}
			}
		}
	}
	return servers, own
}

// withdrawUnsent withdraws the attempts at evacuated zones' servers. The proxy carries that out for those of which
// it has sent nothing.
func (n *Node) withdrawUnsent() {
	if !n.evacuations.set.Any() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		if r.running {
			n.withdraw(r, &r.attempt)
		}
		for i := range r.others {
			n.withdraw(r, &r.others[i])
		}
	}
}

func (n *Node) withdraw(r *request, a *attempt) {
	if a.withdrawn || a.continuesRun || !n.evacuations.set.Evacuated(a.zone) {
		return
	}
	a.withdrawn = true
	n.emit(WithdrawAttempt{Request: r.arrived.Request, Attempt: a.number})
}

// attemptWithdrawn places a request again whose attempt has ended before anything was sent. That is no failure of its server, and
// costs the request neither an attempt nor a retry.
func (n *Node) attemptWithdrawn(r *request) {
	n.refundRetry(r)
	r.withdrawals++
	n.emit(Counted{Counter: counterEvacuations, Label: labelWithdrawn, N: 1})
	switch {
	case n.goesOnWithHedge(r):
	case r.callerGone:
		n.giveUp(r, reason.CallerGone)
	case !n.now.Before(r.deadline):
		n.giveUp(r, reason.DeadlineExceeded)
	case n.endsWithGrace(r.deadline):
		n.giveUp(r, reason.Stopping)
	case r.responseStarted && r.resumeAfter == "":
		n.giveUp(r, reason.BrokenStream)
	default:
		n.placeAndSend(r, SendAttempt{RetryReason: reason.ZoneEvacuated, ResumeAfter: r.resumeAfter})
	}
}

// tickEvacuations updates the shares of zones to which load returns.
func (n *Node) tickEvacuations() {
	set := n.evacuations.set
	if !set.Returning() {
		return
	}
	for _, p := range n.pools {
		for i := range p.candidates {
			c := &p.candidates[i]
			c.AbsentShare = 1 - set.Share(c.Zone, n.now)
		}
	}
	for _, zone := range set.TakeReturned(n.now) {
		n.emit(StateChanged{Subject: SubjectZone, Name: zone, State: "in use again", Cause: "all load may return after its evacuation"})
	}
}

// absentDraw returns the number that decides whether a request belongs to the share that uses a zone to which load returns.
func (n *Node) absentDraw(r *request) float64 {
	if !n.evacuations.set.Returning() {
		return 0
	}
	// The hash must not be the one by which servers are ranked.
	return rendezvous.Unit(rendezvous.HashPair("evacuation", string(r.arrived.Request)))
}

// countEvacuated returns the number of live servers of a list that are in evacuated zones.
func (n *Node) countEvacuated(list []routing.Candidate) int {
	count := 0
	for i := range list {
		if n.isEvacuated(&list[i]) {
			count++
		}
	}
	return count
}

// isEvacuated reports whether a server would be used if its zone were not evacuated.
func (n *Node) isEvacuated(c *routing.Candidate) bool {
	return n.evacuations.set.Evacuated(c.Zone) && !n.leaves(c.Name)
}

// evacuatedVersion reports whether a live server in an evacuated zone has a version.
func (n *Node) evacuatedVersion(p *pool, version string) bool {
	return slices.ContainsFunc(p.leaving, func(c routing.Candidate) bool { return c.Version == version && n.isEvacuated(&c) })
}

// evacuatedOr returns the reason for a refusal: why, unless servers of the service are in evacuated zones.
func (p *pool) evacuatedOr(why reason.Reason) reason.Reason {
	if p.evacuated > 0 {
		return reason.ZoneEvacuated
	}
	return why
}

// evacuationsSettled reports whether an instance that has started knows the evacuations, or has waited long enough for them.
func (n *Node) evacuationsSettled() bool {
	return n.evacuations.set.Known() || n.now.Sub(n.startedAt) >= evacuationsWait
}

// addEvacuations states to a peer which evacuations this instance knows, unless both have stated the same. It reports
// whether the digest must be sent for that. The set is repeated in each digest until the peer states that it has it.
func (n *Node) addEvacuations(p *peerState, d *Digest) bool {
	asOf := n.evacuations.set.AsOf()
	s := &p.evacuations
	if bothStated := asOf == s.sent && s.sent == s.stated; asOf == 0 || bothStated {
		return false
	}
	d.EvacuationsAsOf = asOf
	if s.stated < asOf {
		d.Evacuations = &Evacuations{Zones: n.evacuations.set.Zones()}
	}
	return asOf != s.sent
}

// applyEvacuations applies the evacuations that a peer states.
func (n *Node) applyEvacuations(p *peerState, d *Digest) {
	s := &p.evacuations
	if d.EvacuationsAsOf > 0 {
		if d.EvacuationsAsOf < min(s.stated, n.evacuations.set.AsOf()) {
			// Within one process the number decreases only if the store has lost changes.
			n.evacuations.set.SuspectLoss(n.now)
			s.behindSince = n.now.Add(-peerBehindLimit)
		}
		s.stated = d.EvacuationsAsOf
	}
	if d.Evacuations != nil {
		if s.stated <= n.evacuations.set.AsOf() {
			// The peer has not received what this instance has stated.
			s.sent = 0
		}
		n.evacuationsChanged(n.evacuations.set.MergePeer(s.stated, d.Evacuations.Zones, n.now), p.name)
	}
	switch {
	case s.stated >= n.evacuations.set.AsOf():
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = n.now
	}
}

// hasEvacuationsOf reports whether this instance has all evacuations that a peer knew when it proved how fresh its knowledge is.
// A peer that states none proves nothing.
func (n *Node) hasEvacuationsOf(p *peerState) bool {
	known := p.knowledge.Evacuations
	if known == 0 || n.evacuations.set.AsOf() < known {
		return false
	}
	behind := p.evacuations.behindSince
	return behind.IsZero() || n.now.Sub(behind) < peerBehindLimit
}

// leaves reports whether a backend server is known to leave.
func (n *Node) leaves(backend string) bool {
	member := n.view.Get(backend)
	return member != nil && member.State != membership.Live
}

// Evacuations returns the evacuated zones, sorted by name.
func (n *Node) Evacuations() []status.Evacuation {
	var list []status.Evacuation
	for _, z := range n.evacuations.set.Zones() {
		s := status.Evacuation{Zone: z.Name, Revision: z.Revision, Since: n.evacuations.set.Since(z.Name)}
		s.Servers, s.Own = n.zoneRequests(z.Name)
		for _, p := range n.pools {
			for i := range p.leaving {
				if p.leaving[i].Zone == z.Name {
					s.Load += n.load.Estimate(p.leaving[i].Name)
				}
			}
		}
		list = append(list, s)
	}
	return list
}

// evacuatedBackends lists a service's live backend servers in evacuated zones.
func (n *Node) evacuatedBackends(service string) []status.Backend {
	var list []status.Backend
	p := n.pool(service)
	for i := range p.leaving {
		if c := &p.leaving[i]; n.isEvacuated(c) {
			s := n.candidateStatus(c)
			s.Load, s.Evacuated = n.load.Estimate(c.Name), true
			list = append(list, s)
		}
	}
	return list
}
