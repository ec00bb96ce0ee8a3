package core

import "time"

// A few instances, the followers, watch the store and send its changes to all others. If every
// instance had a watch, each change would cost one call per instance.
const (
	// followerCount is the number of followers. Two may fail, or pause between calls, and changes
	// are still passed on at once. Where none can be heard, instances ask the store themselves.
	followerCount = 3
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
	// waitingCallerTimeout is how long a caller, even a refused one, counts as waiting for data
	// that this instance lacks.
	waitingCallerTimeout = 2 * time.Second
)

// followState holds which instances follow the store and how fresh this instance's knowledge of it
// is.
type followState struct {
	// rank is this instance's position in the order in which instances follow the store.
	rank int
	// cause is the reason why this instance follows the store, notFollowing if it does not.
	cause followCause
	// configAsOf and entriesAsOf are the times as of which this instance's own calls show the
	// configuration and the backend servers' entries.
	configAsOf, entriesAsOf time.Time
	// peersAsOf is the time as of which this instance knows all of the store, as proven by peers.
	peersAsOf time.Time
	// outdated is set while the knowledge is older than the operators allow.
	outdated bool
	// answeredAt and failedAt are the times when a store read or watch of this instance last
	// succeeded and last failed.
	answeredAt, failedAt time.Time
	// callTime is the longest time that the store took for a call lately.
	callTime time.Duration
	// callerWaitedAt is the last time a caller waited, or was refused, because data from the
	// store or a peer was missing.
	callerWaitedAt time.Time
}

// followCause is the reason why an instance follows the store.
type followCause string

const (
	notFollowing       followCause = ""
	followsByRank      followCause = "it is one of the fleet's followers"
	followsForCallers  followCause = "callers wait"
	followsWhileStale  followCause = "what it knows of the store is old"
	followsForVersions followCause = "peers of an earlier build leave out versions"
)

// tickFollow determines again whether this instance follows the store.
func (n *Node) tickFollow() {
	n.liveInstances()
	n.adoptPeerKnowledge()
	previous := n.follow.cause
	n.follow.cause = n.chooseFollowCause()
	switch {
	case previous == n.follow.cause:
	case n.follow.cause == notFollowing:
		n.emit(StateChanged{Subject: SubjectStore, State: "not followed"})
	default:
		n.emit(StateChanged{Subject: SubjectStore, State: "followed", Cause: string(n.follow.cause)})
	}
	n.reportOutdated()
}

// reportOutdated logs when the knowledge of the store gets older than the operators allow, and when
// it is fresh again. Meanwhile requests may be handled by an earlier configuration.
func (n *Node) reportOutdated() {
	f := &n.follow
	outdated := n.Staleness() > n.settings.ChangeBound
	if outdated == f.outdated {
		return
	}
	f.outdated = outdated
	state := "current"
	if outdated {
		state = "outdated"
	}
	n.emit(StateChanged{Subject: SubjectStore, State: state, Cause: "age of what this instance knows of it"})
}

// isFollower reports whether this instance is one of the fleet's followers.
func (n *Node) isFollower() bool { return n.follow.rank < followerCount }

// follows reports whether this instance reads and watches the store.
func (n *Node) follows() bool { return n.follow.cause != notFollowing }

// chooseFollowCause returns the reason for this instance to follow the store: callers wait, it is
// one of the fleet's followers, or its knowledge is too old.
func (n *Node) chooseFollowCause() followCause {
	switch {
	case n.callersWaiting():
		return followsForCallers
	case n.isFollower() && !n.joining():
		return followsByRank
	case n.mustVerify():
		return followsWhileStale
	case n.needsVersions():
		return followsForVersions
	default:
		return notFollowing
	}
}

// sendsFollowerDigests reports whether the peers in this instance's layout expect its digests at
// the follower interval. An instance that asks the store in vain has nothing to tell.
func (n *Node) sendsFollowerDigests() bool {
	return n.isFollower() || n.follows() && n.now.Sub(n.ownAsOf()) < n.maxStaleness()
}

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

// callersWaiting reports whether callers wait for data from the store. If callers are not directed
// to another instance, as after a power failure of the whole fleet, a call to the store serves
// them sooner than data that peers must collect first.
func (n *Node) callersWaiting() bool {
	at := n.follow.callerWaitedAt
	return !at.IsZero() && n.now.Sub(at) < waitingCallerTimeout && n.lacksData()
}

// recordWaitingCaller records that a caller waits, or is refused, because this instance lacks data.
func (n *Node) recordWaitingCaller() {
	if n.lacksData() {
		n.follow.callerWaitedAt = n.now
	}
}

// storeFailing reports whether the last call to the store failed. A single call then probes the
// store, and all others wait for its result.
func (n *Node) storeFailing() bool { return n.follow.failedAt.After(n.follow.answeredAt) }

// recordStoreSuccess records a successful read or watch.
func (n *Node) recordStoreSuccess(call storeCall, changed bool) {
	n.follow.answeredAt = n.now
	n.recordCallTime(call, changed)
}

// recordStoreFailure records a failed read or watch.
func (n *Node) recordStoreFailure() { n.follow.failedAt = n.now }
