package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/freshness"
)

// A few instances, the followers, watch the store and send its changes to all others. If every
// instance had a watch, each change would cost one call per instance. Package freshness decides
// which instances follow the store, and this file joins it to the node.
const (
	// isolationTimeout is the time without messages from any peer after which an instance
	// considers itself cut off: two heartbeats.
	isolationTimeout = 2 * heartbeatInterval
	// meshFollowerInterval and rowFollowerInterval are the maximum intervals between a
	// follower's digests, in a full mesh and in a larger fleet.
	meshFollowerInterval, rowFollowerInterval = 500 * time.Millisecond, time.Second
	// joinSettleTime is how long a starting instance waits for other instances to appear before it
	// may become a follower by rank. Instances that start together find each other in this
	// time.
	joinSettleTime = time.Second
	// maxRetryDelay is the maximum delay before a call is repeated. A removal that an instance reads
	// later than that after a failed call is not taken for a lapsed entry any more.
	maxRetryDelay = lapseOutageWindow - 200*time.Millisecond
)

// storeCall is a call in progress by which this instance follows the store.
type storeCall struct {
	// op is 0 if there is no call.
	op OpID
	freshness.Call
}

// newStoreCall returns a call that is sent now, with the hold of a watch, 0 for a read.
func (n *Node) newStoreCall(hold time.Duration) storeCall {
	return storeCall{op: n.nextOp(), Call: freshness.Call{SentAt: n.now, Hold: hold}}
}

// moment returns the present time with the facts that determine this instance's knowledge of the store.
func (n *Node) moment() freshness.Moment {
	return freshness.Moment{Now: n.now, StartedAt: n.startedAt, UsesEntries: n.usesBackendEntries()}
}

// tickFollow determines again whether this instance follows the store.
func (n *Node) tickFollow() {
	n.liveInstances()
	n.adoptPeerKnowledge()
	cause, changed := n.follow.Choose(n.moment(), freshness.Needs{
		LacksData: n.lacksData(), Joining: n.joining(), Doubted: n.evacuations.set.Doubted(), Versions: n.needsVersions(),
	})
	switch {
	case !changed:
	case cause == freshness.NotFollowing:
		n.emit(StateChanged{Subject: SubjectStore, State: "not followed"})
	default:
		n.emit(StateChanged{Subject: SubjectStore, State: "followed", Cause: string(cause)})
	}
	n.reportOutdated()
}

// reportOutdated logs when the knowledge of the store gets older than the operators allow, and when
// it is fresh again. Meanwhile requests may be handled by an earlier configuration.
func (n *Node) reportOutdated() {
	outdated, changed := n.follow.Outdated(n.moment())
	if !changed {
		return
	}
	state := "current"
	if outdated {
		state = "outdated"
	}
	n.emit(StateChanged{Subject: SubjectStore, State: state, Cause: "age of what this instance knows of it"})
}

// sendsFollowerDigests reports whether the peers in this instance's layout expect its digests at
// the follower interval.
func (n *Node) sendsFollowerDigests() bool { return n.follow.SendsDigests(n.moment()) }

// followerDigestInterval returns the maximum interval between a follower's digests.
func (n *Node) followerDigestInterval() time.Duration {
	if n.multiHop() {
		return rowFollowerInterval
	}
	return meshFollowerInterval
}

// joining reports whether this instance has just started and cannot know its rank yet, because
// it has not read the list since the other starting instances appeared in it.
func (n *Node) joining() bool {
	settled := n.startedAt.Add(joinSettleTime)
	if n.members.failures > 0 {
		return n.now.Before(settled)
	}
	return n.members.readAt.Before(settled)
}

// isolated reports whether this instance has received no message from any peer for so long
// that it considers itself cut off from them.
func (n *Node) isolated() bool {
	return n.now.Sub(later(n.members.lastPeerContactAt, n.startedAt)) > isolationTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lacksData reports whether this instance lacks data that it needs to serve requests.
func (n *Node) lacksData() bool {
	return n.snapshot == nil || n.snapshot.FromPlatform() && n.backends.log.Complete() == 0
}

// recordWaitingCaller records that a caller waits, or is refused, because this instance lacks data.
func (n *Node) recordWaitingCaller() {
	if n.lacksData() {
		n.follow.CallerWaited(n.now)
	}
}

// knownAsOf returns the time as of which this instance knows all of the store, zero if it does not.
func (n *Node) knownAsOf() time.Time { return n.follow.KnownAsOf(n.moment()) }

// Staleness returns the age of what this instance knows of the store. An instance that knows
// nothing yet counts from its start.
func (n *Node) Staleness() time.Duration { return n.follow.Staleness(n.moment()) }

// provenAsOf returns the time that this instance's digests prove, zero for none. While it withholds
// removals of entries that may have lapsed, it does not prove anything: its digests do not
// show that the entries changed.
func (n *Node) provenAsOf() time.Time {
	if n.backends.log.HasLapsed() {
		return time.Time{}
	}
	return n.knownAsOf()
}

// addStaleness adds the age of this instance's knowledge to a digest.
func (n *Node) addStaleness(p *peerState, d *Digest) {
	if at := n.provenAsOf(); !at.IsZero() {
		d.Staleness = max(time.Millisecond, n.now.Sub(at))
		p.sentAsOf = at
	}
}

// needsProof reports whether a peer's knowledge may soon be too old, and this instance has fresher
// proof for it. In a full mesh the followers' own digests suffice.
func (n *Node) needsProof(p *peerState) bool {
	if !n.receivesFacts(p.name) || !n.multiHop() && !n.sendsFollowerDigests() {
		return false
	}
	return n.follow.NeedsProof(later(p.sentAsOf, p.knowledge.AsOf), n.provenAsOf(), n.now)
}

// recordPeerKnowledge records what a peer's digest proves. The age in the digest counts from the
// time at which it was made, which may be long before it is read, if this instance was frozen.
func (n *Node) recordPeerKnowledge(p *peerState, d *Digest) {
	p.clock.Observe(n.now, d.At)
	madeAt, known := p.clock.ToLocal(d.At)
	if d.Staleness > 0 && known {
		p.knowledge = freshness.Proof{
			AsOf: madeAt.Add(-d.Staleness), Generation: d.Generation, Entries: d.EntriesUpTo, Evacuations: p.evacuations.stated,
		}
	}
}

// adoptPeerKnowledge applies the proof of peers of which this instance has every change.
func (n *Node) adoptPeerKnowledge() {
	generation, entries := n.generation(), n.backends.log.Complete()
	for _, p := range n.peers.byName {
		if p.knowledge.CoveredBy(generation, entries) && n.hasEvacuationsOf(p) {
			n.follow.AdoptPeer(p.knowledge.AsOf)
		}
	}
}

// storeRetryDelay returns the delay before a failed call is repeated.
func (n *Node) storeRetryDelay(first, limit time.Duration, failures int) time.Duration {
	delay, seldom := n.follow.SeldomDelay(failures)
	if !seldom {
		return n.backoffDelay(first, limit, failures)
	}
	return max(first, delay-time.Duration(n.random.Int64N(int64(first))))
}
