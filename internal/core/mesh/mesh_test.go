package mesh

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func awake(string) bool { return false }

func fleet(n, zones int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	return out
}

func layouts(members []Member) map[string]*Layout {
	out := make(map[string]*Layout)
	for _, m := range members {
		out[m.Name] = New(m, members)
	}
	return out
}

// TestLayoutCarriesEveryLoadOnce follows the layout for one backend server at many fleet
// sizes: the loads of all instances must reach every instance exactly once, whether from
// its row peers, its aggregators, other rows or other zones.
func TestLayoutCarriesEveryLoadOnce(t *testing.T) {
	for _, n := range []int{1, 2, 8, 10, 11, 12, 17, 23, 31, 58, 59, 64, 100, 350} {
		for _, zones := range []int{1, 3} {
			all := layouts(fleet(n, zones))
			for _, backend := range []string{"engine-1", "engine-2", "portal"} {
				for name, l := range all {
					require.Equal(t, n, heard(t, all, l, backend), "%d instances, at %s", n, name)
				}
			}
		}
	}
}

// heard returns the number of instances whose loads at a backend server reach l.
func heard(t *testing.T, all map[string]*Layout, l *Layout, backend string) int {
	if !l.Apart() {
		return 1 + len(l.mates)
	}
	s := l.Slice(backend)
	aggregator := all[l.Head(s, awake)]
	sum := zoneSum(t, all, aggregator, s)
	for _, other := range aggregator.Counterparts(s, awake).Heard {
		require.Contains(t, all[other].Counterparts(s, awake).Told, aggregator.self)
		sum += zoneSum(t, all, all[other], s)
	}
	return sum
}

// zoneSum returns the number of instances in an aggregator's zone whose loads in a shard
// reach it.
func zoneSum(t *testing.T, all map[string]*Layout, aggregator *Layout, shard int) int {
	sum := 1 + len(aggregator.mates)
	for _, column := range aggregator.Columns(shard, awake) {
		sum += 1 + len(all[column].mates)
		require.Contains(t, all[column].Columns(shard, awake), aggregator.self)
	}
	return sum
}

// Zones of very different sizes have different numbers of rows; a load must still reach
// each instance exactly once.
func TestUnequalZonesHearEachOtherOnce(t *testing.T) {
	var members []Member
	for zone, size := range []int{1, 5, 12, 60} {
		for i := range size {
			members = append(members, Member{Name: fmt.Sprintf("entry-%d-%02d", zone, i), Zone: fmt.Sprint("zone-", zone)})
		}
	}
	all := layouts(members)
	for name, l := range all {
		require.Equal(t, len(members), heard(t, all, l, "engine-1"), "at %s", name)
		for _, p := range l.Peers(awake) {
			require.Contains(t, all[p].Peers(awake), name)
		}
	}
}

// TestLinksAreMutualAndFew checks that both ends of a link have it in their layout and
// that the number of links per instance stays small up to the fleet size expected in two
// years.
func TestLinksAreMutualAndFew(t *testing.T) {
	for _, size := range []struct{ n, zones, most int }{{8, 3, 7}, {58, 1, 14}, {58, 6, 19}, {350, 6, 24}} {
		all := layouts(fleet(size.n, size.zones))
		most := 0
		for name, l := range all {
			peers := l.Peers(awake)
			require.Equal(t, size.n > FullMeshLimit, l.Apart())
			most = max(most, len(peers))
			for _, p := range peers {
				require.Contains(t, all[p].Peers(awake), name)
			}
		}
		t.Logf("%d instances in %d zones: %d links at most", size.n, size.zones, most)
		require.LessOrEqual(t, most, size.most, "%d instances in %d zones", size.n, size.zones)
	}
}

// TestSilentHeadIsReplacedByTheSame freezes the aggregator of a shard: its row peers and
// the shard's aggregators in other rows must choose the same replacement without exchanging
// messages. Otherwise loads would be counted twice or not at all.
func TestSilentHeadIsReplacedByTheSame(t *testing.T) {
	all := layouts(fleet(58, 1))
	self := all["entry-000"]
	for s := range self.Slices() {
		frozen := self.Head(s, awake)
		silent := func(name string) bool { return name == frozen }
		acting := self.Head(s, silent)
		require.NotEqual(t, frozen, acting)
		for _, mate := range self.mates {
			if mate != frozen {
				require.Equal(t, acting, all[mate].Head(s, silent))
			}
		}
		for _, column := range self.Columns(s, awake) {
			require.Contains(t, all[column].Peers(silent), acting)
			require.Contains(t, all[column].Peers(silent), frozen, "its recovery must be detected")
		}
	}
}

// TestReplacementMovesFew replaces one instance at a time and checks that few rows change.
// With 290 replacements a day, a change of all rows would cost a full refresh each time.
func TestReplacementMovesFew(t *testing.T) {
	members := fleet(58, 1)
	before := layouts(members)
	changed := 0
	const rounds = 20
	for i := range rounds {
		replaced := slices.Clone(members)
		replaced[i] = Member{Name: fmt.Sprint("fresh-", i), Zone: "zone-0"}
		for name, l := range layouts(replaced) {
			if old := before[name]; old != nil && !slices.Equal(l.home.rows[l.row], old.home.rows[old.row]) {
				changed++
			}
		}
	}
	t.Logf("instances whose row changed, mean of %d replacements: %.1f of 57", rounds, float64(changed)/rounds)
	require.Less(t, changed/rounds, 35)
}
