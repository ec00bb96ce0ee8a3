package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// changeMark pairs a time with the view's sequence number at that time.
type changeMark struct {
	seq uint64
	at  time.Time
}

// markChanges records the view's sequence number at regular intervals. A peer that connects is
// sent the later changes, which the platform's list may not show yet. Changes from the first
// reads of the list are not sent to any peer.
func (n *Node) markChanges() {
	p := &n.peers
	if p.initialSeq == 0 && !n.members.readAt.IsZero() {
		p.initialSeq = n.view.Seq()
	}
	if len(p.marks) == 0 || n.now.Sub(p.marks[len(p.marks)-1].at) >= changeMarkInterval {
		p.marks = append(p.marks, changeMark{n.view.Seq(), n.now})
	}
	for len(p.marks) > 1 && n.now.Sub(p.marks[1].at) > maxFactAge {
		p.marks = p.marks[1:]
	}
}

// skipChangesUpTo marks the view's changes up to seq as known to every peer. Running instances
// know what a starting instance reads in its first lists, and those that start at the same time
// read the same lists. When hundreds started together, each sent each peer the records of all
// others.
func (n *Node) skipChangesUpTo(seq uint64) {
	n.peers.initialSeq = seq
	for _, p := range n.peers.byName {
		p.sentFactsSeq = max(p.sentFactsSeq, seq)
		p.sentMembersSeq = max(p.sentMembersSeq, seq)
	}
}

// knownSeqOnConnect returns the sequence number up to which a peer that connects now needs no
// changes.
func (n *Node) knownSeqOnConnect() uint64 {
	if len(n.peers.marks) == 0 {
		return n.view.Seq()
	}
	return max(n.peers.initialSeq, n.peers.marks[0].seq)
}

// addMembers adds the view's changes since the last digest to the peer. Every instance forwards
// the changes that it learns, so they reach all zones without the platform. New instances are
// sent as full records, because the receiver may not have read the list since. In a large fleet
// they are delayed, and most receivers have read the list by then.
func (n *Node) addMembers(p *peerState, d *Digest) {
	for _, member := range n.changesSince(p.sentFactsSeq) {
		if member.State != membership.Live && !n.backends.log.Conveys(member) {
			d.Facts = append(d.Facts, membership.Fact{Name: member.Name, Incarnation: member.Incarnation, State: member.State})
		}
	}
	p.sentFactsSeq = n.view.Seq()
	if n.now.Before(p.membersDue) {
		return
	}
	if n.multiHop() {
		p.membersDue = n.now.Add(n.jitter(memberRecordInterval))
	}
	for _, member := range n.changesSince(p.sentMembersSeq) {
		if member.State == membership.Live && !n.backends.log.Conveys(member) && p.receivedMembers[member.Name] < member.Incarnation {
			d.Members = append(d.Members, n.withWarmUp(member))
		}
	}
	p.sentMembersSeq = n.view.Seq()
	clear(p.receivedMembers)
}

// changesSince returns the view's changes after seq, newest first.
func (n *Node) changesSince(seq uint64) []membership.Member {
	changes, complete := n.view.Changes(seq, maxDigestFacts)
	if !complete {
		n.emit(Counted{Counter: counterShed, Label: "fact", N: 1})
	}
	return changes
}

// announceUrgentChanges schedules immediate digests to all peers for changes that cannot wait
// for the next round: a new configuration in force, changed backend server entries, changed evacuations,
// and instances that are leaving or gone.
func (n *Node) announceUrgentChanges() {
	generation, leaving, seq := n.generation(), n.lifecycle.stopping, n.view.Seq()
	urgent := generation != n.peers.checkedGeneration || leaving != n.peers.checkedLeaving
	urgent = urgent || n.backends.log.Changes() != n.peers.checkedEntryChanges
	n.peers.checkedEntryChanges = n.backends.log.Changes()
	urgent = urgent || n.evacuations.set.AsOf() != n.peers.checkedEvacuations
	n.peers.checkedEvacuations = n.evacuations.set.AsOf()
	if seq != n.peers.checkedSeq {
		changes, _ := n.view.Changes(n.peers.checkedSeq, maxDigestFacts)
		urgent = urgent || slices.ContainsFunc(changes, func(member membership.Member) bool {
			return member.State != membership.Live
		})
	}
	n.peers.checkedGeneration, n.peers.checkedLeaving, n.peers.checkedSeq = generation, leaving, seq
	if urgent {
		n.sendDigestsNow()
	}
}
