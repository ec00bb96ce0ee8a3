package core

// announceSurge announces a surge to every peer at once, where loads take several hops.
func (n *Node) announceSurge() {
	if !n.multiHop() {
		return
	}
	load := 0.0
	for _, p := range n.pools {
		load += p.totalLoad
	}
	if n.peers.surge.Detect(load, n.now) {
		n.sendDigestsNow()
	}
}

// sendDigestsNow makes a digest to every peer due now, except to those outside the layout.
func (n *Node) sendDigestsNow() {
	for name, p := range n.peers.byName {
		if !n.outsideLayout(name) {
			p.digestDue = n.now
		}
	}
}
