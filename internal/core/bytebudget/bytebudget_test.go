package bytebudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spend records a number of bytes per second, a tenth of them for loads, for some seconds.
func spend(b *Budget, from time.Time, bytes int, seconds int) time.Time {
	for range seconds {
		from = from.Add(time.Second)
		b.Spend(from, bytes, bytes/10)
		b.RoundInterval(from, 250*time.Millisecond, 2*time.Second)
	}
	return from
}

// Rounds must become longer while a busy instance sends more than the target rate. With rounds of
// constant length its control traffic would have no bound.
func TestRoundsGrowAboveTargetRate(t *testing.T) {
	var b Budget
	now := time.Unix(1_764_000_000, 0)
	require.Equal(t, 250*time.Millisecond, b.RoundInterval(now, 250*time.Millisecond, 2*time.Second))
	now = spend(&b, now, 2*Rate, 60)
	require.Equal(t, 2*time.Second, b.RoundInterval(now, 250*time.Millisecond, 2*time.Second), "limited to the maximum")
	now = spend(&b, now, Rate/4, 60)
	require.Equal(t, 250*time.Millisecond, b.RoundInterval(now, 250*time.Millisecond, 2*time.Second), "short again once the rate has dropped")
}

// Loads that exceed their part of the budget must be left out in steps, and be sent again once the
// token bucket has room.
func TestLoadsAreLeftOutInSteps(t *testing.T) {
	var b Budget
	now := time.Unix(1_764_000_000, 0)
	for _, want := range []Level{SendAll, NoRefresh, NoSmallChanges, NoLoads} {
		require.Equal(t, want, b.Level(now))
		for b.Level(now) == want && want != NoLoads {
			b.Spend(now, 100, 100)
		}
	}
	require.Equal(t, SendAll, b.Level(now.Add(10*time.Second)))
}
