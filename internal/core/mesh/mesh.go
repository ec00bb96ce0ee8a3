// Package mesh computes which instances of the fleet exchange digests with each other.
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
	"math"
	"slices"
	"strconv"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// FullMeshLimit is the largest number of instances, not counting leaving ones, at which
// the fleet is a full mesh.
const FullMeshLimit = 10

// bridgesPerPair is the number of links over which two availability zones exchange facts.
// With two, a single frozen instance does not disconnect the zones. The links join the
// aggregators of the first shards in the first rows.
const bridgesPerPair = 2

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
	self  string
	mates []string
	// apart is set if the fleet is not a full mesh.
	apart bool
	// home is this instance's zone, and row the number of its row there.
	home *zone
	row  int
	// others are the other zones, by name.
	others map[string]*zone
	// slices is the number of shards, which equals the length of the longest row.
	slices int
}

// zone is an availability zone of a fleet that is not a full mesh.
type zone struct {
	// rows has a single row if the zone is a full mesh.
	rows [][]string
	// heads holds the aggregator of each shard in each row, indexed by row and shard.
	heads [][]string
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
		l.mates = without(all, self.Name)
		return l
	}
	l.apart = true
	l.others = make(map[string]*zone)
	for name, list := range inZone {
		z := &zone{rows: zoneRows(list, active[name])}
		l.slices = max(l.slices, len(list)/len(z.rows))
		l.others[name] = z
	}
	for _, z := range l.others {
		z.layHeads(l.slices)
	}
	l.settleIn(self.Zone)
	return l
}

// settleIn sets this instance's own zone and removes it from the other zones.
func (l *Layout) settleIn(name string) {
	l.home = l.others[name]
	delete(l.others, name)
	l.row = slices.IndexFunc(l.home.rows, func(row []string) bool { return slices.Contains(row, l.self) })
	l.mates = without(l.home.rows[l.row], l.self)
}

// layHeads assigns each shard an aggregator in each row.
func (z *zone) layHeads(count int) {
	for _, row := range z.rows {
		z.heads = append(z.heads, sliceHeads(row, count))
	}
}

// zoneRows splits a zone's instances into rows, or returns one row if the zone is small
// enough for a full mesh.
func zoneRows(names []string, active int) [][]string {
	if active <= FullMeshLimit {
		return [][]string{names}
	}
	return spread(names, rowCount(len(names)))
}

// rowCount returns the power of two nearest to the square root of n. A power of two
// changes rarely as the zone grows.
func rowCount(n int) int {
	return 1 << int(math.Round(math.Log2(float64(n))/2))
}

// spread divides the names into rows whose lengths differ by at most one. Names are
// assigned in hash order, each to its highest-ranked row that has room, so adding or
// removing a name moves few others.
func spread(names []string, rows int) [][]string {
	out := make([][]string, rows)
	floor, extra := len(names)/rows, len(names)%rows
	for _, name := range byHash(names) {
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

// byHash returns the names sorted by hash.
func byHash(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a), rendezvous.Hash(b)), cmp.Compare(a, b))
	})
	return out
}

// rowKey and sliceKey hash fixed prefixes. All instances must use the same ones to compute the
// same layout, also while two versions of the program run side by side.
func rowKey(i int) uint64   { return rendezvous.Hash("row " + strconv.Itoa(i)) }
func sliceKey(i int) uint64 { return rendezvous.Hash("slice " + strconv.Itoa(i)) }

// sliceHeads assigns each shard to a member of the row. The members' numbers of shards
// differ by at most one.
func sliceHeads(row []string, count int) []string {
	aggregators := make([]string, count)
	var free []string
	for s := range aggregators {
		if len(free) == 0 {
			free = slices.Clone(row)
		}
		aggregators[s] = rendezvous.Top(sliceKey(s), free, 1)[0]
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

// Mates returns the other instances of this instance's row. In a full mesh these are all
// other instances.
func (l *Layout) Mates() []string { return l.mates }

// Apart reports whether the fleet is too large for a full mesh, so that loads are
// aggregated on their way.
func (l *Layout) Apart() bool { return l.apart }

// Rows reports whether this instance's zone has more than one row. If not, row peers send
// each other all their loads.
func (l *Layout) Rows() bool { return l.apart && len(l.home.rows) > 1 }

// Slices returns the number of shards; 0 in a full mesh.
func (l *Layout) Slices() int { return l.slices }

// Slice returns the shard of a backend server.
func (l *Layout) Slice(backend string) int {
	return int(rendezvous.Hash(backend) % uint64(l.Slices()))
}

// Head returns the instance that aggregates a shard in this instance's row.
func (l *Layout) Head(shard int, silent func(string) bool) string {
	return l.home.head(l.row, shard, silent)
}

// Columns returns the aggregators of a shard in the other rows of this zone.
func (l *Layout) Columns(shard int, silent func(string) bool) []string {
	var out []string
	for i := range l.home.rows {
		if i != l.row {
			out = append(out, l.home.head(i, shard, silent))
		}
	}
	return out
}

// Counterparts holds aggregators of a shard in other zones: Told receive the sum of this
// zone, and Heard send the sums of their zones.
type Counterparts struct{ Told, Heard []string }

// Counterparts returns the aggregators in other zones that exchange zone sums with the
// aggregator of a shard in this row. Each row receives the sum of another zone from one row
// of that zone; if that zone has fewer rows, one of its rows sends to several.
func (l *Layout) Counterparts(shard int, silent func(string) bool) Counterparts {
	var c Counterparts
	rows := len(l.home.rows)
	for _, z := range l.others {
		c.Heard = append(c.Heard, z.head(l.row%len(z.rows), shard, silent))
		for i := l.row; i < len(z.rows); i += rows {
			c.Told = append(c.Told, z.head(i, shard, silent))
		}
	}
	slices.Sort(c.Told)
	slices.Sort(c.Heard)
	return c
}

// Bridges returns the instances in other zones with which this instance exchanges facts.
func (l *Layout) Bridges(silent func(string) bool) []string {
	var out []string
	if !l.apart || l.row != 0 {
		return out
	}
	for s := range min(bridgesPerPair, l.slices) {
		if l.Head(s, silent) != l.self {
			continue
		}
		for _, z := range l.others {
			out = append(out, z.head(0, s, silent))
		}
	}
	return out
}

// head returns the acting aggregator of a shard in a row: the assigned one, or, while that
// is silent, the highest-ranked other member of the row that is not silent. An aggregator
// has a link to every instance that depends on it (its row peers and the other aggregators
// of its shard), so each of them detects its silence without being told.
func (z *zone) head(row, shard int, silent func(string) bool) string {
	assigned := z.heads[row][shard]
	if !silent(assigned) {
		return assigned
	}
	members := z.rows[row]
	for _, name := range rendezvous.Top(sliceKey(shard), members, len(members)) {
		if name != assigned && !silent(name) {
			return name
		}
	}
	return assigned
}

// Peers returns all instances that this one must hold a link to, sorted. Assigned
// aggregators are included even while they are silent, so that their recovery is detected.
func (l *Layout) Peers(silent func(string) bool) []string {
	out := slices.Clone(l.mates)
	noneSilent := func(string) bool { return false }
	for s := range l.slices {
		if l.Head(s, silent) != l.self {
			continue
		}
		for _, isSilent := range []func(string) bool{silent, noneSilent} {
			remote := l.Counterparts(s, isSilent)
			out = slices.Concat(out, l.Columns(s, isSilent), remote.Told, remote.Heard)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
