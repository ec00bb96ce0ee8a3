package mesh

import (
	"cmp"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// FollowRank returns the position of an instance in the order in which the members follow the store. The
// first instances of all zones come before the second ones, so that the followers are spread over as many
// zones as possible.
func FollowRank(name string, members []Member) int {
	type candidate struct {
		name    string
		rank    int
		zoneKey uint64
	}
	zones := make(map[string][]string)
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m.Name)
	}
	var ranking []candidate
	for zone, names := range zones {
		key := rendezvous.Hash("follow/" + zone)
		for rank, name := range rendezvous.Top(key, names, len(names)) {
			ranking = append(ranking, candidate{name, rank, key})
		}
	}
	slices.SortFunc(ranking, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.zoneKey, b.zoneKey), cmp.Compare(a.name, b.name))
	})
	return slices.IndexFunc(ranking, func(c candidate) bool { return c.name == name })
}
