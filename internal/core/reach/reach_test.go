package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a whole zone that is avoided because one of its servers ended, and against
// connections tried one by one to the servers of a zone that is cut off.
func TestZoneIsUnreachableWhenSeveralServersAre(t *testing.T) {
	now := time.Unix(1_764_000_000, 0)
	tracker := New()
	tracker.RecordAnswer("far", now)
	now = now.Add(time.Second)
	tracker.RecordFailure("a", "far", now)
	_, unreachable := tracker.ZoneUnreachable("far", 6, now)
	require.False(t, unreachable, "one server of six")
	tracker.RecordFailure("b", "far", now)
	backoff, unreachable := tracker.ZoneUnreachable("far", 6, now)
	require.True(t, unreachable)
	tracker.MarkUnreachable("c", "far", now, backoff)
	require.True(t, tracker.Unreachable("c", now))

	now = now.Add(backoff)
	require.Equal(t, []string{"a", "b", "c"}, tracker.ElapsedBackoffs(now))
	require.False(t, tracker.Unreachable("c", now))
	require.True(t, tracker.RecordSuccess("a", "far"))
	require.Equal(t, []string{"b", "c"}, tracker.ResetZone("far"))
}

// Guards against a server that is cut off and is tried at the same short interval for ever.
func TestBackoffDoubles(t *testing.T) {
	now := time.Unix(1_764_000_000, 0)
	tracker := New()
	for _, want := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff} {
		tracker.RecordFailure("a", "z", now)
		require.True(t, tracker.Unreachable("a", now.Add(want-time.Millisecond)))
		now = now.Add(want)
		require.Equal(t, []string{"a"}, tracker.ElapsedBackoffs(now))
	}
}
