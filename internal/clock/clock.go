// Package clock provides the time that an instance uses for its decisions.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that includes the time during which the machine is suspended and is
// not affected by steps of the wall clock.
//
// The system's monotonic clock stops while a machine is suspended. After a resume, an instance
// would treat an expired claim as still valid and send a request that has run elsewhere. The wall
// clock includes suspensions but can be stepped: a step forward would end every request in flight
// as late, and a step back would keep requests beyond their deadlines. The kernel's boot-time
// clock includes suspensions and is never stepped, so Clock advances with it alone.
type Clock struct {
	elapsed func() time.Duration
	start   time.Time
}

// New returns a clock that starts at the wall clock time and advances with the boot-time clock.
func New() *Clock {
	base := sinceBoot()
	return newClock(time.Now(), func() time.Duration { return sinceBoot() - base })
}

func newClock(start time.Time, elapsed func() time.Duration) *Clock {
	// Round(0) strips the monotonic clock reading.
	return &Clock{elapsed: elapsed, start: start.Round(0)}
}

// Now returns the current time. It is safe for concurrent use.
func (c *Clock) Now() time.Time { return c.start.Add(c.elapsed()) }

// sinceBoot reads the boot-time clock. The call fails only if the kernel lacks this clock, which
// every kernel in use has.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
