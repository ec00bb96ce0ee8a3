// Package peerclock estimates the offset between the clocks of two instances.
package peerclock

import "time"

const (
	// offsetWindow is the time after which an observed offset is replaced, because clocks drift.
	offsetWindow = 30 * time.Second
	// minOffsetSamples is the number of messages from which an offset is known. A single one may
	// have been delayed for long.
	minOffsetSamples = 2
)

// Offset estimates the offset between a peer's clock and this instance's: the smallest
// difference between the times at which messages were handled here and made there, lately. It
// includes the shortest delay of a message, so that a time on the peer's clock is never taken
// for an earlier one by more than the peers' messages take.
type Offset struct {
	samples int
	// since is the start of the current window; current and previous are the smallest offsets
	// in it and in the one before.
	since             time.Time
	current, previous time.Duration
}

// Observe records that a message made at a time on the peer's clock was handled now.
func (o *Offset) Observe(now, madeAt time.Time) {
	offset := now.Sub(madeAt)
	switch {
	case o.samples == 0:
		o.since, o.current, o.previous = now, offset, offset
	case now.Sub(o.since) > offsetWindow:
		o.since, o.previous, o.current = now, o.current, offset
	}
	o.samples++
	o.current = min(o.current, offset)
}

// ToLocal converts a time on the peer's clock to this instance's clock. It reports false if too
// few messages have arrived.
func (o *Offset) ToLocal(at time.Time) (time.Time, bool) {
	return at.Add(min(o.current, o.previous)), o.samples >= minOffsetSamples
}
