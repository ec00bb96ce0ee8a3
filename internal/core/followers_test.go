package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// followers returns the instances that watch the store, determined from their calls.
func (f *fleet) followers() map[string]bool {
	for _, m := range f.instances {
		m.watches = 0
	}
	// No watch is held for longer.
	f.run(f.changeBound)
	list := make(map[string]bool)
	for _, m := range f.instances {
		if m.watches > 0 {
			list[m.name] = true
		}
	}
	return list
}

// All followers are cut off at the same moment, while the operators change the configuration
// and an engine starts to leave. No other instance called the store, so requests used the old
// configuration and the leaving engine for ten seconds. Operators allow two in a small fleet
// and three in a large one.
func TestChangesArriveWhenAllFollowersAreCutOff(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		instances, zones int
		within           time.Duration
	}{{9, 4, 2 * time.Second}, {60, 4, 3 * time.Second}, {60, 1, 3 * time.Second}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(fmt.Sprint(size.instances, size.zones), func(t *testing.T) {
			f := newSettledFleet(t, size.instances, size.zones, 12)
			f.run(5 * time.Second)
			lost := f.followers()
			require.GreaterOrEqual(t, len(lost), 3)
			require.LessOrEqual(t, len(lost), max(3, size.zones))
			f.platformCut = func(m *fakeInstance) bool { return lost[m.name] }
			f.linkCut = func(a, b *fakeInstance) bool { return lost[a.name] || lost[b.name] }
			f.putConfig(2, "second", entriesText)
			f.store.putEntry("engine-3", engineEntry(3, membership.Leaving))
			took := f.timeUntilUsed(t, 11, func(m *fakeInstance) bool { return !lost[m.name] })
			f.run(100 * time.Millisecond)
			for _, m := range f.instances {
				require.True(t, lost[m.name] || m.generation == 2, "%s has the change", m.name)
			}
			t.Logf("followers %v cut off: all others updated after %v", lost, took)
			require.Less(t, took+100*time.Millisecond, size.within)
		})
	}
}

// The store answers no instance for 10 seconds. Each instance that calls it in vain costs its
// operators one call a second, so only a few may do so. All instances must learn the changes
// once the store is back.
func TestFewInstancesCallStoreDuringOutage(t *testing.T) {
	t.Parallel()
	f := newSettledFleet(t, 60, 4, 12)
	f.run(10 * time.Second)
	normalCalls := f.storeCost
	f.storeCost = 0
	f.store.down = true
	f.run(9 * time.Second)
	f.store.putEntry("engine-3", engineEntry(3, membership.Leaving))
	f.run(time.Second)
	f.store.down = false
	took := f.timeUntilUsed(t, 11, everyMember)
	t.Logf("%.0f calls in ten seconds of outage, %.0f in ten normal seconds; all instances updated %v after its end", f.storeCost, normalCalls, took)
	require.Less(t, took, 2*time.Second)
	require.Less(t, f.storeCost, normalCalls+300)
}

// The store is down for some seconds and loses the leases of all engines. Engines that are
// alive renew them within two seconds after its return. The followers detected the outage and wait
// for that. They must not report the engines as gone meanwhile, or most of the fleet would
// refuse requests that it could serve.
func TestEnginesStayInUseAfterLeaseLossInOutage(t *testing.T) {
	t.Parallel()
	f := newSettledFleet(t, 18, 5, 6)
	f.store.down = true
	f.run(5 * time.Second)
	for i := range 6 {
		f.store.putEntry(fmt.Sprintf("engine-%d", i), nil)
	}
	f.store.down = false
	for i := range 6 {
		f.schedule(1500*time.Millisecond, func() {
			f.store.putEntry(fmt.Sprintf("engine-%d", i), engineEntry(i, membership.Live))
		})
	}
	for range 60 {
		f.run(100 * time.Millisecond)
		require.Equal(t, 18, f.servingCount(6))
	}
	f.store.putEntry("engine-3", nil)
	require.Less(t, f.timeUntilUsed(t, 5, everyMember), 2*time.Second, "a removed engine is no longer used")
}

// Some instances are cut off from the store, and their calls fail for seconds. When an engine's
// entry then ends without a drain notice, the others must stop using the engine without delay,
// because the store was never down. They used to treat the entry as lapsed in an outage.
func TestRemovalIsNotDelayedByOtherInstancesFailures(t *testing.T) {
	t.Parallel()
	f := newSettledFleet(t, 60, 4, 12)
	f.platformCut = func(m *fakeInstance) bool { return m.zone == "zone-1" }
	f.run(3 * time.Second)
	f.store.putEntry("engine-3", nil)
	require.Less(t, f.timeUntilUsed(t, 11, func(m *fakeInstance) bool { return m.zone != "zone-1" }), time.Second)
}
