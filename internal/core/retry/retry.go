// Package retry decides what follows an attempt: nothing, another attempt or a
// final failure.
package retry

import "github.com/ebonydyke/ebonydyke/internal/core/reason"

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
	default:
		return reason.None
	}
}

// Budget bounds the retries of one service to a share of its successes, so that
// a sick pool is not also given a storm of repeated requests.
type Budget struct {
	share  float64
	tokens float64
	max    float64
}

// NewBudget returns a budget that earns share tokens a success, and holds at
// most burst of them.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, tokens: burst, max: burst}
}

// Success earns a share of a retry.
func (b *Budget) Success() {
	b.tokens = min(b.max, b.tokens+b.share)
}

// Take spends one retry and tells whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
