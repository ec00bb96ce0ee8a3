package core_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ebonydyke/ebonydyke/test/fixedseed"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// putConfig writes a value to the configuration key, like an operator's tool or a store that was
// restored from a backup.
func (f *fleet) putConfig(generation uint64, edit, text string) {
	value, err := json.Marshal(config.Envelope{Generation: generation, Edit: edit, Text: text})
	if err != nil {
		panic(err)
	}
	v := f.store.value(core.ConfigKey)
	v.value = value
	v.version++
	f.store.notifyWaiters(v)
}

// onGeneration returns the number of instances that have a generation in force, and the time
// when the last of them applied it.
func (f *fleet) onGeneration(generation uint64) (count int, last time.Time) {
	for _, m := range f.instances {
		if m.dead || m.generation != generation {
			continue
		}
		count++
		if m.takenAt.After(last) {
			last = m.takenAt
		}
	}
	return count, last
}

func configFleet(t *testing.T, seed uint64, n, zones int) (*fleet, string) {
	t.Helper()
	text := fleetText(claimWindow)
	f := newFleet(seed, n, zones, text)
	f.putConfig(1, "first", text)
	f.run(5 * time.Second)
	count, _ := f.onGeneration(1)
	require.Equal(t, n, count)
	return f, text
}

func (f *fleet) requireGeneration(t *testing.T, generation uint64) {
	t.Helper()
	count, _ := f.onGeneration(generation)
	require.Equal(t, len(f.instances), count, "instances on generation %d", generation)
	require.Zero(t, f.rollbacks)
}

// Operators change a limit, and some instances keep the old configuration for minutes.
func TestEditIsInForceEverywhereWithinSeconds(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones, edits int }{{8, 3, 10}, {58, 3, 3}, {350, 6, 1}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		f, text := configFleet(t, 11, size.instances, size.zones)
		// Each instance watches the key at its start. Those watches must have ended.
		f.run(31 * time.Second)
		clear(f.calls)
		var worst time.Duration
		for i := range uint64(size.edits) {
			accepted := f.now
			f.putConfig(2+i, fmt.Sprintf("edit-%d", i), text)
			f.run(8 * time.Second)
			f.requireGeneration(t, 2+i)
			_, last := f.onGeneration(2 + i)
			worst = max(worst, last.Sub(accepted))
		}
		seconds := float64(size.edits * 8)
		t.Logf("%d instances: in force on the last instance %v after the write; platform calls per second: %.1f list, %.1f get, %.1f watch",
			size.instances, worst, float64(f.calls["list"])/seconds, float64(f.calls["get"])/seconds, float64(f.calls["watch"])/seconds)
		require.Less(t, worst, 15*time.Second)
	}
}

// The store is restored from a backup, or returns from an outage without its last write. The
// fleet must not revert to the older text, and an instance that starts then must not apply it.
func TestRestoredStoreDoesNotRevertConfiguration(t *testing.T) {
	t.Parallel()
	f, text := configFleet(t, 12, 8, 3)
	f.putConfig(2, "second", text)
	f.run(10 * time.Second)
	f.requireGeneration(t, 2)
	f.store.down = true
	f.run(time.Minute)
	f.putConfig(1, "first", text)
	f.store.down = false
	f.run(30 * time.Second)
	f.requireGeneration(t, 2)
	require.Contains(t, string(f.store.value(core.ConfigKey).value), `"generation":2`, "written back")
	f.boot(f.instances[0], "")
	f.run(10 * time.Second)
	f.requireGeneration(t, 2)

	v := f.store.value(core.ConfigKey)
	v.value, v.version = nil, 0
	f.store.notifyWaiters(v)
	f.run(2 * time.Minute)
	f.requireGeneration(t, 2)
	require.Contains(t, string(f.store.value(core.ConfigKey).value), `"generation":2`, "also written back to an emptied store")
	t.Logf("%d write-backs by 8 instances", f.counters["config_write_backs/"])
}

// A replaced instance starts while the platform is unreachable. It would refuse all requests
// for lack of a configuration that every peer has.
func TestInstanceStartedInOutageGetsConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	f, text := configFleet(t, 13, 8, 3)
	f.putConfig(2, "second", text)
	f.run(10 * time.Second)
	f.store.down, f.listDown = true, true
	f.run(time.Minute)
	m := f.instances[3]
	m.dead = true
	f.run(10 * time.Second)
	f.boot(m, "")
	started := f.now
	f.run(15 * time.Second)
	f.requireGeneration(t, 2)
	t.Logf("in force %v after its start", m.takenAt.Sub(started))
}

// A zone is cut off while the operators edit the configuration. If it is cut off only from the
// platform, it must get the edit from its peers; if only from its peers, from the platform. If
// it is cut off from both, it must keep its configuration and apply the edit after the
// partition heals.
func TestPartitionedZoneAppliesEditWhenReachable(t *testing.T) {
	t.Parallel()
	inZone := func(m *fakeInstance) bool { return m.zone == "zone-0" }
	across := func(a, b *fakeInstance) bool { return inZone(a) != inZone(b) }
	nowhere := func(_, _ *fakeInstance) bool { return false }
	f, text := configFleet(t, 14, 8, 3)

	f.platformCut = inZone
	f.putConfig(2, "second", text)
	f.run(15 * time.Second)
	f.requireGeneration(t, 2)

	f.platformCut, f.linkCut = func(*fakeInstance) bool { return false }, across
	f.run(10 * time.Second)
	f.putConfig(3, "third", text)
	f.run(15 * time.Second)
	f.requireGeneration(t, 3)

	f.platformCut = inZone
	f.run(10 * time.Second)
	f.putConfig(4, "fourth", text)
	f.run(time.Minute)
	count, _ := f.onGeneration(4)
	require.Equal(t, 5, count)
	f.platformCut, f.linkCut = func(*fakeInstance) bool { return false }, nowhere
	f.run(20 * time.Second)
	f.requireGeneration(t, 4)
}

// Two edits have the same generation: the store went back to an older state, and an operator
// who saw only the store wrote again. Instances would keep different edits. All must converge
// on the same one.
func TestConflictingEditsConverge(t *testing.T) {
	t.Parallel()
	for _, edits := range [][2]string{{"a", "b"}, {"b", "a"}} {
		f, text := configFleet(t, 15, 8, 3)
		f.putConfig(2, edits[0], text)
		f.run(10 * time.Second)
		f.requireGeneration(t, 2)
		f.putConfig(2, edits[1], text)
		f.run(3 * time.Minute)
		f.requireGeneration(t, 2)
		for _, m := range f.instances {
			require.Equal(t, "b", m.edit)
		}
		require.Contains(t, string(f.store.value(core.ConfigKey).value), `"edit":"b"`)
		require.Positive(t, f.counters["config_conflicts/"])
	}
}

// An invalid text, or a value that cannot be decoded, must be rejected as a whole and shown in
// the status. The configuration in force stays, and the next valid one is applied.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	f, text := configFleet(t, 16, 3, 1)
	f.putConfig(2, "bad", strings.Replace(text, `"plain"`, `"plane"`, 1))
	f.run(10 * time.Second)
	f.requireGeneration(t, 1)
	for _, m := range f.instances {
		require.NotEmpty(t, m.node.Status().Findings)
	}
	v := f.store.value(core.ConfigKey)
	v.value, v.version = []byte("{"), v.version+1
	f.store.notifyWaiters(v)
	f.run(10 * time.Second)
	f.requireGeneration(t, 1)
	f.putConfig(3, "good", text)
	f.run(10 * time.Second)
	f.requireGeneration(t, 3)
	require.Empty(t, f.instances[0].node.Status().Findings)
}

// After any sequence of edits, outages, partitions, restores, freezes and restarts, no instance
// may have reverted, and all must have the newest configuration once everything has healed.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		text := fleetText(claimWindow)
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 4, 2, "")
		generation := uint64(0)
		for range rapid.IntRange(3, 15).Draw(t, "steps") {
			m := f.instances[rapid.IntRange(0, 3).Draw(t, "member")]
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				f.store.down = !f.store.down
			case 1:
				f.linkCut = func(a, b *fakeInstance) bool { return a.zone != b.zone }
			case 2:
				f.platformCut = func(m *fakeInstance) bool { return m.zone == "zone-0" }
			case 3:
				m.frozenUntil = f.now.Add(20 * time.Second)
			case 4:
				f.boot(m, "")
			case 5:
				// The restore can only be detected if an instance has the newest generation.
				if count, _ := f.onGeneration(generation); generation > 1 && count > 1 {
					f.putConfig(generation-1, fmt.Sprint(generation-1), text)
				}
			default:
				if !f.store.down {
					generation++
					f.putConfig(generation, fmt.Sprint(generation), text)
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "pause")) * time.Millisecond)
		}
		f.store.down = false
		f.linkCut, f.platformCut = func(_, _ *fakeInstance) bool { return false }, func(*fakeInstance) bool { return false }
		f.run(3 * time.Minute)
		if f.rollbacks > 0 {
			t.Fatal("an instance reverted")
		}
		newest := uint64(0)
		for _, m := range f.instances {
			newest = max(newest, m.generation)
		}
		if count, _ := f.onGeneration(newest); count != len(f.instances) {
			t.Fatalf("%d of 4 instances on generation %d", count, newest)
		}
	})
}
