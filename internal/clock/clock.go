// Package clock gives the time by which an instance decides.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a time that never goes back, misses no pause and follows no step of the
// time of day.
//
// The steady clock of the system stands still while a machine is suspended: an
// instance that woke would take a claim for its own whose window is over, and send a
// request that has run elsewhere. The time of day counts the suspension but is
// stepped: a step ahead would end every request in progress as too late, one back
// would hold them past their time. The kernel's boot-time clock counts suspensions
// and is never stepped, so time passes with it alone.
type Clock struct {
	elapsed func() time.Duration
	start   time.Time
}

// New returns a clock of the system. It starts at the time of day.
func New() *Clock {
	begun := sinceBoot()
	return newClock(time.Now(), func() time.Duration { return sinceBoot() - begun })
}

func newClock(start time.Time, elapsed func() time.Duration) *Clock {
	// Round(0) takes the steady clock's reading out of the time of day.
	return &Clock{elapsed: elapsed, start: start.Round(0)}
}

// Now returns the time. It may be called from any goroutine.
func (c *Clock) Now() time.Time { return c.start.Add(c.elapsed()) }

// sinceBoot reads the boot-time clock. The call fails only for a clock that the
// kernel does not have, and every kernel in use has this one.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
