package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/bytebudget"
	"github.com/ebonydyke/ebonydyke/internal/core/loadsum"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// sendDigest sends a peer a digest if there are changes or the heartbeat is due.
func (n *Node) sendDigest(p *peerState) {
	d := &Digest{
		Incarnation: n.settings.Incarnation,
		At:          n.now,
		Generation:  n.generation(),
		Leaving:     n.lifecycle.stopping,
		Resync:      p.wantFull,
		WantMembers: n.needsMembers(),
		HearsNotAll: !n.poison.store.separation.HearsAll(),
	}
	changed := d.Generation != p.sentGeneration || d.Leaving != p.sentLeaving || d.HearsNotAll != p.sentHearsNotAll
	changed = changed || n.backends.log.Shareable() != p.sentEntriesUpTo
	n.addLoads(p, d)
	n.addReports(p, d)
	changed = changed || n.needsProof(p)
	n.addStaleness(p, d)
	d.EntriesUpTo = n.backends.log.Shareable()
	changed = n.addEvacuations(p, d) || changed
	n.addFacts(p, d)
	n.addRestarts(p, d)
	if p.membersPending {
		p.membersPending = false
		d.Members = n.knownMembers()
	}
	// A full digest is requested each round until it arrives, but not while the peer is silent.
	changed = changed || d.Full || d.hasChanges() || (d.Resync && !p.loadsDropped)
	if !changed && n.now.Sub(p.digestSentAt) < n.heartbeatDelay() {
		return
	}
	p.seq++
	d.Seq = p.seq
	p.digestSentAt = n.now
	p.sentGeneration, p.sentLeaving, p.sentEntriesUpTo = d.Generation, d.Leaving, d.EntriesUpTo
	p.sentHearsNotAll = d.HearsNotAll
	if d.EvacuationsAsOf > 0 {
		p.evacuations.sent = d.EvacuationsAsOf
	}
	n.emit(SendPeer{To: p.name, Message: PeerMessage{Digest: d}})
}

// addFacts adds changes of other instances and of backend servers. A peer in another zone that
// gets only loads receives the facts from other instances.
func (n *Node) addFacts(p *peerState, d *Digest) {
	if n.inLayout(p.name) && !n.receivesFacts(p.name) {
		p.sentFactsSeq, p.sentMembersSeq = n.view.Seq(), n.view.Seq()
		n.addPoison(p, d)
		return
	}
	n.addMembers(p, d)
	n.addAnswers(p, d)
	n.addPoison(p, d)
}

// hasChanges reports whether any list of the digest has an entry.
func (d *Digest) hasChanges() bool {
	loads := len(d.Loads) + len(d.RowSums) + len(d.Totals) + len(d.Reports)
	return loads+len(d.Facts)+len(d.Members)+len(d.Answers)+len(d.Poison)+len(d.Restarts) > 0
}

// heartbeatDelay returns the time since its last digest after which a peer is sent one even without
// changes. It is one round less than the maximum interval, since digests are due once a round.
func (n *Node) heartbeatDelay() time.Duration {
	if n.sendsFollowerDigests() {
		return n.followerDigestInterval() - n.digestInterval()
	}
	return heartbeatInterval - n.digestInterval()
}

func (n *Node) generation() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Generation
}

// needsMembers reports whether this instance started while the platform was unreachable and must
// get the list of instances from its peers.
func (n *Node) needsMembers() bool {
	return n.members.readAt.IsZero() && n.members.failures > 0 && n.view.Seq() == 0
}

// knownMembers returns the instances that are not gone. It does not include those missing from
// the platform's list, since their absence is this instance's own inference.
func (n *Node) knownMembers() []membership.Member {
	var members []membership.Member
	n.view.Each(func(member *membership.Member) {
		if member.State != membership.Gone {
			members = append(members, n.withWarmUp(*member))
		}
	})
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// addLoads adds the loads that changed since the last digest, or all loads if the digest is
// full.
func (n *Node) addLoads(p *peerState, d *Digest) {
	level := n.peers.byteBudget.Level(n.now)
	if level == bytebudget.NoLoads {
		return
	}
	if p.fullDigestDue.IsZero() {
		// The first refresh is at a random point of the interval, so that instances started
		// together do not refresh at the same time.
		p.fullDigestDue = n.now.Add(time.Duration(n.random.Float64() * float64(fullDigestInterval)))
	}
	if !n.now.Before(p.fullDigestDue) {
		p.fullDigestDue = n.now.Add(n.jitter(fullDigestInterval))
		if level == bytebudget.SendAll {
			p.fullPending = true
		} else {
			n.emit(Counted{Counter: counterShed, Label: "refresh", N: 1})
		}
	}
	current := n.loadsFor(p)
	if n.now.Sub(n.peers.layoutChangedAt) < layoutHandoverPeriod {
		current.RetainSent(p.sent)
	}
	d.Full, p.fullPending = p.fullPending, false
	changes := current.Diff(p.sent, d.Full, level == bytebudget.NoSmallChanges)
	d.Loads, d.RowSums, d.Totals = changes.Own, changes.RowSums, changes.Totals
	if changes.Shed > 0 {
		n.emit(Counted{Counter: counterShed, Label: "load", N: changes.Shed})
	}
}

// loadsFor returns the loads to be sent to a peer.
func (n *Node) loadsFor(p *peerState) loadsum.Loads {
	if n.outsideLayout(p.name) {
		return loadsum.NewLoads()
	}
	if n.peers.round == nil {
		n.peers.round = n.peers.sums.NewRound()
	}
	return n.peers.round.LoadsFor(p.name)
}

func (n *Node) addReports(p *peerState, d *Digest) {
	if len(p.pendingReports) == 0 {
		return
	}
	if n.peers.byteBudget.Level(n.now) == bytebudget.NoLoads {
		n.emit(Counted{Counter: counterShed, Label: "report", N: len(p.pendingReports)})
	} else {
		for _, backend := range slices.Sorted(maps.Keys(p.pendingReports)) {
			d.Reports = append(d.Reports, p.pendingReports[backend])
		}
	}
	clear(p.pendingReports)
}

// applyDigest applies a digest from a peer.
func (n *Node) applyDigest(from string, d *Digest) {
	p := n.peer(from)
	if !n.acceptDigest(p, d) {
		return
	}
	p.receivedAt = n.now
	p.loadsDropped = false
	n.heardFromZone(from)
	if member := n.view.Get(from); len(d.RowSums) > 0 && member != nil && member.Zone != n.settings.Zone {
		// The other zone sends its loads because it needs the loads of all zones. This zone
		// then sends its own as well.
		n.peers.crossZoneLoads = true
	}
	// This is needed even without changes, because the tracker ages the loads of silent peers.
	n.applyPeerLoads(p.name, p.received.Apply(loadsum.Changes{Own: d.Loads, RowSums: d.RowSums, Totals: d.Totals}, d.Full))
	if d.Resync {
		p.fullPending = true
		n.queueAllPoison(p)
	}
	if d.WantMembers {
		p.membersPending = true
	}
	if d.Leaving && !p.leaving {
		p.leaving = true
		n.recordPeerLeaving(from)
	}
	for _, member := range d.Members {
		p.receivedMembers[member.Name] = member.Incarnation
	}
	n.mergeMembers(d.Members)
	n.mergeFacts(d.Facts...)
	for _, r := range d.Reports {
		n.applyBackendReport(r)
		n.recordBackendReport(r.Backend)
	}
	p.hearsNotAll = d.HearsNotAll
	n.mergePoison(poisonSource(from), d.Poison)
	n.applyEvacuations(p, d)
	n.recordPeerKnowledge(p, d)
	n.peerRestarts(p, d)
	n.requestMissingEntries(from, d)
	n.peerAnswers(d)
	n.requestNewerConfig(from, d.Generation)
}

// acceptDigest reports whether a digest is new. Digests from an earlier incarnation, duplicates
// and late ones are rejected, since they would restore loads that have ended.
func (n *Node) acceptDigest(p *peerState, d *Digest) bool {
	switch {
	case d.Incarnation < p.incarnation:
		n.emit(Counted{Counter: counterStale, Label: "incarnation", N: 1})
		return false
	case d.Incarnation > p.incarnation:
		n.dropLoads(p)
		p.lastSeq, p.leaving = 0, false
		p.setIncarnation(d.Incarnation)
	}
	if d.Seq <= p.lastSeq {
		n.emit(Counted{Counter: counterStale, Label: "sequence", N: 1})
		return false
	}
	if d.Full {
		p.wantFull = false
	} else if d.Seq > p.lastSeq+1 {
		p.wantFull = true
	}
	p.lastSeq = d.Seq
	return true
}

// recordPeerLeaving records the fact that a peer has begun its graceful shutdown, so that it is
// sent on. The fact uses the incarnation in the platform's list, which may differ from the
// process's own.
func (n *Node) recordPeerLeaving(name string) {
	if member := n.view.Get(name); member != nil {
		n.mergeFacts(membership.Fact{Name: name, Incarnation: member.Incarnation, State: membership.Leaving})
	}
}

// requestNewerConfig requests a peer's configuration if its generation is newer. A text that this
// instance cannot accept is not requested again at once.
func (n *Node) requestNewerConfig(from string, generation uint64) {
	if generation <= n.generation() || !n.peers.configRequests.Due(generation, n.now) {
		return
	}
	n.emit(SendPeer{To: from, Message: PeerMessage{ConfigWanted: &ConfigWanted{Above: n.generation()}}})
}
