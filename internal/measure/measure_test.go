package measure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/measure"
)

// scenario returns a short form of the named one.
func scenario(t *testing.T, name string, seed uint64) measure.Scenario {
	t.Helper()
	for _, s := range measure.Scenarios(seed) {
		if s.Name == name {
			s.Warmup, s.Duration = time.Minute, 5*time.Minute
			return s
		}
	}
	t.Fatalf("no scenario %s", name)
	return measure.Scenario{}
}

// The figures judge decisions, so a change in them must come from a decision: the
// same seed gives the same figures, whatever the order of maps.
func TestSameSeedSameFigures(t *testing.T) {
	t.Parallel()
	s := scenario(t, "skew", 3)
	s.Duration = 2 * time.Minute
	first := measure.Run(s, "ours-hint")
	require.Equal(t, first, measure.Run(s, "ours-hint"))
}

// Members' chats crowd on the engines that their rankings name: without the bound
// the busiest engine carries more than half again the mean, and its analysts wait.
// Nobody leaves or surges here; eight routers each see a sliver and hear of the
// rest half a second late.
func TestBoundHoldsInSteadyTraffic(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		s := scenario(t, "skew-steady", seed)
		require.Greater(t, measure.Run(s, "rendezvous").P99, 1.5, "the fault shows without the bound")
		for _, policy := range []string{"ours", "ours-hint"} {
			f := measure.Run(s, policy)
			require.LessOrEqual(t, f.P99, s.Bound, "%s seed %d", policy, seed)
			require.Less(t, f.Worst, 1.4, "%s seed %d", policy, seed)
			require.LessOrEqual(t, f.OverMost, 2, "placed above what an observer allows, %s seed %d", policy, seed)
		}
	}
}

// Two of ten customers surge tenfold while an engine leaves each minute, another
// flaps and routers are replaced, so that for seconds they disagree about who
// exists. Dispatchers would see one engine drown. The worst moment is the one when
// an empty engine joins and the mean drops; the time above the bound stays short.
func TestBoundUnderSurgeChurnAndDisagreement(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		s := scenario(t, "skew", seed)
		without := measure.Run(s, "rendezvous")
		require.Greater(t, without.Over, 0.4)
		for _, policy := range []string{"ours", "ours-hint"} {
			f := measure.Run(s, policy)
			require.Less(t, f.Worst, 1.6, "%s seed %d", policy, seed)
			require.LessOrEqual(t, f.P99, 1.4, "%s seed %d", policy, seed)
			require.Less(t, f.Over, 0.1, "%s seed %d", policy, seed)
		}
	}
}

// Two of ten customers surge tenfold and the pool is full. The other eight's agents
// would see refusals and blank screens for a rush that is not theirs: they are
// served as in quiet time, and those who surge are refused.
func TestTheOthersAreServedThroughASurge(t *testing.T) {
	t.Parallel()
	s := scenario(t, "rush", 1)
	s.Warmup, s.Duration = 5*time.Minute, 23*time.Minute
	f := measure.Run(s, "ours-hint")
	require.Greater(t, f.Surging.Refusals, f.Surging.Turns/5)
	require.Less(t, f.Rush.Refusals, f.Rush.Turns/100)
	require.Zero(t, f.Rush.GivenUp)
	require.Less(t, f.Rush.WaitP95, 1.5*f.Quiet.WaitP95)
}

// Traffic starts at 91 instances in three zones, none of which hears more than its own
// zone's loads, before 90 engines with cold caches. Sessions crowd on engines that look
// idle: without a bound a seventh of the requests of the worst five seconds goes over
// the promise; three in a hundred are allowed.
func TestPromiseFromAColdStart(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 2; seed++ {
		s := coldSessions(t, seed)
		require.Greater(t, measure.Run(s, "rendezvous").WorstSeconds, 0.1, "the fault shows without the bound")
		f := measure.Run(s, "ours")
		require.Less(t, f.WorstSeconds, 0.02, "seed %d", seed)
		// 0.842 and 0.845 before reports counted where zones stand apart.
		require.Greater(t, f.Reuse, 0.85, "seed %d", seed)
	}
}

func coldSessions(t *testing.T, seed uint64) measure.Scenario {
	t.Helper()
	for _, s := range measure.Scenarios(seed) {
		if s.Name == "sessions-cold" {
			return s
		}
	}
	t.Fatal("no such scenario")
	return measure.Scenario{}
}

// Engines come and go, and chats return: with hints their turns find nearly as much
// of their prefix as one who sees every cache and load at once would find for them.
func TestReuseNearTheOracles(t *testing.T) {
	t.Parallel()
	s := scenario(t, "skew", 1)
	oracle, ours := measure.Run(s, "oracle"), measure.Run(s, "ours-hint")
	require.Greater(t, ours.Reuse, 0.85*oracle.Reuse)
	require.Greater(t, ours.Reuse, 5*measure.Run(s, "two-choices").Reuse)
}
