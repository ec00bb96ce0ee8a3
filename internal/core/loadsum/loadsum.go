// Package loadsum computes which loads an instance sends to each of its peers and adds up the
// loads that it receives from them, according to the layout.
//
// In a full mesh each instance sends its own loads to all others. In a larger fleet a load
// takes up to four steps: an instance sends it to the row peer that aggregates the backend
// server's shard; the shard's aggregators in the zone's rows exchange their row sums; the
// aggregators in different zones exchange their zone sums; and each aggregator sends the
// totals to its row peers. The steps use separate lists, so that no load is counted twice.
package loadsum

import "github.com/ebonydyke/ebonydyke/internal/core/mesh"

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

// aggregates reports whether this instance aggregates a shard.
func (e *Exchange) aggregates(shard int) bool { return e.aggregators[shard] == e.self }

// LoadsFor returns the loads to send to a peer of the layout.
func (e *Exchange) LoadsFor(peer string) Loads { return e.NewRound().LoadsFor(peer) }
