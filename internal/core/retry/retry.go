// Package retry classifies the outcomes of attempts and limits retries by a budget.
package retry

import (
	"math"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Outcome is the result of one attempt at a backend server.
type Outcome string

// Every attempt has exactly one of these outcomes.
const (
	// NotSent means that no byte of the request left this instance.
	NotSent Outcome = "not-sent"
	// Refused means that the backend server reported that it did not start the request.
	Refused Outcome = "refused"
	// Unknown means that bytes may have left this instance and no answer began.
	Unknown Outcome = "unknown"
	// Answered means that the whole answer arrived.
	Answered Outcome = "answered"
	// Broken means that the answer was cut off.
	Broken Outcome = "broken"
	// Failed means that the backend server answered completely and reported a failure.
	Failed Outcome = "failed"
	// Spoiled means that the received data is not the backend server's answer to this
	// request.
	Spoiled Outcome = "spoiled"
	// Superseded means that the attempt was cancelled because another one of the request delivered first.
	Superseded Outcome = "superseded"
)

// MayHaveRun reports whether a backend server may have started the request in an attempt
// with this outcome.
func (o Outcome) MayHaveRun() bool {
	return o != NotSent && o != Refused
}

// Reason returns the reason for a request that failed with this outcome.
func (o Outcome) Reason() reason.Reason {
	switch o {
	case NotSent:
		return reason.BackendUnreachable
	case Refused:
		return reason.BackendRefused
	case Broken:
		return reason.BrokenStream
	case Unknown:
		return reason.BackendLost
	case Failed:
		return reason.BackendFailed
	case Spoiled:
		return reason.BackendSpoiled
	default:
		return reason.None
	}
}

// Budget limits the retries of one service to a share of its requests, so that retries do
// not multiply the load of an overloaded pool.
//
// It is a token bucket: each request adds a share of a token, and time adds more, up to
// the burst. In any period, an instance thus retries at most the burst, plus the refill,
// plus the share of the period's requests. The fleet's allowance is divided among the
// instances, so that the same limit holds for the fleet without coordination.
//
// Where the part of an instance is less than a retry, a bucket that can hold one exceeds the allowance, and a smaller one
// permits none. Limit counts requests and retries over the period in its place.
type Budget struct {
	share      float64
	burst      float64
	refillRate float64
	tokens     float64
	refilledAt time.Time
	// limited is set if limit and the recent requests and retries decide in place of the tokens.
	limited bool
	limit   float64
	recent  window
}

// NewBudget returns a full budget that gains share tokens a request.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, tokens: burst, burst: burst}
}

// Earn adds the share of one request.
func (b *Budget) Earn() {
	b.add(b.share)
	b.recent.current().requests++
}

// Resize sets the share, the burst and the refill a second when the fleet or the
// configuration changes. Existing tokens are kept up to the new burst; a larger burst adds
// none.
func (b *Budget) Resize(share, burst, refill float64) {
	b.share, b.burst, b.refillRate, b.limited = share, burst, refill, false
	b.tokens = min(b.tokens, burst)
}

// Limit permits an allowance in any period, and the share of the period's requests. The fraction of a retry that
// is left is rounded up if it and rounding add up to one: if the roundings of all instances are spread evenly
// over [0, 1), they spend together what their fractions add up to.
func (b *Budget) Limit(share, allowance, rounding float64) {
	b.share, b.limit, b.limited = share, allowance+rounding, true
}

// Refill adds the refill for the time up to now.
func (b *Budget) Refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.add(b.refillRate * now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	b.recent.advance(now)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if !b.permits() {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	b.recent.current().retries++
	return true
}

// permits reports whether a retry may be spent.
func (b *Budget) permits() bool {
	if !b.limited {
		return b.tokens >= 1
	}
	requests, retries := b.recent.counts()
	return float64(retries+1) <= b.limit+b.earned(float64(requests))
}

// earned returns the retries that the requests of a period earn: their share, less its standard deviation, but at most one
// retry less. Each instance retries when chance has given it more requests than usual, so that the highest counts of
// all add up to more than the fleet's requests.
func (b *Budget) earned(requests float64) float64 {
	return b.share*requests - min(1, b.share*math.Sqrt(requests))
}

// Refund returns a retry that was spent in vain.
func (b *Budget) Refund() {
	b.add(1)
	b.recent.refund()
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// Part computes the part of the fleet's retries that an instance may spend at once and over a period. The parts of all
// instances add up to about one.
//
// Half of it is an equal part, so that an instance can retry before it has got requests. The other half follows
// the instance's share of the requests in progress: a balancer may crowd one instance, and the retries of all callers
// are needed there.
type Part struct {
	// own and total are moving averages of the requests in progress.
	own, total float64
}

const (
	// partSampleWeight is the weight of a sample of the requests in progress. Samples are taken with each tick.
	partSampleWeight = 0.02
	// partPrior is added to the fleet's requests in progress. While there are few of them, an instance that has not
	// heard of the others' would take its own for most of them.
	partPrior = 4
	// evenPrior is added for each instance, and its share is divided equally: in a large fleet with few requests, which instances
	// have one in progress is chance. The equal part is what others can tell an instance to have, and borrow.
	evenPrior = 0.25
	// equalShare is the share of the retries that is divided equally, and may be spent at once. The rest follows the
	// requests in progress.
	equalShare = 0.5
)

// Sample records the instance's requests in progress and those of the fleet, which include them.
func (p *Part) Sample(own, total float64) {
	p.own += partSampleWeight * (own - p.own)
	p.total += partSampleWeight * (max(own, total) - p.total)
}

// Of returns the part of an instance among a number of instances: what it may spend at once, and what is refilled
// over the period. An instance that does not know the requests of the others gets an equal part of the rest as well,
// over the period.
func (p *Part) Of(instances int, knowsOthers bool) (burst, refill float64) {
	if !knowsOthers {
		return equalShare / float64(instances), (1 - equalShare) / float64(instances)
	}
	return p.Equal(instances) + (1-equalShare)*p.own/p.weight(instances), 0
}

// Equal returns the part that each of a number of instances has whatever its requests, as far as this one knows those of all.
func (p *Part) Equal(instances int) float64 {
	return (equalShare + (1-equalShare)*evenPrior*float64(instances)/p.weight(instances)) / float64(instances)
}

// weight returns the requests of the fleet and what is added to them.
func (p *Part) weight(instances int) float64 {
	return p.total + partPrior + evenPrior*float64(instances)
}
