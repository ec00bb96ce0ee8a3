package core_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// entriesText configures a service whose backend servers register entries in the store.
const entriesText = `{
  "services": [{"name": "engines", "kind": "model", "from_platform": true}],
  "customers": [{"name": "branch"}],
}`

// newFleetWithEntries starts a fleet of instances and a number of engines with entries.
func newFleetWithEntries(seed uint64, instances, zones, engines int) *fleet {
	f := newFleet(seed, instances, zones, entriesText)
	for i := range engines {
		f.store.putEntry(fmt.Sprintf("engine-%d", i), engineEntry(i, membership.Live))
	}
	f.run(15 * time.Second)
	return f
}

func engineEntry(i int, state membership.State) *membership.Member {
	return &membership.Member{
		Name: fmt.Sprintf("engine-%d", i), Role: membership.RoleBackend, Service: "engines",
		Zone: fmt.Sprintf("zone-%d", i%3), Address: "127.0.0.1:9", Slots: 64, Version: "v1", Incarnation: 1, State: state,
	}
}

// usableEngines returns the number of engines that the instance considers live.
func (m *fakeInstance) usableEngines() int {
	status := m.node.Status()
	if len(status.Services) == 0 {
		return 0
	}
	live := 0
	for _, b := range status.Services[0].Backends {
		if b.State == membership.Live {
			live++
		}
	}
	return live
}

// timeUntilUsed returns the time until every selected instance uses the given number of engines.
func (f *fleet) timeUntilUsed(t *testing.T, engines int, selected func(*fakeInstance) bool) time.Duration {
	t.Helper()
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 50 * time.Millisecond {
		all := true
		for _, m := range f.instances {
			all = all && (m.dead || !selected(m) || m.usableEngines() == engines)
		}
		if all {
			return elapsed
		}
		f.run(50 * time.Millisecond)
	}
	require.Fail(t, "not all instances were updated")
	return 0
}

func everyMember(*fakeInstance) bool { return true }

// An engine leaves. Only the followers watch the store, and all other instances must stop using
// the engine as quickly: within the two seconds that the operators allow, with a call or two
// per change instead of one per instance.
func TestFollowersDistributeStoreChanges(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones, calls int }{{8, 3, 40}, {48, 3, 40}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			f := newFleetWithEntries(1, size.instances, size.zones, 12)
			require.Zero(t, f.timeUntilUsed(t, 12, everyMember))
			before := f.calls["watch-backends"] + f.calls["list-backends"]
			f.store.putEntry("engine-3", engineEntry(3, membership.Leaving))
			took := f.timeUntilUsed(t, 11, everyMember)
			require.Less(t, took, 500*time.Millisecond)
			f.store.putEntry("engine-4", nil)
			require.Less(t, f.timeUntilUsed(t, 10, everyMember), 500*time.Millisecond)
			f.run(10 * time.Second)
			calls := f.calls["watch-backends"] + f.calls["list-backends"] - before
			t.Logf("%d instances: all updated after %v; %d calls in ten seconds", size.instances, took, calls)
			require.Less(t, calls, size.calls)
		})
	}
}

// Five of eight instances in two zones are cut off from the store. They must learn of a change
// from the instances that still reach it.
func TestCutOffInstancesGetChangesFromPeers(t *testing.T) {
	f := newFleetWithEntries(2, 8, 2, 12)
	cut := map[string]bool{"entry-0": true, "entry-1": true, "entry-2": true, "entry-3": true, "entry-4": true}
	f.platformCut = func(m *fakeInstance) bool { return cut[m.name] }
	f.run(4 * time.Second)
	f.store.putEntry("engine-3", engineEntry(3, membership.Leaving))
	require.Less(t, f.timeUntilUsed(t, 11, everyMember), time.Second, "includes the instances that are cut off")
}

// An instance restarts while the store is down. It must learn every engine from a peer.
func TestRestartedInstanceLearnsEntriesFromPeer(t *testing.T) {
	f := newFleetWithEntries(3, 8, 2, 100)
	f.store.down = true
	f.boot(f.instances[0], entriesText)
	require.Less(t, f.timeUntilUsed(t, 100, everyMember), 15*time.Second)
}

// putEntry sets a backend server's entry, or removes it if member is nil.
func (s *fakeStore) putEntry(name string, member *membership.Member) {
	s.addChange(storedChange{entry: entries.Entry{Name: name, Revision: s.nextRevision(), Backend: member}})
}

// storedChange is a change of a backend server's entry, or of a poison record.
type storedChange struct {
	entry  entries.Entry
	poison *poison.Record
}

func (s *fakeStore) nextRevision() uint64 { return uint64(len(s.entries) + 1) }

func (s *fakeStore) addChange(change storedChange) {
	s.entries = append(s.entries, change)
	watchers := s.watchers
	s.watchers = nil
	for _, w := range watchers {
		w()
	}
}

func (s *fakeStore) listBackends(m *fakeInstance, e core.ListBackends) {
	call := s.begin(m, e.Timeout, core.BackendsRead{Op: e.Op, Status: core.StoreFailed})
	call.answer(func() core.Event {
		newest := make(map[string]entries.Entry)
		read := core.BackendsRead{Op: e.Op, Status: core.StoreOK, Revision: uint64(len(s.entries))}
		for _, change := range s.entries {
			if change.poison != nil {
				read.Poison = append(read.Poison, *change.poison)
				continue
			}
			newest[change.entry.Name] = change.entry
		}
		for _, name := range slices.Sorted(maps.Keys(newest)) {
			if newest[name].Backend != nil {
				read.Entries = append(read.Entries, newest[name])
			}
		}
		return read
	})
}

func (s *fakeStore) watchBackends(m *fakeInstance, e core.WatchBackends) {
	call := s.begin(m, e.Timeout, core.BackendsRead{Op: e.Op, Status: core.StoreUnknown})
	answer := func() {
		call.answer(func() core.Event {
			read := core.BackendsRead{Op: e.Op, Status: core.StoreOK, Revision: uint64(len(s.entries))}
			for _, change := range s.entries[min(e.After, uint64(len(s.entries))):] {
				if change.poison != nil {
					read.Poison = append(read.Poison, *change.poison)
					continue
				}
				read.Entries = append(read.Entries, change.entry)
			}
			return read
		})
	}
	if e.After < uint64(len(s.entries)) {
		answer()
		return
	}
	s.watchers = append(s.watchers, answer)
	s.fleet.schedule(e.Hold, answer)
}
