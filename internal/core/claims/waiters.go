package claims

import (
	"maps"
	"slices"
	"time"
)

const (
	// Timeout is how long a request waits for its claim.
	Timeout = 3 * time.Second
	// forwardTimeout is how long a request waits for the owner of its partition before this instance writes the claim itself. It
	// exceeds the partition's write interval plus one write, so that a busy owner is not taken for a failed one.
	forwardTimeout = time.Second
	// resendTimeout is how long an owner may stay silent after a claim was resent to it.
	resendTimeout = 500 * time.Millisecond
	// maxWaiters limits the requests that wait for their claims.
	maxWaiters = 4096
)

// Waiter is a request, identified by an R, that waits for its claim.
type Waiter[R any] struct {
	// Of identifies the request, and Claim is the claim that it waits for.
	Of    R
	Claim Request
	// deadline is the time at which the claim is given up.
	deadline time.Time
	// owner is the peer that the claim was forwarded to, or "" once this instance writes the claim itself.
	owner string
	// forwardDeadline is when the owner's answer is overdue, and forwardTimeouts the number of times that it was.
	forwardDeadline time.Time
	forwardTimeouts int
	// mayBeStored is set once the claim may be stored. mayBeStoredLate is set once the claim was sent more than once, so that it
	// may be stored after the answer has arrived.
	mayBeStored     bool
	mayBeStoredLate bool
}

// NewWaiter returns a request that waits for its claim from now on.
func NewWaiter[R any](of R, claim Request, now time.Time) *Waiter[R] {
	return &Waiter[R]{Of: of, Claim: claim, deadline: now.Add(Timeout)}
}

// Deadline returns the time at which the claim is given up.
func (w *Waiter[R]) Deadline() time.Time { return w.deadline }

// Owner returns the peer that the claim was forwarded to, or "" once this instance writes it itself.
func (w *Waiter[R]) Owner() string { return w.owner }

// Forward records that the claim is to be written by an owner.
func (w *Waiter[R]) Forward(owner string, now time.Time) {
	w.owner, w.forwardDeadline = owner, now.Add(forwardTimeout)
}

// Sent records that the claim was sent to its owner.
func (w *Waiter[R]) Sent() { w.mayBeStored = true }

// WriteLocally records that this instance writes the claim itself.
func (w *Waiter[R]) WriteLocally() { w.owner = "" }

// TakeOver records that this instance takes the claim over from its owner, which it returns.
func (w *Waiter[R]) TakeOver() string {
	w.mayBeStoredLate = w.mayBeStored
	return w.owner
}

// WriteAttempted records that the claim was part of a write.
func (w *Waiter[R]) WriteAttempted() { w.mayBeStored = true }

// Action is what is to be done for a claim that waits.
type Action uint8

// The values of Action.
const (
	// Wait means that nothing is due.
	Wait Action = iota
	// GiveUp means that the request has waited for too long.
	GiveUp
	// SendFirst means that the claim is still to be sent to its owner once there is a link.
	SendFirst
	// Resend means that the owner's answer is overdue. The owner replies at once if the request is in its queue.
	Resend
	// WriteInstead means that this instance is to write the claim in place of its owner.
	WriteInstead
)

// Due returns the action that the claim needs now, and records it as taken. ownerSeenAt is the last time at which anything was received
// from the owner. This instance takes over from a silent owner, but not from a busy one: a second writer would slow down a
// partition that is already behind.
func (w *Waiter[R]) Due(ownerSeenAt, now time.Time) Action {
	switch {
	case !now.Before(w.deadline):
		// The write may be in flight, since the partition has not answered yet.
		w.mayBeStored = true
		return GiveUp
	case w.owner == "":
		return Wait
	case now.Before(w.forwardDeadline) && w.mayBeStored:
		return Wait
	case now.Before(w.forwardDeadline):
		return SendFirst
	case !w.mayBeStored:
		return WriteInstead
	}
	w.forwardTimeouts++
	if w.forwardTimeouts > 1 && now.Sub(ownerSeenAt) >= resendTimeout {
		return WriteInstead
	}
	w.mayBeStoredLate = true
	w.forwardDeadline = now.Add(resendTimeout)
	return Resend
}

// Heeds reports whether the reply of a peer is to be acted on. Any peer may grant the claim, but only its owner may refuse it.
func (w *Waiter[R]) Heeds(from string, v Verdict) bool {
	return v != Queued && (w.owner == from || v == Granted)
}

// NeedsRelease reports whether the claim may still be stored although it was not granted. It is released then; otherwise a later
// request with the key would be refused as the duplicate of one that never ran.
func (w *Waiter[R]) NeedsRelease(v Verdict) bool {
	return w.mayBeStored && (v != Duplicate || w.mayBeStoredLate)
}

// Waiters holds the requests that wait for their claims, by token. It is not safe for concurrent use.
type Waiters[R any] struct{ byToken map[uint64]*Waiter[R] }

// NewWaiters returns an empty Waiters.
func NewWaiters[R any]() *Waiters[R] { return &Waiters[R]{byToken: make(map[uint64]*Waiter[R])} }

// Add lets a request wait, and reports whether there was room.
func (l *Waiters[R]) Add(w *Waiter[R]) bool {
	if len(l.byToken) >= maxWaiters {
		return false
	}
	l.byToken[w.Claim.Token] = w
	return true
}

// Get returns the request whose claim has a token, or nil if it no longer waits.
func (l *Waiters[R]) Get(token uint64) *Waiter[R] { return l.byToken[token] }

// Remove ends the wait of a request.
func (l *Waiters[R]) Remove(w *Waiter[R]) { delete(l.byToken, w.Claim.Token) }

// Tokens returns the tokens of the claims, sorted.
func (l *Waiters[R]) Tokens() []uint64 { return slices.Sorted(maps.Keys(l.byToken)) }
