// Package loadsum computes which loads an instance sends to each of its peers and adds up the
// loads that it receives from them, according to the layout.
//
// In a full mesh each instance sends its own loads to all others. In a larger fleet a load
// takes up to four steps: an instance sends it to the row peer that aggregates the backend
// server's shard; the shard's aggregators in the zone's rows exchange their row sums; the
// aggregators in different zones exchange their zone sums; and each aggregator sends the
// totals to its row peers. The steps use separate lists, so that no load is counted twice.
package loadsum

import (
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
)

// Exchange computes the loads that one instance sends to its peers.
type Exchange struct {
	self   string
	layout *mesh.Layout
	// aggregators holds the acting aggregator of each shard in this row. For the shards that
	// this instance aggregates, otherRows and otherZones hold the aggregators in the other rows
	// and zones.
	aggregators []string
	otherRows   [][]string
	otherZones  []mesh.RemoteAggregators
	// own calls a function for each backend server with requests of this instance.
	own func(f func(backend string, inFlight int))
	// received returns the loads received from a peer.
	received func(peer string) Loads
}

// New returns the exchange of the instance named self. The function own lists the instance's
// own requests, and received returns the loads received from a peer.
func New(self string, own func(f func(backend string, inFlight int)), received func(peer string) Loads) *Exchange {
	return &Exchange{self: self, own: own, received: received}
}

// SetLayout sets the layout and the predicate for silent instances. If crossZone is set, the zones
// exchange their loads, which is necessary if requests go to backend servers of all zones.
func (e *Exchange) SetLayout(layout *mesh.Layout, silent func(string) bool, crossZone bool) {
	count := layout.ShardCount()
	e.layout = layout
	e.aggregators = make([]string, count)
	e.otherRows = make([][]string, count)
	e.otherZones = make([]mesh.RemoteAggregators, count)
	for s := range count {
		e.aggregators[s] = layout.Aggregator(s, silent)
		if !e.aggregates(s) {
			continue
		}
		e.otherRows[s] = layout.OtherRowAggregators(s, silent)
		if crossZone {
			e.otherZones[s] = layout.RemoteAggregators(s, silent)
		}
	}
}

// Aggregator returns the acting aggregator of a backend server's shard in this row.
func (e *Exchange) Aggregator(backend string) string { return e.aggregators[e.layout.ShardOf(backend)] }

// LoadsFor returns the loads to send to a peer of the layout.
func (e *Exchange) LoadsFor(peer string) Loads {
	out := NewLoads()
	switch {
	case !e.layout.MultiHop():
		out.Own = e.ownLoads(everyShard)
	case !slices.Contains(e.layout.RowPeers(), peer):
		out.RowSums = e.rowSumsFor(peer)
		maps.Copy(out.RowSums, e.zoneSumsFor(peer))
	case e.layout.MultipleRows():
		out.Own = e.ownLoads(func(shard int) bool { return e.aggregators[shard] == peer })
		out.Totals = e.totalsFor(peer)
	default:
		out.Own = e.ownLoads(everyShard)
		out.Totals = e.totalsFor(peer)
	}
	return out
}

// aggregates reports whether this instance aggregates a shard.
func (e *Exchange) aggregates(shard int) bool { return e.aggregators[shard] == e.self }

func everyShard(int) bool { return true }

// ownLoads returns this instance's own requests at the backend servers of some shards.
func (e *Exchange) ownLoads(inShard func(int) bool) map[string]int {
	out := make(map[string]int)
	e.own(func(backend string, inFlight int) {
		if !e.layout.MultiHop() || inShard(e.layout.ShardOf(backend)) {
			out[backend] = inFlight
		}
	})
	return out
}

// rowSumsFor returns the row sums of the shards that a peer aggregates in another row.
func (e *Exchange) rowSumsFor(peer string) map[string]int {
	return e.rowSums(func(shard int) bool { return slices.Contains(e.otherRows[shard], peer) })
}

// rowSums returns the sums of the row's loads in some shards.
func (e *Exchange) rowSums(inShard func(int) bool) map[string]int {
	out := e.ownLoads(inShard)
	for _, peer := range e.layout.RowPeers() {
		e.add(out, e.received(peer).Own, inShard)
	}
	return out
}

// zoneSumsFor returns the zone sums of the shards for which a peer in another zone depends on
// this instance.
func (e *Exchange) zoneSumsFor(peer string) map[string]int {
	inShard := func(shard int) bool { return slices.Contains(e.otherZones[shard].Receivers, peer) }
	out := e.rowSums(inShard)
	for shard, aggregators := range e.otherRows {
		if inShard(shard) {
			e.addSums(out, shard, aggregators)
		}
	}
	return out
}

// totalsFor returns the sums of the loads in this instance's shards that a row peer does not
// get elsewhere. They exclude the peer's own loads and, in a zone with a single row, the loads
// of the zone.
func (e *Exchange) totalsFor(peer string) map[string]int {
	out := make(map[string]int)
	if e.layout.MultipleRows() {
		out = e.ownLoads(e.aggregates)
		for _, other := range e.layout.RowPeers() {
			if other != peer {
				e.add(out, e.received(other).Own, e.aggregates)
			}
		}
	}
	for shard := range e.aggregators {
		e.addSums(out, shard, e.otherRows[shard])
		e.addSums(out, shard, e.otherZones[shard].Senders)
	}
	return out
}

// addSums adds the row and zone sums received from other aggregators of a shard.
func (e *Exchange) addSums(sum map[string]int, shard int, aggregators []string) {
	for _, aggregator := range aggregators {
		e.add(sum, e.received(aggregator).RowSums, func(s int) bool { return s == shard })
	}
}

// add adds the loads in some shards to sum.
func (e *Exchange) add(sum, loads map[string]int, inShard func(int) bool) {
	for backend, v := range loads {
		if inShard(e.layout.ShardOf(backend)) {
			sum[backend] += v
		}
	}
}
