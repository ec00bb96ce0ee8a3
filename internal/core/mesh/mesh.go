// Package mesh lays out which of the fleet's own instances talk to each other,
// from nothing but the list of them, so that all who know the same list find the
// same layout.
//
// A small fleet is a full mesh. In a larger one each availability zone stands by
// itself: a full mesh while it is small, and rows above that. Within its row an
// instance tells each mate what only that mate must know; the backend servers
// are divided into slices, each added up by one mate of every row (its head),
// and the heads of a slice in all rows exchange their sums. So every instance
// carries about the same share of the work and no one sees all of it.
package mesh

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// FullMeshLimit is the number of instances, leaving ones aside, up to which all of
// the fleet talk to each other.
const FullMeshLimit = 10

// bridgesPerPair is how many links two availability zones hold, so that one
// frozen instance does not part them.
const bridgesPerPair = 2

// Member is one instance of the fleet.
type Member struct {
	Name string
	Zone string
	// Leaving members still have requests in progress, so they are told and heard
	// like the others, but they do not count towards the limit of the full mesh: a
	// small fleet that is being replaced would change its layout twice for each
	// instance, and each change costs some knowledge of loads.
	Leaving bool
}

// Layout is the part of the fleet that one instance sees.
type Layout struct {
	self    string
	mates   []string
	bridges []string
	rows    [][]string
	row     int
	// apart is set when loads are not told across zones.
	apart bool
	// otherZones is set when there are instances in other zones.
	otherZones bool
	// heads names the head of each slice in each row.
	heads [][]string
}

// wholeFleet stands for all zones together; no zone has an empty name.
const wholeFleet = ""

// New lays out the fleet for self, which must be among the members.
func New(self Member, members []Member) *Layout {
	l := &Layout{self: self.Name}
	zones := make(map[string][]string)
	staying := make(map[string]int)
	var all []string
	for _, m := range members {
		all = append(all, m.Name)
		zones[m.Zone] = append(zones[m.Zone], m.Name)
		if !m.Leaving {
			staying[m.Zone]++
			staying[wholeFleet]++
		}
	}
	if staying[wholeFleet] <= FullMeshLimit {
		l.mates = without(all, self.Name)
		return l
	}
	l.apart = true
	l.otherZones = len(zones) > 1
	l.bridges = bridges(self, zones)
	zone := zones[self.Zone]
	if staying[self.Zone] <= FullMeshLimit {
		l.mates = without(zone, self.Name)
		return l
	}
	l.layRows(zone)
	return l
}

// layRows divides the zone's instances into rows and the slices among their heads.
func (l *Layout) layRows(zone []string) {
	l.rows = spread(zone, rowCount(len(zone)))
	// No row is shorter than this, so that in no row one member heads two slices.
	sliceCount := len(zone) / len(l.rows)
	for i, row := range l.rows {
		l.heads = append(l.heads, sliceHeads(row, sliceCount))
		if slices.Contains(row, l.self) {
			l.row = i
		}
	}
	l.mates = without(l.rows[l.row], l.self)
}

// rowCount is the power of two nearest to the square root, so that it changes
// seldom as the zone grows.
func rowCount(n int) int {
	return 1 << int(math.Round(math.Log2(float64(n))/2))
}

// spread divides the names into rows whose lengths differ by one at most. Each
// name, in the order of its hash, goes to its highest ranked row with room, so a
// name that comes or goes moves few others.
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

func byHash(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a), rendezvous.Hash(b)), cmp.Compare(a, b))
	})
	return out
}

func rowKey(i int) uint64   { return rendezvous.Hash("row " + strconv.Itoa(i)) }
func sliceKey(i int) uint64 { return rendezvous.Hash("slice " + strconv.Itoa(i)) }

// sliceHeads gives each slice its own member of the row.
func sliceHeads(row []string, count int) []string {
	heads := make([]string, count)
	free := slices.Clone(row)
	for s := range heads {
		heads[s] = rendezvous.Top(sliceKey(s), free, 1)[0]
		free = without(free, heads[s])
	}
	return heads
}

// bridges gives the instances of other zones that self holds a link to.
func bridges(self Member, zones map[string][]string) []string {
	var out []string
	for zone, names := range zones {
		if zone == self.Zone {
			continue
		}
		key := rendezvous.Hash("bridge " + min(zone, self.Zone) + " " + max(zone, self.Zone))
		here := rendezvous.Top(key, zones[self.Zone], bridgesPerPair)
		there := rendezvous.Top(key, names, bridgesPerPair)
		for i, name := range here {
			if name == self.Name {
				out = append(out, there[i%len(there)])
			}
		}
		for i, name := range there {
			// The zone with more bridge heads than the other doubles up on the other's.
			if i >= len(here) && here[i%len(here)] == self.Name {
				out = append(out, name)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
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

// Mates are the instances of the same mesh or row.
func (l *Layout) Mates() []string { return l.mates }

// Bridges are instances of other availability zones, which hear no loads.
func (l *Layout) Bridges() []string { return l.bridges }

// ZonesApart tells whether instances hear the loads of their own zone's alone.
func (l *Layout) ZonesApart() bool { return l.apart }

// HearsAll tells whether the loads of every instance of the fleet come to this one.
func (l *Layout) HearsAll() bool { return !l.apart || !l.otherZones }

// Rows tells whether the zone is divided into rows.
func (l *Layout) Rows() bool { return len(l.rows) > 0 }

// Slices is the number of slices; 0 in a full mesh.
func (l *Layout) Slices() int {
	if !l.Rows() {
		return 0
	}
	return len(l.heads[0])
}

// Slice is the slice of a backend server.
func (l *Layout) Slice(backend string) int {
	return int(rendezvous.Hash(backend) % uint64(l.Slices()))
}

// Head is the instance that adds up a slice in this instance's row.
func (l *Layout) Head(slice int, silent func(string) bool) string {
	return l.head(l.row, slice, silent)
}

// Columns are the heads of a slice in the other rows.
func (l *Layout) Columns(slice int, silent func(string) bool) []string {
	var out []string
	for i := range l.rows {
		if i != l.row {
			out = append(out, l.head(i, slice, silent))
		}
	}
	return out
}

// head falls back on the others of the row, in the rank of the slice, while the
// ones before are silent. A head is linked to all who depend on it, its mates and
// the heads of its slice, so all of them notice its silence by themselves.
func (l *Layout) head(row, slice int, silent func(string) bool) string {
	nominal := l.heads[row][slice]
	if !silent(nominal) {
		return nominal
	}
	members := l.rows[row]
	for _, name := range rendezvous.Top(sliceKey(slice), members, len(members)) {
		if name != nominal && !silent(name) {
			return name
		}
	}
	return nominal
}

// Peers are all instances to hold a link to, sorted. The nominal heads are among
// them even while they are silent, so that their waking is noticed.
func (l *Layout) Peers(silent func(string) bool) []string {
	out := slices.Concat(l.mates, l.bridges)
	nobody := func(string) bool { return false }
	for s := range l.Slices() {
		if l.Head(s, silent) == l.self {
			out = append(out, l.Columns(s, silent)...)
			out = append(out, l.Columns(s, nobody)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
