package startqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func values(requests []Request[string]) []string {
	var list []string
	for _, r := range requests {
		list = append(list, r.Value)
	}
	return list
}

// Guards against requests that are served in another order than that of their arrival, or twice.
func TestRequestsLeaveInOrderOfArrival(t *testing.T) {
	var q Queue[string]
	require.True(t, q.Add("a", 1, time.Time{}, start))
	require.True(t, q.Add("b", 1, start.Add(200*time.Millisecond), start))
	require.True(t, q.Add("c", 1, time.Time{}, start.Add(time.Millisecond)))
	require.Equal(t, []string{"a", "b", "c"}, values(q.Take(start, false)))
	require.Empty(t, q.Take(start.Add(time.Hour), false))
}

// Guards against callers who have no time left to try another instance.
func TestRequestsWaitForHalfOfTheirTime(t *testing.T) {
	var q Queue[string]
	require.True(t, q.Add("no deadline", 1, time.Time{}, start))
	require.True(t, q.Add("short", 1, start.Add(200*time.Millisecond), start))
	require.False(t, q.Add("none left", 1, start, start))
	require.Empty(t, q.Take(start.Add(99*time.Millisecond), true))
	require.Equal(t, []string{"short"}, values(q.Take(start.Add(100*time.Millisecond), true)))
	require.Empty(t, q.Take(start.Add(MaxWait-1), true))
	require.Equal(t, []string{"no deadline"}, values(q.Take(start.Add(MaxWait), true)))
}

// Guards against memory that is never given back, or without bound.
func TestQueueIsBounded(t *testing.T) {
	var q Queue[string]
	require.True(t, q.Add("a", maxBytes-1, time.Time{}, start))
	require.False(t, q.Add("b", 2, time.Time{}, start))
	_, ok := q.TakeFirst(func(value string) bool { return value == "b" })
	require.False(t, ok)
	taken, ok := q.TakeFirst(func(value string) bool { return value == "a" })
	require.True(t, ok)
	require.Equal(t, "a", taken)
	require.Zero(t, q.bytes)
	for range maxRequests {
		require.True(t, q.Add("c", 1, time.Time{}, start))
	}
	require.False(t, q.Add("d", 1, time.Time{}, start))
	require.Len(t, q.Take(start, false), maxRequests)
	require.Zero(t, q.bytes)
}
