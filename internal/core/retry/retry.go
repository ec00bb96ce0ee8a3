// Package retry decides what follows an attempt: nothing, another attempt or a
// final failure.
package retry

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Outcome says how one attempt at a backend server ended.
type Outcome string

// Every attempt ends as exactly one of these.
const (
	// NotSent means that no byte of the request left this instance.
	NotSent Outcome = "not-sent"
	// Refused means that the backend server said it did not start the request.
	Refused Outcome = "refused"
	// Unknown means that bytes may have left and no answer began.
	Unknown Outcome = "unknown"
	// Answered means that the whole answer arrived.
	Answered Outcome = "answered"
	// Broken means that the answer was cut part way.
	Broken Outcome = "broken"
	// Failed means that the backend server's whole answer says that it failed.
	Failed Outcome = "failed"
	// Spoiled means that what came is not the backend server's answer to this request.
	Spoiled Outcome = "spoiled"
)

// MayHaveRun tells whether a backend server may have started the request in an
// attempt that ended so.
func (o Outcome) MayHaveRun() bool {
	return o != NotSent && o != Refused
}

// Reason is the word for a request that failed by this outcome.
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

// Budget bounds the retries of one service to a share of its requests, so that a
// sick pool is not also given a storm of repeated requests.
//
// It is a bucket that holds at most a burst, gains a share with each request, and
// refills with time. So in any span of time an instance retries at most the burst,
// the refill, and that share of the span's requests; with the fleet's allowance
// divided among the instances, the same holds for the fleet without a word between
// them.
type Budget struct {
	share  float64
	burst  float64
	refill float64
	tokens float64
	at     time.Time
}

// NewBudget returns a full budget that earns share tokens a request.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, tokens: burst, burst: burst}
}

// Earn adds a share of a retry for one request.
func (b *Budget) Earn() { b.add(b.share) }

// Resize sets the burst and the refill a second, when the fleet or the configuration
// changes. What was earned stays as far as it fits; what is added comes empty.
func (b *Budget) Resize(share, burst, refill float64) {
	b.share, b.burst, b.refill = share, burst, refill
	b.tokens = min(b.tokens, burst)
}

// Pass lets time pass up to now.
func (b *Budget) Pass(now time.Time) {
	if !b.at.IsZero() {
		b.add(b.refill * now.Sub(b.at).Seconds())
	}
	b.at = now
}

// Take spends one retry and tells whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }
