package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// loadSent counts a request that this instance sent to a backend server.
func (n *Node) loadSent(backend string) {
	n.load.Sent(backend, n.now)
	n.loadChanged(backend)
}

// loadEnded counts the end of a request that this instance sent to a backend server.
func (n *Node) loadEnded(backend string) {
	n.load.Ended(backend, n.now)
	n.loadChanged(backend)
}

// loadReported applies a load that a backend server reported in an answer's header, in reply
// to a poll, or through a peer's digest.
func (n *Node) loadReported(r membership.Report) {
	p := n.poolOf[r.Backend]
	if p != nil && n.load.Report(r, n.loadBasis(p), n.now) {
		n.loadChanged(r.Backend)
	}
}

// loadBasis returns the basis on which the loads of a pool's backend servers are estimated.
func (n *Node) loadBasis(p *pool) load.Basis {
	switch {
	case !n.apart():
		return load.Counts
	case p.model:
		return load.Reports
	default:
		return load.Averages
	}
}

// peerLoads applies the changed loads in a peer's digest. Late and repeated digests have been
// dropped by their sequence numbers, so all counts are taken as current.
func (n *Node) peerLoads(peer string, counts []load.Count) {
	n.loadsChanged(n.load.Digest(peer, n.now, false, counts, n.now))
}

// forgetPeerLoads drops the loads of a peer that has left or restarted.
func (n *Node) forgetPeerLoads(peer string) {
	n.loadsChanged(n.load.ForgetPeer(peer, n.now))
}

func (n *Node) tickLoad() { n.loadsChanged(n.load.Tick(n.now)) }

func (n *Node) loadsChanged(backends []string) {
	for _, backend := range backends {
		n.loadChanged(backend)
	}
}

// loadChanged updates the candidate and the pool's totals from the current load estimate of a
// backend server. It is called after every change of the tracker, so that no placement has to
// sum up the loads of a pool.
func (n *Node) loadChanged(backend string) {
	p := n.poolOf[backend]
	if p == nil {
		return
	}
	c := &p.candidates[p.index[backend]]
	estimate := n.load.Estimate(backend)
	p.total += estimate - c.Load
	if c.Unreachable {
		p.lost += estimate - c.Load
	}
	c.Load = estimate
}
