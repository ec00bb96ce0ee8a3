// Package sums computes which loads an instance sends to each of its peers and adds up the
// loads that it receives from them, according to the layout.
//
// In a full mesh each instance sends its own loads to all others. In a larger fleet a load
// takes up to four steps: an instance sends it to the row peer that aggregates the backend
// server's shard; the shard's aggregators in the zone's rows exchange their row sums; the
// aggregators in different zones exchange their zone sums; and each aggregator sends the
// totals to its row peers. The steps use separate lists, so that no load is counted twice.
package sums

import (
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
)

// Exchange computes the loads that one instance sends to its peers.
type Exchange struct {
	self   string
	layout *mesh.Layout
	// heads holds the acting aggregator of each shard in this row. For the shards that this
	// instance aggregates, columns and counterparts hold the aggregators in the other rows
	// and in the other zones.
	heads        []string
	columns      [][]string
	counterparts []mesh.Counterparts
	// own calls a function for each backend server with requests of this instance.
	own func(f func(backend string, inFlight int))
	// heard returns the loads received from a peer.
	heard func(peer string) Lists
}

// New returns the exchange of the instance named self. The function own lists the instance's
// own requests, and received returns the loads received from a peer.
func New(self string, own func(f func(backend string, inFlight int)), received func(peer string) Lists) *Exchange {
	return &Exchange{self: self, own: own, heard: received}
}

// Lay sets the layout and the predicate for silent instances. If crossZone is set, the zones
// exchange their loads, which is necessary if requests go to backend servers of all zones.
func (e *Exchange) Lay(layout *mesh.Layout, silent func(string) bool, crossZone bool) {
	count := layout.Slices()
	e.layout = layout
	e.heads = make([]string, count)
	e.columns = make([][]string, count)
	e.counterparts = make([]mesh.Counterparts, count)
	for s := range count {
		e.heads[s] = layout.Head(s, silent)
		if !e.headsSlice(s) {
			continue
		}
		e.columns[s] = layout.Columns(s, silent)
		if crossZone {
			e.counterparts[s] = layout.Counterparts(s, silent)
		}
	}
}

// Head returns the acting aggregator of a backend server's shard in this row.
func (e *Exchange) Head(backend string) string { return e.heads[e.layout.Slice(backend)] }

// For returns the loads to send to a peer of the layout.
func (e *Exchange) For(peer string) Lists {
	out := NewLists()
	switch {
	case !e.layout.Apart():
		out.Own = e.ownIn(everySlice)
	case !slices.Contains(e.layout.Mates(), peer):
		out.Rows = e.rowSumsFor(peer)
		maps.Copy(out.Rows, e.zoneSumsFor(peer))
	case e.layout.Rows():
		out.Own = e.ownIn(func(shard int) bool { return e.heads[shard] == peer })
		out.Totals = e.totalsFor(peer)
	default:
		out.Own = e.ownIn(everySlice)
		out.Totals = e.totalsFor(peer)
	}
	return out
}

// headsSlice reports whether this instance aggregates a shard.
func (e *Exchange) headsSlice(shard int) bool { return e.heads[shard] == e.self }

func everySlice(int) bool { return true }

// ownIn returns this instance's own requests at the backend servers of some shards.
func (e *Exchange) ownIn(inShard func(int) bool) map[string]int {
	out := make(map[string]int)
	e.own(func(backend string, inFlight int) {
		if !e.layout.Apart() || inShard(e.layout.Slice(backend)) {
			out[backend] = inFlight
		}
	})
	return out
}

// rowSumsFor returns the row sums of the shards that a peer aggregates in another row.
func (e *Exchange) rowSumsFor(peer string) map[string]int {
	return e.rowSums(func(shard int) bool { return slices.Contains(e.columns[shard], peer) })
}

// rowSums returns the sums of the row's loads in some shards.
func (e *Exchange) rowSums(inShard func(int) bool) map[string]int {
	out := e.ownIn(inShard)
	for _, peer := range e.layout.Mates() {
		e.add(out, e.heard(peer).Own, inShard)
	}
	return out
}

// zoneSumsFor returns the zone sums of the shards for which a peer in another zone depends on
// this instance.
func (e *Exchange) zoneSumsFor(peer string) map[string]int {
	inShard := func(shard int) bool { return slices.Contains(e.counterparts[shard].Told, peer) }
	out := e.rowSums(inShard)
	for shard, columns := range e.columns {
		if inShard(shard) {
			e.addSums(out, shard, columns)
		}
	}
	return out
}

// totalsFor returns the sums of the loads in this instance's shards that a row peer does not
// get elsewhere. They exclude the peer's own loads and, in a zone with a single row, the loads
// of the zone.
func (e *Exchange) totalsFor(peer string) map[string]int {
	out := make(map[string]int)
	if e.layout.Rows() {
		out = e.ownIn(e.headsSlice)
		for _, other := range e.layout.Mates() {
			if other != peer {
				e.add(out, e.heard(other).Own, e.headsSlice)
			}
		}
	}
	for shard := range e.heads {
		e.addSums(out, shard, e.columns[shard])
		e.addSums(out, shard, e.counterparts[shard].Heard)
	}
	return out
}

// addSums adds the row and zone sums received from other aggregators of a shard.
func (e *Exchange) addSums(sum map[string]int, shard int, aggregators []string) {
	for _, aggregator := range aggregators {
		e.add(sum, e.heard(aggregator).Rows, func(s int) bool { return s == shard })
	}
}

// add adds the loads in some shards to sum.
func (e *Exchange) add(sum, loads map[string]int, inShard func(int) bool) {
	for backend, v := range loads {
		if inShard(e.layout.Slice(backend)) {
			sum[backend] += v
		}
	}
}
