package routing

import (
	"math"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// Limits are the maximum loads, including the new request, at which a backend server is
// chosen.
type Limits struct {
	// Inner is the load above which the next backend server of the ranking is preferred.
	Inner float64
	// Hinted is the load above which a hint is ignored.
	Hinted float64
	// Outer is the guaranteed bound. No backend server above it is chosen.
	Outer float64
	// Mean is the mean load that the limits are based on, rounded up, or 0 if they are not based on one.
	Mean float64
}

// Placement of the inner and hinted limits.
const (
	// boundMargin is the distance of all limits but the outer one from the bound, in square
	// roots of the mean load. Loads fluctuate by about one square root of the mean.
	boundMargin = 0.4
	// The inner limits of chats without a hint are spread over this part of the headroom
	// between the mean and the margin.
	unhintedLow, unhintedHigh = 0.3, 1.0
	// The inner limits of first turns are spread lower, which leaves headroom for returning
	// turns: a first turn has no cached prefix to reuse.
	firstLow, firstHigh = 0.0, 0.3
)

// Kind classifies requests by how much a different placement costs them.
type Kind int

// The kinds of request.
const (
	// Unhinted is a chat whose caller sends no hints, so that only the ranking leads it
	// back to its cached prefix.
	Unhinted Kind = iota
	// First is the first turn of a chat whose caller sends hints.
	First
)

// Load is the load of a group of backend servers.
type Load struct {
	// Total is the number of requests in progress. Servers is the number of servers; it is not whole where the group counts only
	// a share of some of them.
	Total, Servers float64
}

// mean returns the mean load, including the new request.
func (l Load) mean() float64 { return (l.Total + 1) / l.Servers }

// Basis is what limits are computed from.
type Basis struct {
	// Among is the load of the servers among which requests are distributed, and All that of all servers to whose mean the
	// guaranteed bound refers. All includes servers that take no requests at the moment.
	Among, All Load
	// Bound is the guaranteed bound as a multiple of the mean, and Slack the number of requests permitted beyond it.
	Bound float64
	Slack int
}

// headroom returns how far the bound is above the mean load of the servers among which requests are distributed.
func (b Basis) headroom() float64 { return b.Bound*b.All.mean() - b.Among.mean() }

// outer returns the guaranteed bound with the slack.
func (b Basis) outer() float64 { return Bound(b.Bound, b.All) + float64(b.Slack) }

// ChatLimits returns the limits for one decision.
//
// The mean falls as other requests end, and every load is an estimate, so a backend server
// filled up to the bound would exceed it a moment later. The limits are therefore below
// the bound by a margin that shrinks with the mean. The inner limit is also spread by the
// chat's hash, equally on every instance. Instances with the same stale load therefore
// neither all stop using one backend server at once nor all move to the same next one.
func ChatLimits(b Basis, chat uint64, kind Kind) Limits {
	mean := b.Among.mean()
	headroom := max(0, b.headroom()-boundMargin*math.Sqrt(mean))
	low, high := unhintedLow, unhintedHigh
	if kind == First {
		low, high = firstLow, firstHigh
	}
	spread := rendezvous.Unit(chat)
	ceilMean := math.Ceil(mean)
	return Limits{
		Inner:  max(1, ceilMean, math.Floor(mean+headroom*(low+(high-low)*spread))),
		Hinted: max(1, ceilMean, math.Floor(mean+headroom)),
		Outer:  b.outer(),
	}
}

// NoLimits returns infinite limits, for services whose load estimates are not current.
func NoLimits() Limits { return Limits{Inner: math.Inf(1), Hinted: math.Inf(1), Outer: math.Inf(1)} }

// Finite returns the limits for encoding as JSON, which has no infinite numbers. It
// returns zeros instead of NoLimits.
func (l Limits) Finite() Limits {
	if l == NoLimits() {
		return Limits{}
	}
	return l
}

// SessionLimits returns the limits for a request whose prompt prefix directs it, like all
// others of its session, to one backend server. fraction is the part of the headroom
// between the mean and the bound that the session may fill.
//
// Other limits keep a distance from the bound because they balance the load. Here the goal
// is to process a prompt only once, so a session stays until the bound itself is reached.
// The rest of the headroom allows for load reports that are half a second old.
func SessionLimits(b Basis, fraction float64) Limits {
	mean := b.Among.mean()
	headroom := max(0, b.headroom()+float64(b.Slack))
	outer := b.outer()
	inner := min(outer, max(1, math.Floor(mean+fraction*headroom)))
	return Limits{Inner: inner, Hinted: inner, Outer: outer, Mean: math.Ceil(mean)}
}

// Bound returns the guaranteed bound: a multiple of the mean load that includes the new
// request, and at least 1.
func Bound(bound float64, l Load) float64 {
	return max(1, math.Ceil(bound*l.mean()))
}
