// Package clock gives the time by which an instance decides.
package clock

import (
	"sync"
	"time"
)

// Clock is a time that never goes back and misses no pause.
//
// The steady clock of the system stands still while a virtual machine is paused: an
// instance that woke would take a claim for its own whose window is over, and send a
// request that has run elsewhere. The wall clock shows the pause, but steps back at
// times, and deadlines would then seem far away. So time passes with the steady
// clock, and whatever the wall clock has gained on it is added, and never taken off.
type Clock struct {
	wall   func() time.Time
	steady func() time.Duration
	start  time.Time

	mu     sync.Mutex
	gained time.Duration
}

// New returns a clock of the system.
func New() *Clock {
	start := time.Now()
	return newClock(time.Now, func() time.Duration { return time.Since(start) })
}

func newClock(wall func() time.Time, steady func() time.Duration) *Clock {
	return &Clock{wall: wall, steady: steady, start: wall().Round(0)}
}

// Now returns the time. It may be called from any goroutine.
func (c *Clock) Now() time.Time {
	steady := c.start.Add(c.steady())
	c.mu.Lock()
	defer c.mu.Unlock()
	// Round(0) takes the steady clock's reading out of the wall clock's.
	c.gained = max(c.gained, c.wall().Round(0).Sub(steady))
	return steady.Add(c.gained)
}
