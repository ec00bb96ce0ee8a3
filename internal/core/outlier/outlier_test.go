package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/outlier"
)

var start = time.Unix(1_800_000_000, 0)

func pool(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%02d", i)
	}
	return names
}

// One engine of twelve fails half of its requests while its health check passes. It must be marked
// as an outlier after its third failure, and again for longer if it still fails when the mark has
// expired. The other engines stay unmarked.
func TestServerWithMoreFailuresIsOutlier(t *testing.T) {
	tracker, names, now := outlier.New(), pool(12), start
	round := func(failing bool) []string {
		now = now.Add(time.Second)
		for i, name := range names {
			if tracker.IsOutlier(name, now) {
				continue
			}
			c := outlier.Count{Answers: 6}
			if i == 3 && failing {
				c.Failures = 3
			}
			tracker.Add(name, c, now)
		}
		return tracker.DetectOutliers(names, now)
	}
	require.Equal(t, names[3:4], round(true))
	require.True(t, tracker.IsOutlier(names[3], now.Add(1900*time.Millisecond)))
	require.Empty(t, round(true))
	require.Equal(t, names[3:4], round(true), "failed again after the first mark expired")
	require.True(t, tracker.IsOutlier(names[3], now.Add(3900*time.Millisecond)), "marked for longer")
	for range 6 {
		require.Empty(t, round(false))
	}
	require.False(t, tracker.IsOutlier(names[3], now))
}

// All servers fail the same share of requests, for example during an outage of a dependency or
// because of requests that fail at any server. Avoiding some of the servers would only add load
// to the others.
func TestNoOutlierIfAllFailEqually(t *testing.T) {
	tracker, names := outlier.New(), pool(12)
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		for i, name := range names {
			tracker.Add(name, outlier.Count{Answers: 6, Failures: 2 + (i+second)%3}, now)
		}
		require.Empty(t, tracker.DetectOutliers(names, now))
	}
}

// Failures outside the window, too few failures, and failures of a service's only server must not
// mark an outlier.
func TestInsufficientDataMarksNoOutlier(t *testing.T) {
	tracker, names := outlier.New(), pool(3)
	tracker.Add(names[0], outlier.Count{Answers: 2, Failures: 2}, start)
	tracker.Add(names[1], outlier.Count{Answers: 9}, start)
	require.Empty(t, tracker.DetectOutliers(names, start))
	tracker.Add(names[0], outlier.Count{Answers: 2, Failures: 2}, start.Add(time.Minute))
	require.Empty(t, tracker.DetectOutliers(names, start.Add(time.Minute)))
	tracker.Add(names[2], outlier.Count{Answers: 9, Failures: 9}, start.Add(time.Minute))
	require.Empty(t, tracker.DetectOutliers(names[2:], start.Add(time.Minute)))
}
