package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// A few instances, the followers, watch the store and send its changes to all others. If every
// instance had a watch, each change would cost one call per instance.
const (
	// minFollowers is the minimum number of followers. With more zones there is one per zone,
	// so that a zone that is cut off from the others, but not from the store, still receives
	// changes.
	minFollowers = 3
	// maxReplacementFollowers is the maximum number of instances that replace lost followers.
	// If the store answers no instance, more would only add failing calls.
	maxReplacementFollowers = 3
	// followerLossTimeout is how long a follower counts as lost after the last report of its loss.
	followerLossTimeout = 4 * time.Second
	// storeSilenceLimit is the maximum age of the store's last answer to any instance, as far as
	// this one knows, before more instances follow the store. It covers a watch without
	// changes, and the rounds that its result takes to cross a large fleet.
	storeSilenceLimit = 12 * time.Second
	// storeSilenceStep is the additional silence after which the number of followers doubles again.
	// During an outage no call succeeds, so the whole fleet must not start calling at once.
	storeSilenceStep = 3 * time.Second
	// maxFollowerDoublings limits the doublings. With that many, all instances of the largest fleet
	// follow the store.
	maxFollowerDoublings = 10
	// isolationTimeout is the time without messages from any peer after which an instance
	// considers itself cut off: two heartbeats.
	isolationTimeout = 2 * heartbeatInterval
	// lossReportInterval is the interval at which a follower that is still lost is reported to
	// a peer again.
	lossReportInterval = time.Second
	// meshFollowerInterval and rowFollowerInterval are the maximum intervals between a
	// follower's digests, in a full mesh and in a larger fleet.
	meshFollowerInterval, rowFollowerInterval = 500 * time.Millisecond, time.Second
	// joinSettleTime is how long a starting instance waits for other instances to appear before it
	// may become a follower by rank. Instances that start together find each other in this
	// time.
	joinSettleTime = time.Second
	// lagTolerance is how long a peer may be ahead before this instance calls the store itself.
	// Changes sent by peers arrive within a round or two.
	lagTolerance = 1500 * time.Millisecond
	// joinLagTolerance is the same limit for a starting instance that gets all data from its peers
	// while no caller waits.
	joinLagTolerance = 4 * time.Second
	// waitingCallerTimeout is how long a caller, even a refused one, counts as waiting for data
	// that this instance lacks.
	waitingCallerTimeout = 2 * time.Second
	// minWatchPause is the minimum time between two results of one watch. The time doubles
	// while every watch returns changes. Changes during the pause arrive with a single call.
	// Callers are not affected, because a leaving server keeps working for seconds and other
	// followers pause at different times.
	minWatchPause = 300 * time.Millisecond
	// maxWatchPause is the limit of that doubling.
	maxWatchPause = 1200 * time.Millisecond
	// watchQuietPeriod is the time without changes after which the next change resets the pause.
	watchQuietPeriod = 2 * maxWatchPause
)

// followState holds which instances follow the store and what is known of their access to it.
type followState struct {
	// ranking lists the instances in the order in which they become followers. rank is this
	// instance's position in it, and wanted the number of followers.
	ranking []string
	rank    int
	wanted  int
	// cause is the reason why this instance follows the store, notFollowing if it does not.
	cause followCause
	// lostAt maps each follower that cannot reach the store or is silent to the time when this
	// was last reported.
	lostAt map[string]time.Time
	// answeredAt and failedAt are the times when a store read or watch of this instance last
	// succeeded and last failed.
	answeredAt, failedAt time.Time
	// peersAnsweredAt is the time of the last success at another instance, as reported by peers.
	peersAnsweredAt time.Time
	// aheadSince is the time since which a peer has been ahead of this instance, zero if none
	// is. aheadEntry and aheadGeneration are that peer's entry revision and configuration
	// generation.
	aheadSince      time.Time
	aheadEntry      uint64
	aheadGeneration uint64
	// callerWaitedAt is the last time a caller waited, or was refused, because data from the
	// store or a peer was missing.
	callerWaitedAt time.Time
}

// followCause is the reason why an instance follows the store.
type followCause string

const (
	notFollowing          followCause = ""
	followsByRank         followCause = "it is one of the fleet's followers"
	followsAsReplacement  followCause = "followers are lost"
	followsWhileBehind    followCause = "a peer knows more"
	followsForCallers     followCause = "callers wait"
	followsWhileIsolated  followCause = "no message from any peer"
	followsOnStoreSilence followCause = "the store answers no instance"
)

// tickFollow determines again whether this instance follows the store.
func (n *Node) tickFollow() {
	n.liveInstances()
	n.detectLostFollowers()
	previous := n.follow.cause
	n.follow.cause = n.chooseFollowCause()
	switch {
	case previous == n.follow.cause:
	case n.follow.cause == notFollowing:
		n.emit(StateChanged{Subject: SubjectStore, State: "not followed"})
	default:
		n.emit(StateChanged{Subject: SubjectStore, State: "followed", Cause: string(n.follow.cause)})
	}
}

// follows reports whether this instance reads and watches the store.
func (n *Node) follows() bool { return n.follow.cause != notFollowing }

// chooseFollowCause returns the reason for this instance to follow the store: it is one of the
// fleet's followers or replaces a lost one, it is behind a peer, callers wait, it is isolated
// from its peers, or no instance has got an answer from the store for long.
func (n *Node) chooseFollowCause() followCause {
	f := &n.follow
	switch {
	case n.behindPeers():
		return followsWhileBehind
	case n.callersWaiting():
		return followsForCallers
	case n.joining():
		return notFollowing
	case f.rank < f.wanted:
		return followsByRank
	case n.isolated():
		return followsWhileIsolated
	case f.rank < f.wanted+maxReplacementFollowers && n.healthyRank() < f.wanted:
		return followsAsReplacement
	case f.rank < followersAfterSilence(f.wanted, n.now.Sub(n.storeAnsweredAt())):
		return followsOnStoreSilence
	default:
		return notFollowing
	}
}

// healthyRank returns this instance's rank among those that are not lost.
func (n *Node) healthyRank() int {
	f := &n.follow
	rank := 0
	for _, name := range f.ranking[:f.rank] {
		if !n.isLostFollower(name) {
			rank++
		}
	}
	return rank
}

func (n *Node) isLostFollower(name string) bool {
	at, known := n.follow.lostAt[name]
	return known && n.now.Sub(at) < followerLossTimeout
}

// detectLostFollowers records followers in the layout that are silent for longer than a follower
// may be, and this instance itself if its calls to the store fail. A follower that is killed or
// cut off must be replaced before the changes that it misses are overdue in the fleet. Peers
// that receive only loads are left out: while instances join and leave, the two ends may
// disagree about that link for seconds.
func (n *Node) detectLostFollowers() {
	f := &n.follow
	for _, name := range f.ranking[:min(len(f.ranking), f.wanted)] {
		p := n.peers.byName[name]
		if p != nil && n.receivesFacts(name) && n.now.Sub(p.receivedAt) > n.followerTimeout() {
			n.recordLostFollower(name, n.now)
		}
	}
	if n.follows() && n.storeFailing() {
		n.recordLostFollower(n.settings.Name, n.now)
	}
}

// recordLostFollower records a lost follower. The first report is sent to the peers at once.
func (n *Node) recordLostFollower(name string, at time.Time) {
	if !n.isLostFollower(name) && n.now.Sub(at) < followerLossTimeout {
		for _, p := range n.peers.byName {
			p.lossesDue = n.now
		}
		n.sendDigestsNow()
	}
	n.follow.lostAt[name] = later(n.follow.lostAt[name], at)
}

// sendsFollowerDigests reports whether the peers in this instance's layout expect its digests at
// the follower interval.
func (n *Node) sendsFollowerDigests() bool { return n.follow.rank < n.follow.wanted || n.follows() }

// followerDigestInterval returns the maximum interval between a follower's digests.
func (n *Node) followerDigestInterval() time.Duration {
	if n.multiHop() {
		return rowFollowerInterval
	}
	return meshFollowerInterval
}

// followerTimeout returns the silence after which a follower in the layout counts as lost:
// two intervals, since one digest may be late.
func (n *Node) followerTimeout() time.Duration { return 2 * n.followerDigestInterval() }

// addLostFollowers adds the lost followers to a peer's digest, repeatedly while they are lost.
func (n *Node) addLostFollowers(p *peerState, d *Digest) {
	if n.now.Before(p.lossesDue) {
		return
	}
	p.lossesDue = n.now.Add(lossReportInterval)
	for _, name := range sortedKeys(n.follow.lostAt) {
		if !n.isLostFollower(name) {
			delete(n.follow.lostAt, name)
			continue
		}
		d.LostFollowers = append(d.LostFollowers, FollowerLoss{Name: name, Age: n.now.Sub(n.follow.lostAt[name])})
	}
}

// mergeLostFollowers merges the lost followers reported by a peer.
func (n *Node) mergeLostFollowers(d *Digest) {
	for _, loss := range d.LostFollowers {
		n.recordLostFollower(loss.Name, n.now.Add(-loss.Age))
	}
}

// followersAfterSilence returns the number of followers after the store has been silent for the
// given time.
func followersAfterSilence(wanted int, silence time.Duration) int {
	if silence <= storeSilenceLimit {
		return 0
	}
	doublings := 1 + (silence-storeSilenceLimit)/storeSilenceStep
	return wanted << min(doublings, maxFollowerDoublings)
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

// storeAnsweredAt returns the time when the store last answered any instance, as far as this one
// knows, or the start time of this instance if that is later.
func (n *Node) storeAnsweredAt() time.Time {
	return later(later(n.follow.answeredAt, n.follow.peersAnsweredAt), n.startedAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// behindPeers reports whether a peer has had a newer entry or configuration for longer than
// tolerated, and this instance still lacks it.
func (n *Node) behindPeers() bool {
	f := &n.follow
	if n.backends.shareableRevision() >= f.aheadEntry && n.generation() >= f.aheadGeneration {
		f.aheadSince = time.Time{}
	}
	tolerance := lagTolerance
	if n.lacksData() {
		tolerance = joinLagTolerance
	}
	return !f.aheadSince.IsZero() && n.now.Sub(f.aheadSince) > tolerance
}

// lacksData reports whether this instance lacks data that it needs to serve requests.
func (n *Node) lacksData() bool {
	return n.snapshot == nil || n.snapshot.FromPlatform() && n.backends.completeRevision == 0
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
func (n *Node) recordStoreSuccess() { n.follow.answeredAt = n.now }

// recordStoreFailure records a failed read or watch.
func (n *Node) recordStoreFailure() { n.follow.failedAt = n.now }

// watchPacer limits the rate of a watch's results.
type watchPacer struct {
	changedAt time.Time
	pause     time.Duration
}

// pauseAfterChange returns the pause before the next call when a watch has returned a change.
func (w *watchPacer) pauseAfterChange(now time.Time) time.Duration {
	if now.Sub(w.changedAt) > watchQuietPeriod {
		w.pause = 0
	}
	w.changedAt = now
	w.pause = min(max(minWatchPause, 2*w.pause), maxWatchPause)
	return w.pause
}

// rankFollowers ranks the instances. The first instances of all zones come before the second
// ones, so that the followers are spread over as many zones as possible.
func (n *Node) rankFollowers(instances []mesh.Member) {
	type candidate struct {
		name    string
		rank    int
		zoneKey uint64
	}
	zones := make(map[string][]string)
	for _, m := range instances {
		zones[m.Zone] = append(zones[m.Zone], m.Name)
	}
	var ranking []candidate
	for zone, names := range zones {
		key := rendezvous.Hash("follow/" + zone)
		for rank, name := range rendezvous.Top(key, names, len(names)) {
			ranking = append(ranking, candidate{name, rank, key})
		}
	}
	slices.SortFunc(ranking, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.zoneKey, b.zoneKey), cmp.Compare(a.name, b.name))
	})
	f := &n.follow
	f.ranking = f.ranking[:0]
	for _, c := range ranking {
		f.ranking = append(f.ranking, c.name)
	}
	f.rank = slices.Index(f.ranking, n.settings.Name)
	f.wanted = max(minFollowers, len(zones))
}

// storeAge returns the time since the store last answered any instance, or 0 if it never did.
func (n *Node) storeAge() time.Duration {
	at := later(n.follow.answeredAt, n.follow.peersAnsweredAt)
	if at.IsZero() {
		return 0
	}
	return max(time.Millisecond, n.now.Sub(at))
}

// mergeStoreAge merges the store age reported by a peer.
func (n *Node) mergeStoreAge(age time.Duration) {
	if age > 0 {
		n.follow.peersAnsweredAt = later(n.follow.peersAnsweredAt, n.now.Add(-age))
	}
}

// recordPeerAhead records that a peer has a newer entry or configuration. A peer with only a
// higher store revision, and no entry changed since, is not ahead.
func (n *Node) recordPeerAhead(d *Digest) {
	f := &n.follow
	if !f.aheadSince.IsZero() || d.EntriesUpTo <= n.backends.shareableRevision() && d.Generation <= n.generation() {
		return
	}
	f.aheadSince, f.aheadEntry, f.aheadGeneration = n.now, d.EntriesUpTo, d.Generation
}
