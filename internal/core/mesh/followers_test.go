package mesh

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against instances that disagree on the followers, and against followers that fail together with one zone.
func TestFollowersAreSpreadOverZones(t *testing.T) {
	const zones = 3
	members := fleet(60, zones)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	ranks := make(map[int]Member)
	for _, m := range members {
		rank := FollowRank(m.Name, members)
		require.Equal(t, rank, FollowRank(m.Name, reversed), "the order of the list does not matter")
		ranks[rank] = m
	}
	require.Len(t, ranks, len(members), "no two have the same rank")
	for first := 0; first < len(members); first += zones {
		seen := make(map[string]bool)
		for rank := first; rank < first+zones; rank++ {
			seen[ranks[rank].Zone] = true
		}
		require.Len(t, seen, zones, "ranks from %d", first)
	}
	require.Equal(t, -1, FollowRank("unknown", members))
}
