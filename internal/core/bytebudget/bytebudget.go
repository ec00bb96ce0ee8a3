// Package bytebudget limits the bytes that an instance sends as control traffic. It sets the
// interval between rounds of digests and the content that is left out of them.
package bytebudget

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
	targetRate      = 0.85 * Rate
	stretchInterval = 5 * time.Second
	// rateWindow is the time constant over which the send rate is averaged.
	rateWindow = 5 * time.Second
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
	// SendAll leaves nothing out.
	SendAll Level = iota
	// NoRefresh leaves out the periodic full digests, which only protect against lost digests.
	NoRefresh
	// NoSmallChanges also leaves out loads that changed by at most a tenth.
	NoSmallChanges
	// NoLoads leaves out all loads and reports.
	NoLoads
)

// Budget limits the bytes that are sent to peers and in polls. The zero value is an unused budget.
type Budget struct {
	// loadBytes is the number of bytes of loads and reports in the token bucket, as of at.
	loadBytes float64
	at        time.Time
	// rate is the average number of bytes of all kinds sent per second. stretch is the factor
	// by which rounds are lengthened to limit the rate; nextStretch is the time of its next
	// update.
	rate        float64
	stretch     float64
	nextStretch time.Time
}

// Spend records the bytes of a message or poll, and the bytes of loads and reports in it.
func (b *Budget) Spend(now time.Time, bytes, loads int) {
	b.refill(now)
	b.loadBytes = min(b.loadBytes+float64(loads), 2*loadsBurst)
	b.rate += float64(bytes) / rateWindow.Seconds()
}

// refill reduces loadBytes and the average rate by the time that has passed.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	b.loadBytes = max(0, b.loadBytes-loadsRate*elapsed)
	b.rate *= math.Exp(-elapsed / rateWindow.Seconds())
	b.at = now
}

// RoundInterval returns the shortest interval between rounds of digests that the budget allows,
// within two bounds.
func (b *Budget) RoundInterval(now time.Time, shortest, longest time.Duration) time.Duration {
	b.refill(now)
	if !now.Before(b.nextStretch) {
		b.nextStretch = now.Add(stretchInterval)
		maxStretch := float64(longest) / float64(shortest)
		b.stretch = min(max(1, b.stretch*b.rate/targetRate), maxStretch)
	}
	return time.Duration(float64(shortest) * b.stretch)
}

// Level returns the content that must currently be left out.
func (b *Budget) Level(now time.Time) Level {
	b.refill(now)
	switch {
	case b.loadBytes < loadsBurst/2:
		return SendAll
	case b.loadBytes < loadsBurst*3/4:
		return NoRefresh
	case b.loadBytes < loadsBurst:
		return NoSmallChanges
	default:
		return NoLoads
	}
}
