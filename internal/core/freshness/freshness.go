// Package freshness decides which instances follow the platform's store, and how old an instance's knowledge of it is.
//
// An instance's staleness is the age of what it knows of the platform's store: it has every change that the store acknowledged
// before that time. The operators bound it, at each instance that reaches the store, whatever happens to the others. So an
// instance counts on other instances only as far as they prove how fresh their knowledge is, and asks the store itself before the
// bound.
//
// The proof is never a live connection or a pending watch: an instance that is cut off one way, frozen, or whose answer was lost
// has both. It is the time at which a call that has since been answered was sent, and it is passed on with each digest.
package freshness

import "time"

const (
	// followerCount is the number of followers. Two may fail, or pause between calls, and changes are still passed on at once.
	// Where none can be heard, instances ask the store themselves.
	followerCount = 3
	// peerLead is by how much a peer's knowledge must be newer than an instance's own before the instance stops asking the store.
	// A peer that passes on what it heard from this instance never gets there.
	peerLead = 100 * time.Millisecond
	// waitingCallerTimeout is how long a caller, even a refused one, counts as waiting for data that this instance lacks.
	waitingCallerTimeout = 2 * time.Second
	// verifyStages is the number of stages in which instances begin to ask the store. The delay of a stage is ChangeBound divided by
	// verifyStageShare.
	verifyStages     = 6
	verifyStageShare = 40
)

// Limits are the limits that the operators set, and MaxRetryDelay, which the node sets.
type Limits struct {
	// ChangeBound is the time after the store acknowledged a change from which no instance that reaches the store may act on the
	// state before it, and StoreSettle the time after a failure of the store from which that holds again.
	ChangeBound, StoreSettle time.Duration
	// MaxRetryDelay is the maximum delay before a call is repeated.
	MaxRetryDelay time.Duration
}

// Cause is the reason why an instance follows the store.
type Cause string

// The causes.
const (
	NotFollowing Cause = ""
	ByRank       Cause = "it is one of the fleet's followers"
	ForCallers   Cause = "callers wait"
	WhileStale   Cause = "what it knows of the store is old"
	ForVersions  Cause = "peers of an earlier build leave out versions"
)

// Moment is the time of a decision, with the facts of that time that determine the instance's knowledge of the store.
type Moment struct {
	Now time.Time
	// StartedAt is the time at which the instance started.
	StartedAt time.Time
	// UsesEntries is set if the backend servers' entries are needed besides the configuration.
	UsesEntries bool
}

// Needs are the reasons to follow the store that do not depend on the age of the knowledge.
type Needs struct {
	// LacksData is set while the instance lacks data that it needs to serve requests.
	LacksData bool
	// Joining is set while the instance cannot know its rank.
	Joining bool
	// Doubted is set while the store may have lost changes.
	Doubted bool
	// Versions is set while peers leave out the versions of backend servers.
	Versions bool
}

// Tracker holds whether an instance follows the store and how fresh its knowledge of it is. It is not safe for concurrent use.
type Tracker struct {
	limits Limits
	// rank is the instance's position in the order in which instances follow the store.
	rank  int
	cause Cause
	// configAsOf and entriesAsOf are the times as of which the instance's own calls show the configuration and the backend
	// servers' entries.
	configAsOf, entriesAsOf time.Time
	// peersAsOf is the time as of which the instance knows all of the store, as proven by peers.
	peersAsOf time.Time
	// outdated is set while the knowledge is older than the operators allow.
	outdated bool
	// answeredAt and failedAt are the times when a store read or watch of this instance last succeeded and last failed.
	answeredAt, failedAt time.Time
	// callTime is the longest time that the store took for a call lately.
	callTime time.Duration
	// callerWaitedAt is the last time a caller waited, or was refused, because data from the store or a peer was missing.
	callerWaitedAt time.Time
}

// New returns the state of an instance that knows nothing of the store. Until its rank is set it is the first of its fleet.
func New(limits Limits) *Tracker { return &Tracker{limits: limits} }

// SetRank sets the instance's position in the order in which instances follow the store.
func (t *Tracker) SetRank(rank int) { t.rank = rank }

// IsFollower reports whether the instance is one of the fleet's followers.
func (t *Tracker) IsFollower() bool { return t.rank < followerCount }

// Follows reports whether the instance reads and watches the store.
func (t *Tracker) Follows() bool { return t.cause != NotFollowing }

// Choose determines whether the instance follows the store: callers wait, it is one of the fleet's followers, or its
// knowledge is too old. It returns the cause, and whether it has changed since the last call.
func (t *Tracker) Choose(m Moment, needs Needs) (cause Cause, changed bool) {
	previous := t.cause
	t.cause = t.choose(m, needs)
	return t.cause, t.cause != previous
}

func (t *Tracker) choose(m Moment, needs Needs) Cause {
	switch {
	case needs.LacksData && t.callersWaiting(m.Now):
		return ForCallers
	case t.IsFollower() && !needs.Joining:
		return ByRank
	case needs.Doubted || t.mustVerify(m):
		return WhileStale
	case needs.Versions:
		return ForVersions
	default:
		return NotFollowing
	}
}

// callersWaiting reports whether callers wait for data from the store. If callers are not directed to another instance, as after
// a power failure of the whole fleet, a call to the store serves them sooner than data that peers must collect first.
func (t *Tracker) callersWaiting(now time.Time) bool {
	return !t.callerWaitedAt.IsZero() && now.Sub(t.callerWaitedAt) < waitingCallerTimeout
}

// CallerWaited records that a caller waits, or is refused, because the instance lacks data.
func (t *Tracker) CallerWaited(now time.Time) { t.callerWaitedAt = now }

// mustVerify reports whether the instance must ask the store because its knowledge is old. It goes on until a peer proves fresher
// knowledge than its own calls.
func (t *Tracker) mustVerify(m Moment) bool {
	if t.cause == WhileStale && !t.peersAsOf.After(t.OwnAsOf(m).Add(peerLead)) {
		return true
	}
	return t.Staleness(m) > t.maxStaleness()+t.verifyDelay()
}

// maxStaleness is the staleness from which an instance asks the store itself. The rest of the bound is left for verifyDelay, the
// call, and a second call on another connection.
func (t *Tracker) maxStaleness() time.Duration { return t.limits.ChangeBound * 3 / 4 }

// relayStaleness is the staleness of a peer, as far as the instance knows, from which it is sent fresher proof without waiting
// for the next round.
func (t *Tracker) relayStaleness() time.Duration { return t.limits.ChangeBound * 5 / 8 }

// verifyDelay spreads over several stages the instances that ask the store because their knowledge is old. Each stage has twice
// as many as all before it, so that those of the first stages can tell the others before they ask as well.
func (t *Tracker) verifyDelay() time.Duration {
	stage := 0
	for size := 2 * followerCount; size <= t.rank && stage < verifyStages-1; size *= 2 {
		stage++
	}
	return time.Duration(stage) * t.limits.ChangeBound / verifyStageShare
}

// SendsDigests reports whether the peers expect the instance's digests at the interval of followers. One that asks the store in
// vain has nothing to tell.
func (t *Tracker) SendsDigests(m Moment) bool {
	return t.IsFollower() || t.Follows() && m.Now.Sub(t.OwnAsOf(m)) < t.maxStaleness()
}

// Outdated determines whether the knowledge is older than the operators allow, and reports whether that has changed.
func (t *Tracker) Outdated(m Moment) (outdated, changed bool) {
	previous := t.outdated
	t.outdated = t.Staleness(m) > t.limits.ChangeBound
	return t.outdated, t.outdated != previous
}
