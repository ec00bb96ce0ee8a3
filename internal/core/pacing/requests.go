package pacing

import "time"

// maxRequestDelay is the maximum delay between requests for the same item.
const maxRequestDelay = time.Minute

// Requests paces the requests for an item that peers have, identified by its newest number. The
// interval between requests for the same number doubles, since the item may be a text that this
// instance cannot accept.
type Requests struct {
	// first is the pause after the first request.
	first  time.Duration
	newest uint64
	next   time.Time
	pause  time.Duration
}

// NewRequests returns a pacer with the given pause after the first request.
func NewRequests(first time.Duration) Requests { return Requests{first: first} }

// Due reports whether to send a request now. If so, it schedules the next one.
func (r *Requests) Due(newest uint64, now time.Time) bool {
	if newest != r.newest {
		r.newest, r.pause, r.next = newest, r.first, time.Time{}
	}
	if now.Before(r.next) {
		return false
	}
	r.next = now.Add(r.pause)
	r.pause = min(2*r.pause, maxRequestDelay)
	return true
}
