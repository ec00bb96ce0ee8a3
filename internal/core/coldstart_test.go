package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// newColdFleet starts instances that know no peers, all within 300 ms. The engines join during
// the first four seconds, and the operators write the configuration after 3.5 seconds.
func newColdFleet(seed uint64, instances, zones, engines int) *fleet {
	f := newStoppedFleet(seed, instances, zones)
	f.selfRegister = true
	for _, m := range f.instances {
		f.schedule(time.Duration(f.random.Int64N(int64(300*time.Millisecond))), func() { f.boot(m, "") })
	}
	for i := range engines {
		f.schedule(time.Duration(f.random.Int64N(int64(4*time.Second))), func() {
			f.store.putEntry(fmt.Sprintf("engine-%d", i), engineEntry(i, membership.Live))
		})
	}
	f.schedule(3500*time.Millisecond, func() { f.putConfig(1, "first", entriesText) })
	return f
}

// servingCount returns the number of instances that have the configuration and know that many
// engines.
func (f *fleet) servingCount(engines int) int {
	count := 0
	for _, m := range f.instances {
		if m.generation == 1 && m.usableEngines() == engines {
			count++
		}
	}
	return count
}

// Guards against excessive store calls when a whole fleet starts and no instance knows any
// other. Each instance followed the store itself, and each engine and instance that joined
// ended its watch: 27 calls per instance before the first request, and the operators pay for
// each.
func TestColdStartNeedsFewStoreCalls(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones, engines int }{{8, 3, 15}, {18, 5, 41}, {60, 5, 60}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newColdFleet(1, size.instances, size.zones, size.engines)
			f.run(9 * time.Second)
			require.Equal(t, size.instances, f.servingCount(size.engines), "all instances serve a second before the first requests")
			t.Logf("%.1f calls per instance: %v", f.storeCost/float64(size.instances), f.calls)
			// In a small fleet, the calls of the followers are divided among few instances.
			require.Less(t, f.storeCost, 4*float64(size.instances)+60)
		})
	}
}

// newSettledFleet returns a fleet after a cold start, when all instances serve.
func newSettledFleet(t *testing.T, instances, zones, engines int) *fleet {
	t.Helper()
	f := newColdFleet(1, instances, zones, engines)
	f.run(14 * time.Second)
	require.Equal(t, instances, f.servingCount(engines))
	f.storeCost = 0
	clear(f.calls)
	return f
}

// Guards against excessive store calls when instances are replaced one after the other while
// the fleet runs. Each took a lease, wrote an entry and read everything that its peers know:
// five calls, although its old entry still exists and the peers can pass the rest on.
func TestRollingRestartNeedsFewStoreCalls(t *testing.T) {
	t.Parallel()
	f := newSettledFleet(t, 18, 5, 41)
	f.run(10 * time.Second)
	quiet := f.storeCost
	f.storeCost = 0
	clear(f.calls)
	for i, m := range f.instances[:10] {
		f.schedule(time.Duration(i)*time.Second, func() { f.boot(m, "") })
	}
	f.run(10 * time.Second)
	f.run(3 * time.Second)
	require.Equal(t, 18, f.servingCount(41))
	t.Logf("ten restarts: %.1f calls, against %.1f in the ten quiet seconds before: %v", f.storeCost, quiet, f.calls)
	require.Zero(t, f.calls["register"])
	require.Zero(t, f.calls["list-backends"])
	require.Less(t, f.storeCost, 1.3*quiet+30, "three calls per restart, including those of followers, beyond those of the quiet seconds")
}

// Guards against redundant digests when all instances start at once, and when all restart
// after a power loss. Every instance reads the same first lists and learns of the restarts
// from its own links. Forwarding these changes from each instance to each other one used up
// links and processors, at some hundreds of instances, in the very second in which callers
// wait.
func TestFleetStartSendsNoRedundantMemberChanges(t *testing.T) {
	t.Parallel()
	const instances = 60
	f := newColdFleet(1, instances, 5, 12)
	f.run(14 * time.Second)
	require.Equal(t, instances, f.servingCount(12))
	t.Logf("start of all instances: %d member changes sent", f.calls["member-changes"])
	// Some instances join too late for the first lists of others, which receive them in
	// digests.
	require.Less(t, f.calls["member-changes"], 10*instances)
	clear(f.calls)
	for _, m := range f.instances {
		f.boot(m, "")
	}
	f.run(10 * time.Second)
	require.Equal(t, instances, f.servingCount(12))
	t.Logf("restart of all instances: %d member changes sent", f.calls["member-changes"])
	require.Less(t, f.calls["member-changes"], instances)
}

// Guards against an instance that stays excluded from the fleet after a planned restart. It
// stops and starts again under its name, with its old entry still in the store. Its peers
// know it as leaving, which is final within one incarnation, so they must learn that this is
// a new incarnation.
func TestRestartedInstanceRejoinsWithOldEntry(t *testing.T) {
	t.Parallel()
	f := newSettledFleet(t, 18, 5, 5)
	restarted := f.instances[3]
	f.deliver(restarted, core.StopRequested{})
	f.run(2 * time.Second)
	live := func(m *fakeInstance) bool {
		for _, instance := range m.node.Status().Instances {
			if instance.Name == restarted.name {
				return instance.State == membership.Live
			}
		}
		return false
	}
	require.False(t, live(f.instances[0]))
	f.boot(restarted, "")
	f.run(5 * time.Second)
	for _, m := range f.instances {
		require.True(t, m == restarted || live(m), "%s has it as live again", m.name)
	}
	require.Zero(t, f.calls["register"])
}

// Guards against refusals after a power loss of the whole fleet, when callers cannot be sent
// elsewhere. An instance that waits for its peers to collect its data refuses requests for
// seconds; with a call of its own to the store it serves within 400 ms.
func TestInstancesServeSoonAfterFleetPowerLoss(t *testing.T) {
	f := newSettledFleet(t, 18, 5, 41)
	for _, m := range f.instances {
		f.boot(m, "")
		for i := range 10 {
			f.schedule(time.Duration(i)*50*time.Millisecond, func() { f.requestUnclaimed(m) })
		}
	}
	f.run(400 * time.Millisecond)
	require.Equal(t, 18, f.servingCount(41))
}

// requestUnclaimed sends a request that needs no claim.
func (f *fleet) requestUnclaimed(m *fakeInstance) {
	request := &callerRequest{id: core.RequestID(fmt.Sprintf("plain-%d", len(f.requests))), at: f.now, instance: m, incarnation: m.incarnation}
	f.requests[request.id] = request
	f.deliver(m, core.RequestArrived{Request: request.id, Customer: "branch", Service: "engines"})
}
