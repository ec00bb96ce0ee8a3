package loadsum

import (
	"maps"
	"slices"
)

// Round computes the loads for several peers at one time. What the lists for them have in common is added up once: an instance sends
// digests to dozens of peers.
type Round struct {
	*Exchange
	// own holds this instance's own requests by shard; in a full mesh there is one shard.
	own map[int]map[string]int
	// rowSums holds the sums of this row in the shards that this instance aggregates, otherRows those that it has received from the
	// other rows of its zone, and otherZones those from other zones.
	rowSums, otherRows, otherZones map[int]map[string]int
}

// NewRound returns a round with the current loads. It is valid until they change.
func (e *Exchange) NewRound() *Round {
	r := &Round{Exchange: e, own: make(map[int]map[string]int)}
	e.own(func(backend string, inFlight int) { addLoad(r.own, e.shardOf(backend), backend, inFlight) })
	return r
}

// shardOf returns the shard of a backend server, 0 in a full mesh.
func (e *Exchange) shardOf(backend string) int {
	if !e.layout.MultiHop() {
		return 0
	}
	return e.layout.ShardOf(backend)
}

func addLoad(sums map[int]map[string]int, shard int, backend string, inFlight int) {
	if sums[shard] == nil {
		sums[shard] = make(map[string]int)
	}
	sums[shard][backend] += inFlight
}

// LoadsFor returns the loads to send to a peer of the layout.
func (r *Round) LoadsFor(peer string) Loads {
	out := NewLoads()
	switch {
	case !r.layout.MultiHop():
		r.addOwn(out.Own, everyShard)
		return out
	case !slices.Contains(r.layout.RowPeers(), peer):
		r.sumUp()
		r.addSumsFor(out.RowSums, peer)
		return out
	case r.layout.MultipleRows():
		r.addOwn(out.Own, func(shard int) bool { return r.aggregators[shard] == peer })
	default:
		r.addOwn(out.Own, everyShard)
	}
	r.sumUp()
	r.addTotalsFor(out.Totals, peer)
	return out
}

func everyShard(int) bool { return true }

// addOwn adds this instance's own requests in some shards.
func (r *Round) addOwn(sum map[string]int, inShard func(int) bool) {
	for shard, loads := range r.own {
		if inShard(shard) {
			add(sum, loads)
		}
	}
}

// addSumsFor adds the row sums of the shards that a peer aggregates in another row, and the zone sums of those for which a peer in
// another zone depends on this instance.
func (r *Round) addSumsFor(sum map[string]int, peer string) {
	for shard := range r.aggregators {
		toZone := slices.Contains(r.Exchange.otherZones[shard].Receivers, peer)
		if toZone || slices.Contains(r.Exchange.otherRows[shard], peer) {
			add(sum, r.rowSums[shard])
		}
		if toZone {
			add(sum, r.otherRows[shard])
		}
	}
}

// addTotalsFor adds the sums of the loads in this instance's shards that a row peer does not get elsewhere. They exclude the peer's own
// loads and, in a zone with a single row, the loads of the zone.
func (r *Round) addTotalsFor(sum map[string]int, peer string) {
	for shard := range r.aggregators {
		if r.layout.MultipleRows() {
			add(sum, r.rowSums[shard])
		}
		add(sum, r.otherRows[shard])
		add(sum, r.otherZones[shard])
	}
	if !r.layout.MultipleRows() {
		return
	}
	for backend, v := range r.received(peer).Own {
		if !r.aggregates(r.shardOf(backend)) {
			continue
		}
		sum[backend] -= v
		if sum[backend] == 0 {
			delete(sum, backend)
		}
	}
}

// sumUp computes the sums, unless that was done.
func (r *Round) sumUp() {
	if r.rowSums != nil {
		return
	}
	r.rowSums, r.otherRows, r.otherZones = make(map[int]map[string]int), make(map[int]map[string]int), make(map[int]map[string]int)
	r.addOwnShards()
	for _, peer := range r.layout.RowPeers() {
		r.addReceived(r.rowSums, r.received(peer).Own, r.aggregates)
	}
	for shard := range r.aggregators {
		inShard := func(s int) bool { return s == shard }
		for _, aggregator := range r.Exchange.otherRows[shard] {
			r.addReceived(r.otherRows, r.received(aggregator).RowSums, inShard)
		}
		for _, aggregator := range r.Exchange.otherZones[shard].Senders {
			r.addReceived(r.otherZones, r.received(aggregator).RowSums, inShard)
		}
	}
}

// addOwnShards adds this instance's own requests to the row sums of its shards.
func (r *Round) addOwnShards() {
	for shard, loads := range r.own {
		if r.aggregates(shard) {
			r.rowSums[shard] = maps.Clone(loads)
		}
	}
}

// addReceived adds the loads in some shards that a peer has sent.
func (r *Round) addReceived(sums map[int]map[string]int, loads map[string]int, inShard func(int) bool) {
	for backend, v := range loads {
		if shard := r.shardOf(backend); inShard(shard) {
			addLoad(sums, shard, backend, v)
		}
	}
}

func add(sum, loads map[string]int) {
	for backend, v := range loads {
		sum[backend] += v
	}
}
