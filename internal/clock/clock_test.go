package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A note is approved twice. A virtual machine was paused for twenty minutes with the
// claim in hand, and the steady clock by which it looked at the time had stood still,
// so it sent what another instance had run meanwhile. Then the wall clock is set
// back, and no deadline may come nearer or go further away by that.
func TestPauseCountsAndStepsBackDoNot(t *testing.T) {
	wall := time.Unix(1_800_000_000, 0)
	steady := time.Duration(0)
	c := newClock(func() time.Time { return wall }, func() time.Duration { return steady })
	begin := c.Now()
	pass := func(w, s time.Duration) time.Duration {
		wall, steady = wall.Add(w), steady+s
		return c.Now().Sub(begin)
	}
	require.Equal(t, time.Second, pass(time.Second, time.Second))
	require.Equal(t, 20*time.Minute+time.Second, pass(20*time.Minute, 0), "paused")
	require.Equal(t, 20*time.Minute+2*time.Second, pass(-time.Hour, time.Second), "set back")
	require.Equal(t, 20*time.Minute+3*time.Second, pass(time.Second, time.Second))
}
