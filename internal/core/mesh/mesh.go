// Package mesh computes which instances of the fleet exchange digests with each other, and the order in which they follow
// the store.
// The layout depends only on the list of instances, so all instances with the same list
// compute the same layout.
//
// A small fleet is a full mesh. In a larger fleet, each small availability zone is a full
// mesh and each large zone is split into rows. The backend servers are divided into shards,
// the same ones in all zones, and each shard has an aggregator in every row. In a zone with
// several rows an instance sends each row peer only its loads in the shards that the peer
// aggregates, and the aggregators of a shard exchange their row sums. In every zone the
// aggregators of a shard exchange zone sums with aggregators in other zones and send the
// totals to their row peers. The work is thus spread evenly, and no instance handles the
// loads of the whole fleet.
package mesh

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// FullMeshLimit is the largest number of instances, not counting leaving ones, at which
// the fleet is a full mesh.
const FullMeshLimit = 10

// bridgesPerZonePair is the number of links over which two availability zones exchange facts.
// With two, a single frozen instance does not disconnect the zones. The links join the
// aggregators of the first shards in the first rows.
const bridgesPerZonePair = 2

// Member is one instance of the fleet.
type Member struct {
	Name string
	Zone string
	// Leaving members still have requests in progress, so they exchange digests like the
	// others. They do not count towards FullMeshLimit: during a rolling replacement of a
	// small fleet the layout would otherwise change twice for each instance, and each
	// change loses some load information.
	Leaving bool
}

// Layout is the layout of the fleet from the point of view of one instance.
type Layout struct {
	self     string
	rowPeers []string
	// multiHop is set if the fleet is not a full mesh.
	multiHop bool
	// zoneName is the name of this instance's zone, ownZone the zone itself, and row the number of its row there.
	zoneName string
	ownZone  *zone
	row      int
	// otherZones holds the other zones by name.
	otherZones map[string]*zone
	// shardCount is the number of shards: the average row length, rounded down, of the zone with
	// the longest rows.
	shardCount int
}

// zone is an availability zone of a fleet that is not a full mesh.
type zone struct {
	// rows has a single row if the zone is a full mesh.
	rows [][]string
	// aggregators holds the aggregator of each shard in each row, indexed by row and shard.
	aggregators [][]string
}

// wholeFleet is the key for all zones together; no zone has an empty name.
const wholeFleet = ""

// New returns the layout of the fleet for self, which must be among the members.
func New(self Member, members []Member) *Layout {
	l := &Layout{self: self.Name}
	inZone := make(map[string][]string)
	active := make(map[string]int)
	var all []string
	for _, m := range members {
		all = append(all, m.Name)
		inZone[m.Zone] = append(inZone[m.Zone], m.Name)
		if !m.Leaving {
			active[m.Zone]++
			active[wholeFleet]++
		}
	}
	if active[wholeFleet] <= FullMeshLimit {
		l.rowPeers = without(all, self.Name)
		return l
	}
	l.multiHop = true
	l.otherZones = make(map[string]*zone)
	for name, list := range inZone {
		z := &zone{rows: zoneRows(list, active[name])}
		l.shardCount = max(l.shardCount, len(list)/len(z.rows))
		l.otherZones[name] = z
	}
	for _, z := range l.otherZones {
		z.assignAggregators(l.shardCount)
	}
	l.setOwnZone(self.Zone)
	return l
}

// setOwnZone sets this instance's own zone and removes it from the other zones.
func (l *Layout) setOwnZone(name string) {
	l.zoneName, l.ownZone = name, l.otherZones[name]
	delete(l.otherZones, name)
	l.row = slices.IndexFunc(l.ownZone.rows, func(row []string) bool { return slices.Contains(row, l.self) })
	l.rowPeers = without(l.ownZone.rows[l.row], l.self)
}

// assignAggregators assigns each shard an aggregator in each row.
func (z *zone) assignAggregators(count int) {
	for _, row := range z.rows {
		z.aggregators = append(z.aggregators, shardAggregators(row, count))
	}
}

// zoneRows splits a zone's instances into rows, or returns one row if the zone is small
// enough for a full mesh.
func zoneRows(names []string, active int) [][]string {
	if active <= FullMeshLimit {
		return [][]string{names}
	}
	return assignRows(names, rowCount(len(names)))
}

// rowCount returns the power of two nearest to the square root of n. A power of two
// changes rarely as the zone grows.
func rowCount(n int) int {
	return 1 << int(math.Round(math.Log2(float64(n))/2))
}

// assignRows divides the names into rows whose lengths differ by at most one. Names are
// assigned in hash order, each to its highest-ranked row that has room, so adding or
// removing a name moves few others.
func assignRows(names []string, rows int) [][]string {
	out := make([][]string, rows)
	floor, extra := len(names)/rows, len(names)%rows
	for _, name := range sortedByHash(names) {
		best, bestScore := -1, uint64(0)
		for i := range out {
			if len(out[i]) > floor || (len(out[i]) == floor && extra == 0) {
				continue
			}
			score := rendezvous.Score(rendezvous.Hash(name), rowKey(i))
			if best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		if len(out[best]) == floor {
			extra--
		}
		out[best] = append(out[best], name)
	}
	for i := range out {
		slices.Sort(out[i])
	}
	return out
}

// sortedByHash returns the names sorted by hash.
func sortedByHash(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a), rendezvous.Hash(b)), cmp.Compare(a, b))
	})
	return out
}

// rowKey and shardKey hash fixed prefixes. All instances must use the same ones to compute the
// same layout, also while two versions of the program run side by side.
func rowKey(i int) uint64   { return rendezvous.Hash("row " + strconv.Itoa(i)) }
func shardKey(i int) uint64 { return rendezvous.Hash("slice " + strconv.Itoa(i)) }

// shardAggregators assigns each shard to a member of the row. The members' numbers of shards
// differ by at most one.
func shardAggregators(row []string, count int) []string {
	aggregators := make([]string, count)
	var free []string
	for s := range aggregators {
		if len(free) == 0 {
			free = slices.Clone(row)
		}
		aggregators[s] = rendezvous.Top(shardKey(s), free, 1)[0]
		free = without(free, aggregators[s])
	}
	return aggregators
}

func without(names []string, name string) []string {
	out := make([]string, 0, len(names))
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// RowPeers returns the other instances of this instance's row. In a full mesh these are all
// other instances.
func (l *Layout) RowPeers() []string { return l.rowPeers }

// MultiHop reports whether the fleet is too large for a full mesh, so that loads are
// aggregated on their way.
func (l *Layout) MultiHop() bool { return l.multiHop }

// MultipleRows reports whether this instance's zone has more than one row. If not, row peers send
// each other all their loads.
func (l *Layout) MultipleRows() bool { return l.multiHop && len(l.ownZone.rows) > 1 }

// ShardCount returns the number of shards; 0 in a full mesh.
func (l *Layout) ShardCount() int { return l.shardCount }

// ShardOf returns the shard of a backend server.
func (l *Layout) ShardOf(backend string) int {
	return int(rendezvous.Hash(backend) % uint64(l.ShardCount()))
}

// Aggregator returns the instance that aggregates a shard in this instance's row.
func (l *Layout) Aggregator(shard int, silent func(string) bool) string {
	return l.ownZone.aggregator(l.row, shard, silent)
}

// OtherRowAggregators returns the aggregators of a shard in the other rows of this zone.
func (l *Layout) OtherRowAggregators(shard int, silent func(string) bool) []string {
	var out []string
	for i := range l.ownZone.rows {
		if i != l.row {
			out = append(out, l.ownZone.aggregator(i, shard, silent))
		}
	}
	return out
}

// NextTowardsHome returns the next instance on the way from this one to the home of a shard, or this one's name at the
// home: the aggregator of the shard in the first row of one zone, the first in rank that has one that is not silent. All links on the
// way are in the layout.
func (l *Layout) NextTowardsHome(shard int, silent func(string) bool) string {
	if next := l.Aggregator(shard, silent); next != l.self {
		return next
	}
	if next := l.ownZone.aggregator(0, shard, silent); next != l.self {
		return next
	}
	zones := append(slices.Collect(maps.Keys(l.otherZones)), l.zoneName)
	for _, home := range rendezvous.Top(shardKey(shard), zones, len(zones)) {
		if home == l.zoneName {
			return l.self
		}
		if next := l.otherZones[home].aggregator(0, shard, silent); !silent(next) {
			return next
		}
	}
	return l.self
}

// RemoteAggregators holds aggregators of a shard in other zones: Receivers get the sum of
// this zone, and Senders send the sums of their zones.
type RemoteAggregators struct{ Receivers, Senders []string }

// RemoteAggregators returns the aggregators in other zones that exchange zone sums with the
// aggregator of a shard in this row. Each row receives the sum of another zone from one row
// of that zone; if that zone has fewer rows, one of its rows sends to several.
func (l *Layout) RemoteAggregators(shard int, silent func(string) bool) RemoteAggregators {
	var c RemoteAggregators
	rows := len(l.ownZone.rows)
	for _, z := range l.otherZones {
		c.Senders = append(c.Senders, z.aggregator(l.row%len(z.rows), shard, silent))
		for i := l.row; i < len(z.rows); i += rows {
			c.Receivers = append(c.Receivers, z.aggregator(i, shard, silent))
		}
	}
	slices.Sort(c.Receivers)
	slices.Sort(c.Senders)
	return c
}

// Bridges returns the instances in other zones with which this instance exchanges facts.
func (l *Layout) Bridges(silent func(string) bool) []string {
	var out []string
	if !l.multiHop || l.row != 0 {
		return out
	}
	for s := range min(bridgesPerZonePair, l.shardCount) {
		if l.Aggregator(s, silent) != l.self {
			continue
		}
		for _, z := range l.otherZones {
			out = append(out, z.aggregator(0, s, silent))
		}
	}
	return out
}

// aggregator returns the acting aggregator of a shard in a row: the assigned one, or, while that
// is silent, the highest-ranked other member of the row that is not silent. An aggregator
// has a link to every instance that depends on it (its row peers and the other aggregators
// of its shard), so each of them detects its silence without being told.
func (z *zone) aggregator(row, shard int, silent func(string) bool) string {
	assigned := z.aggregators[row][shard]
	if !silent(assigned) {
		return assigned
	}
	members := z.rows[row]
	for _, name := range rendezvous.Top(shardKey(shard), members, len(members)) {
		if name != assigned && !silent(name) {
			return name
		}
	}
	return assigned
}

// Peers returns all instances that this one must hold a link to, sorted. Assigned
// aggregators are included even while they are silent, so that their recovery is detected.
func (l *Layout) Peers(silent func(string) bool) []string {
	out := slices.Clone(l.rowPeers)
	noneSilent := func(string) bool { return false }
	for s := range l.shardCount {
		if l.Aggregator(s, silent) != l.self {
			continue
		}
		for _, isSilent := range []func(string) bool{silent, noneSilent} {
			remote := l.RemoteAggregators(s, isSilent)
			out = slices.Concat(out, l.OtherRowAggregators(s, isSilent), remote.Receivers, remote.Senders)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
