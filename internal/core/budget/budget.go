// Package budget limits the bytes that an instance sends as control traffic. It sets the interval
// between rounds of digests and the content that is left out of them.
package budget

import (
	"math"
	"time"
)

// Rate is the number of bytes per second that an instance may send. The budget is 5 KB/s for both
// directions together. Since the bytes sent are received by other instances, an instance may send
// a little less than half of it.
const Rate = 2300.0

// These constants control the length of rounds. An instance targets a part of Rate and makes its
// rounds longer while it sends more.
const (
	aim          = 0.85 * Rate
	stretchEvery = 5 * time.Second
	// rateMemory is the time constant over which the send rate is averaged.
	rateMemory = 5 * time.Second
)

// Loads have a token bucket of their own with a part of Rate. Content that is never left out may
// exceed its part while many engines or instances come and go. Loads matter most at that time:
// without them, too many requests go to servers that look idle.
const (
	loadsRate  = 1400.0
	loadsBurst = 4 * loadsRate
)

// Level defines the content that is left out of digests; the least useful content goes first.
// Claims, configuration, leaving and other facts are never left out.
type Level int

// The levels, in ascending order of omitted content.
const (
	// Everything leaves nothing out.
	Everything Level = iota
	// NoRefresh leaves out the periodic full digests, which only protect against lost digests.
	NoRefresh
	// Sparing also leaves out loads that changed by at most a tenth.
	Sparing
	// NoLoads leaves out all loads and reports.
	NoLoads
)

// Budget limits the bytes that are sent to peers and in polls. The zero value is an unused budget.
type Budget struct {
	// spent is the number of bytes of loads and reports in the token bucket, as of at.
	spent float64
	at    time.Time
	// rate is the average number of bytes of all kinds sent per second. stretch is the factor
	// by which rounds are lengthened to limit the rate; next is the time of its next update.
	rate    float64
	stretch float64
	next    time.Time
}

// Spend records the bytes of a message or poll, and the bytes of loads and reports in it.
func (b *Budget) Spend(now time.Time, bytes, loads int) {
	b.refill(now)
	b.spent = min(b.spent+float64(loads), 2*loadsBurst)
	b.rate += float64(bytes) / rateMemory.Seconds()
}

// refill reduces spent and the average rate by the time that has passed.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	b.spent = max(0, b.spent-loadsRate*elapsed)
	b.rate *= math.Exp(-elapsed / rateMemory.Seconds())
	b.at = now
}

// Round returns the shortest interval between rounds of digests that the budget allows, within two
// bounds.
func (b *Budget) Round(now time.Time, shortest, longest time.Duration) time.Duration {
	b.refill(now)
	if !now.Before(b.next) {
		b.next = now.Add(stretchEvery)
		maxStretch := float64(longest) / float64(shortest)
		b.stretch = min(max(1, b.stretch*b.rate/aim), maxStretch)
	}
	return time.Duration(float64(shortest) * b.stretch)
}

// Level returns the content that must currently be left out.
func (b *Budget) Level(now time.Time) Level {
	b.refill(now)
	switch {
	case b.spent < loadsBurst/2:
		return Everything
	case b.spent < loadsBurst*3/4:
		return NoRefresh
	case b.spent < loadsBurst:
		return Sparing
	default:
		return NoLoads
	}
}
