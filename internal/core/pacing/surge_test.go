package pacing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late announcement of a load surge. Traffic starts in a large fleet with
// cold caches. Loads take three rounds of one second to propagate, so for three seconds all
// instances took the same engines for idle and sent their sessions there. A rise is announced
// at once; ordinary traffic is not.
func TestSurgeIsDetectedAtOnce(t *testing.T) {
	start := time.Unix(1_764_000_000, 0)
	var s Surge
	require.False(t, s.Detect(0, start), "no load yet")
	require.True(t, s.Detect(8, start.Add(300*time.Millisecond)), "traffic starts")
	require.False(t, s.Detect(40, start.Add(400*time.Millisecond)), "announced a moment ago")
	require.True(t, s.Detect(60, start.Add(600*time.Millisecond)), "still rising")
	require.False(t, s.Detect(69, start.Add(time.Second)), "within ordinary fluctuation")
	require.False(t, s.Detect(69, start.Add(1700*time.Millisecond)), "now the baseline")
	require.False(t, s.Detect(40, start.Add(2*time.Second)), "load falls")
	require.False(t, s.Detect(75, start.Add(2700*time.Millisecond)), "within ordinary fluctuation over the new baseline")
	require.True(t, s.Detect(90, start.Add(3*time.Second)), "another surge")
}
