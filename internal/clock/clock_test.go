package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance is suspended until after the window of a claim, and its wall clock is stepped forward
// and back while requests are in flight. After the resume the claim must count as expired. The
// steps must neither end the requests early nor extend their deadlines.
func TestClockCountsSuspensionAndIgnoresSteps(t *testing.T) {
	sinceBoot := time.Duration(0)
	start := time.Now()
	c := newClock(start, func() time.Duration { return sinceBoot })
	sinceBoot = 3 * time.Second
	require.Equal(t, start.Add(3*time.Second).UnixNano(), c.Now().UnixNano())
	// The boot-time clock advances during a suspension of one minute.
	sinceBoot += time.Minute
	require.Equal(t, start.Add(63*time.Second).UnixNano(), c.Now().UnixNano())
	// The wall clock is read only once, at the start, so later steps have no effect.
	require.Zero(t, c.Now().Sub(c.Now()))
}

// Deadlines are compared with times of this clock. Times with a monotonic clock reading would be
// compared by that reading, which does not advance while the machine is suspended.
func TestNowHasNoMonotonicReading(t *testing.T) {
	c := New()
	before := c.Now()
	require.Equal(t, before, before.Round(0))
	require.False(t, c.Now().Before(before))
}
