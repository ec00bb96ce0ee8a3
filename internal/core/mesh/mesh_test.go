package mesh

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func noneSilent(string) bool { return false }

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
					require.Equal(t, n, countReaching(t, all, l, backend), "%d instances, at %s", n, name)
				}
			}
		}
	}
}

// countReaching returns the number of instances whose loads at a backend server reach l.
func countReaching(t *testing.T, all map[string]*Layout, l *Layout, backend string) int {
	if !l.MultiHop() {
		return 1 + len(l.rowPeers)
	}
	s := l.ShardOf(backend)
	aggregator := all[l.Aggregator(s, noneSilent)]
	sum := countZone(t, all, aggregator, s)
	for _, other := range aggregator.RemoteAggregators(s, noneSilent).Senders {
		require.Contains(t, all[other].RemoteAggregators(s, noneSilent).Receivers, aggregator.self)
		sum += countZone(t, all, all[other], s)
	}
	return sum
}

// countZone returns the number of instances in an aggregator's zone whose loads in a shard
// reach it.
func countZone(t *testing.T, all map[string]*Layout, aggregator *Layout, shard int) int {
	sum := 1 + len(aggregator.rowPeers)
	for _, column := range aggregator.OtherRowAggregators(shard, noneSilent) {
		sum += 1 + len(all[column].rowPeers)
		require.Contains(t, all[column].OtherRowAggregators(shard, noneSilent), aggregator.self)
	}
	return sum
}

// Zones of very different sizes have different numbers of rows; a load must still reach
// each instance exactly once.
func TestUnequalZonesReceiveEachLoadOnce(t *testing.T) {
	var members []Member
	for zone, size := range []int{1, 5, 12, 60} {
		for i := range size {
			members = append(members, Member{Name: fmt.Sprintf("entry-%d-%02d", zone, i), Zone: fmt.Sprint("zone-", zone)})
		}
	}
	all := layouts(members)
	for name, l := range all {
		require.Equal(t, len(members), countReaching(t, all, l, "engine-1"), "at %s", name)
		for _, p := range l.Peers(noneSilent) {
			require.Contains(t, all[p].Peers(noneSilent), name)
		}
	}
}

// Guards against ends under a part that two instances send to different homes, or over links that do not exist.
func TestWaysLeadToOneHome(t *testing.T) {
	for _, n := range []int{11, 12, 23, 59, 60, 350} {
		for _, zones := range []int{1, 3, 4} {
			all := layouts(fleet(n, zones))
			for shard := range all["entry-000"].ShardCount() {
				homes := make(map[string]bool)
				for name := range all {
					homes[followToHome(t, all, name, shard)] = true
				}
				require.Len(t, homes, 1, "shard %d, %d instances in %d zones", shard, n, zones)
			}
		}
	}
}

// followToHome follows the way from an instance to the home of a shard.
func followToHome(t *testing.T, all map[string]*Layout, from string, shard int) string {
	t.Helper()
	for range 4 {
		next := all[from].NextTowardsHome(shard, noneSilent)
		if next == from {
			return from
		}
		require.Contains(t, all[from].Peers(noneSilent), next)
		from = next
	}
	t.Fatalf("no home of shard %d after four links, at %s", shard, from)
	return ""
}

// TestLinksAreMutualAndFew checks that both ends of a link have it in their layout and
// that the number of links per instance stays small up to the fleet size expected in two
// years.
func TestLinksAreMutualAndFew(t *testing.T) {
	for _, size := range []struct{ n, zones, most int }{{8, 3, 7}, {58, 1, 14}, {58, 6, 19}, {350, 6, 24}} {
		all := layouts(fleet(size.n, size.zones))
		most := 0
		for name, l := range all {
			peers := l.Peers(noneSilent)
			require.Equal(t, size.n > FullMeshLimit, l.MultiHop())
			most = max(most, len(peers))
			for _, p := range peers {
				require.Contains(t, all[p].Peers(noneSilent), name)
			}
		}
		t.Logf("%d instances in %d zones: %d links at most", size.n, size.zones, most)
		require.LessOrEqual(t, most, size.most, "%d instances in %d zones", size.n, size.zones)
	}
}

// TestSilentAggregatorHasOneReplacement freezes the aggregator of a shard: its row peers and
// the shard's aggregators in other rows must choose the same replacement without exchanging
// messages. Otherwise loads would be counted twice or not at all.
func TestSilentAggregatorHasOneReplacement(t *testing.T) {
	all := layouts(fleet(58, 1))
	self := all["entry-000"]
	for s := range self.ShardCount() {
		frozen := self.Aggregator(s, noneSilent)
		silent := func(name string) bool { return name == frozen }
		acting := self.Aggregator(s, silent)
		require.NotEqual(t, frozen, acting)
		for _, mate := range self.rowPeers {
			if mate != frozen {
				require.Equal(t, acting, all[mate].Aggregator(s, silent))
			}
		}
		for _, column := range self.OtherRowAggregators(s, noneSilent) {
			require.Contains(t, all[column].Peers(silent), acting)
			require.Contains(t, all[column].Peers(silent), frozen, "its recovery must be detected")
		}
	}
}

// TestReplacementChangesFewRows replaces one instance at a time and checks that few rows change.
// With 290 replacements a day, a change of all rows would cost a full refresh each time.
func TestReplacementChangesFewRows(t *testing.T) {
	members := fleet(58, 1)
	before := layouts(members)
	changed := 0
	const rounds = 20
	for i := range rounds {
		replaced := slices.Clone(members)
		replaced[i] = Member{Name: fmt.Sprint("fresh-", i), Zone: "zone-0"}
		for name, l := range layouts(replaced) {
			if old := before[name]; old != nil && !slices.Equal(l.ownZone.rows[l.row], old.ownZone.rows[old.row]) {
				changed++
			}
		}
	}
	t.Logf("instances whose row changed, mean of %d replacements: %.1f of 57", rounds, float64(changed)/rounds)
	require.Less(t, changed/rounds, 35)
}
