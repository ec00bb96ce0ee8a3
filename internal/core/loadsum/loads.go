package loadsum

import (
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/load"
)

// maxListEntries bounds the number of backend servers stored for each list received from a peer.
const maxListEntries = 8192

// Loads holds the loads that one instance sends to another, keyed by backend server.
type Loads struct {
	// Own holds the sender's own requests.
	Own map[string]int
	// RowSums holds the sums of the sender's row or, for a peer in another zone, of its zone.
	RowSums map[string]int
	// Totals holds the sender's totals without the loads that the peer gets from elsewhere.
	Totals map[string]int
}

// NewLoads returns empty lists.
func NewLoads() Loads {
	return Loads{Own: make(map[string]int), RowSums: make(map[string]int), Totals: make(map[string]int)}
}

// Sum returns the load at a backend server according to all three lists.
func (l Loads) Sum(backend string) int {
	return l.Own[backend] + l.RowSums[backend] + l.Totals[backend]
}

// Changes holds the entries of the lists that differ from those last sent to a peer.
type Changes struct {
	Own, RowSums, Totals []load.Count
	// Shed is the number of entries left out to save bytes.
	Shed int
}

// Diff compares the lists with those last sent to a peer, updates sent, and returns the
// differences. If full is set, it returns all entries. If skipSmall is set, it leaves out
// small changes.
func (l Loads) Diff(sent Loads, full, skipSmall bool) Changes {
	var c Changes
	c.Own = c.diffList(l.Own, sent.Own, full, skipSmall)
	c.RowSums = c.diffList(l.RowSums, sent.RowSums, full, skipSmall)
	c.Totals = c.diffList(l.Totals, sent.Totals, full, skipSmall)
	return c
}

func (c *Changes) diffList(now, sent map[string]int, full, skipSmall bool) []load.Count {
	if full {
		clear(sent)
	}
	var out []load.Count
	for _, backend := range union(now, sent) {
		v, old := now[backend], sent[backend]
		if v == old {
			continue
		}
		if skipSmall && !full && isSmallChange(v, old) {
			c.Shed++
			continue
		}
		out = append(out, load.Count{Backend: backend, InFlight: v})
		if v == 0 {
			delete(sent, backend)
		} else {
			sent[backend] = v
		}
	}
	return out
}

// isSmallChange reports whether a change is at most a tenth of the load. A change to zero never
// counts as small.
func isSmallChange(v, old int) bool {
	return v != 0 && max(v-old, old-v)*10 <= max(v, old)
}

// union returns the keys of both maps, sorted.
func union(a, b map[string]int) []string {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RetainSent keeps the sums that were last sent to a peer but that this instance no longer
// computes. It is used after a change of the layout, until the new sender of these sums has
// collected its own.
func (l Loads) RetainSent(sent Loads) {
	addMissing(l.RowSums, sent.RowSums)
	addMissing(l.Totals, sent.Totals)
}

// addMissing copies the entries of sent that now lacks.
func addMissing(now, sent map[string]int) {
	for backend, v := range sent {
		if _, ok := now[backend]; !ok {
			now[backend] = v
		}
	}
}

// Apply merges changes received from a peer and returns the new sums at the backend servers
// concerned, sorted by name. If full is set, the changes replace all earlier entries.
func (l Loads) Apply(c Changes, full bool) []load.Count {
	var touched []string
	touched = merge(touched, l.Own, c.Own, full)
	touched = merge(touched, l.RowSums, c.RowSums, full)
	touched = merge(touched, l.Totals, c.Totals, full)
	slices.Sort(touched)
	touched = slices.Compact(touched)
	counts := make([]load.Count, len(touched))
	for i, backend := range touched {
		counts[i] = load.Count{Backend: backend, InFlight: l.Sum(backend)}
	}
	return counts
}

// merge applies changes to a list and appends the backend servers concerned to touched.
func merge(touched []string, list map[string]int, changes []load.Count, full bool) []string {
	if full {
		touched = slices.AppendSeq(touched, maps.Keys(list))
		clear(list)
	}
	for _, c := range changes {
		touched = append(touched, c.Backend)
		switch {
		case c.InFlight <= 0:
			delete(list, c.Backend)
		case len(list) < maxListEntries:
			list[c.Backend] = c.InFlight
		}
	}
	return touched
}
