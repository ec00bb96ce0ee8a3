// Package retry classifies the outcomes of attempts and limits retries by a budget.
package retry

import (
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
type Budget struct {
	share      float64
	burst      float64
	refillRate float64
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full budget that gains share tokens a request.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, tokens: burst, burst: burst}
}

// Earn adds the share of one request.
func (b *Budget) Earn() { b.add(b.share) }

// Resize sets the share, the burst and the refill a second when the fleet or the
// configuration changes. Existing tokens are kept up to the new burst; a larger burst adds
// none.
func (b *Budget) Resize(share, burst, refill float64) {
	b.share, b.burst, b.refillRate = share, burst, refill
	b.tokens = min(b.tokens, burst)
}

// Refill adds the refill for the time up to now.
func (b *Budget) Refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.add(b.refillRate * now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// Take spends one token and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a token that was spent in vain.
func (b *Budget) Refund() { b.add(1) }

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
	equal := equalShare / float64(instances)
	if !knowsOthers {
		return equal, (1 - equalShare) / float64(instances)
	}
	return equal + (1-equalShare)*p.own/(p.total+partPrior), 0
}
