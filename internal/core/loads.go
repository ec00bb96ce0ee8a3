package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// countRequestSent counts a request that this instance sent to a backend server.
func (n *Node) countRequestSent(backend string) {
	n.load.Sent(backend, n.now)
	n.refreshLoad(backend)
}

// countRequestEnded counts the end of a request that this instance sent to a backend server.
func (n *Node) countRequestEnded(backend string) {
	n.load.Ended(backend, n.now)
	n.refreshLoad(backend)
}

// applyLoadReport applies a load that a backend server reported in an answer's header, in reply
// to a poll, or through a peer's digest.
func (n *Node) applyLoadReport(r membership.Report) {
	p := n.poolByBackend[r.Backend]
	if p != nil && n.load.ApplyReport(r, n.loadBasis(p), n.now) {
		n.refreshLoad(r.Backend)
	}
}

// loadBasis returns the basis on which the loads of a pool's backend servers are estimated.
func (n *Node) loadBasis(p *pool) load.Basis {
	switch {
	case !n.multiHop():
		return load.FromCounts
	case p.model:
		return load.FromReports
	default:
		return load.FromAverages
	}
}

// applyPeerLoads applies the changed loads in a peer's digest. Late and repeated digests have
// been dropped by their sequence numbers, so all counts are taken as current.
func (n *Node) applyPeerLoads(peer string, counts []load.Count) {
	n.refreshLoads(n.load.ApplyDigest(peer, n.now, false, counts, n.now))
}

// forgetPeerLoads drops the loads of a peer that has left or restarted.
func (n *Node) forgetPeerLoads(peer string) {
	n.refreshLoads(n.load.ForgetPeer(peer, n.now))
}

func (n *Node) tickLoad() { n.refreshLoads(n.load.Tick(n.now)) }

func (n *Node) refreshLoads(backends []string) {
	for _, backend := range backends {
		n.refreshLoad(backend)
	}
}

// refreshLoad updates the candidate and the pool's totals from the current load estimate of a
// backend server. It is called after every change of the tracker, so that no placement has to
// sum up the loads of a pool.
func (n *Node) refreshLoad(backend string) {
	p := n.poolByBackend[backend]
	if p == nil {
		return
	}
	c := &p.candidates[p.index[backend]]
	estimate := n.load.Estimate(backend)
	p.totalLoad += estimate - c.Load
	if c.Unreachable {
		p.unreachableLoad += estimate - c.Load
	}
	c.Load = estimate
}
