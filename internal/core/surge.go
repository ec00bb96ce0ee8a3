package core

import "time"

// Instances announce a load surge at once. Where loads are aggregated over several hops, they
// take several rounds to propagate, which means seconds when the byte budget is tight. If
// traffic starts or doubles, every instance would in the meantime send the sessions of the
// whole fleet to servers that still look idle.
const (
	// A load is a surge if it exceeds the baseline times surgeRise by more than surgeLeast
	// requests. Ordinary traffic fluctuates by less: by the square root of some hundred
	// requests, or by a few requests when there is almost no traffic.
	surgeRise  = 1.1
	surgeLeast = 4
	// surgeRound is the minimum interval between two announcements. The byte budget limits
	// them as well: loads that exceed it are left out of the digests.
	surgeRound = 250 * time.Millisecond
	// surgeCalm is the time after which the current load becomes the new baseline.
	surgeCalm = time.Second
)

// surge detects a rise of the load that an instance knows.
type surge struct {
	// load is the baseline with which new loads are compared.
	load float64
	// next is the earliest time of the next announcement, and calm the time of the next new
	// baseline.
	next, calm time.Time
}

// rises reports whether the load must be announced to the peers now, and updates the
// baseline.
func (s *surge) rises(load float64, now time.Time) bool {
	rising := load > surgeRise*s.load+surgeLeast && !now.Before(s.next)
	if !rising && now.Before(s.calm) {
		return false
	}
	s.load = load
	s.next = now.Add(surgeRound)
	s.calm = now.Add(surgeCalm)
	return rising
}

// hurrySurge announces a surge to every peer at once, where loads take several hops.
func (n *Node) hurrySurge() {
	if !n.apart() {
		return
	}
	load := 0.0
	for _, p := range n.pools {
		load += p.total
	}
	if n.peers.surge.rises(load, n.now) {
		n.hurryPeers()
	}
}

// hurryPeers makes a digest to every peer due now, except to those outside the layout.
func (n *Node) hurryPeers() {
	for name, p := range n.peers.byName {
		if !n.outsider(name) {
			p.due = n.now
		}
	}
}
