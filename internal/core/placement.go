package core

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// pool is what an instance knows of one service's backend servers.
type pool struct {
	// candidates are the usable backend servers, sorted by name.
	candidates []routing.Candidate
	index      map[string]int
	total      float64
	budget     *retry.Budget
}

// retryBurst is how many retries a service may spend before its successes have
// earned any.
const retryBurst = 10

func (n *Node) pool(service string) *pool {
	p := n.pools[service]
	if p == nil {
		p = &pool{index: make(map[string]int)}
		n.pools[service] = p
	}
	return p
}

// place chooses the backend server of the request's next attempt.
func (n *Node) place(r *request) (routing.Candidate, reason.Reason) {
	p := n.pool(r.service.Name)
	if len(p.candidates) == 0 {
		return routing.Candidate{}, reason.NoBackend
	}
	limit := routing.Limit(r.service.SkewBound, p.total, len(p.candidates))
	i := routing.Pick(chatHash(r), p.candidates, limit)
	if i < 0 {
		return routing.Candidate{}, reason.Saturated
	}
	return p.candidates[i], reason.None
}

// chatHash places a request without a chat by its own id.
func chatHash(r *request) uint64 {
	if r.arrived.Chat == "" {
		return rendezvous.Hash(string(r.arrived.Request))
	}
	return rendezvous.Hash(r.arrived.Customer + "\x00" + r.arrived.Chat)
}

// loadSent counts a request of this instance to a backend server.
func (n *Node) loadSent(backend string) {
	n.load.Sent(backend)
	n.loadChanged(backend)
}

// loadEnded counts the end of a request of this instance.
func (n *Node) loadEnded(backend string) {
	n.load.Ended(backend)
	n.loadChanged(backend)
}

// loadChanged takes the estimate of one backend server anew. Whoever changes the
// tracker calls it, so that no decision has to add up the loads of a pool.
func (n *Node) loadChanged(backend string) {
	p := n.poolOf[backend]
	if p == nil {
		return
	}
	c := &p.candidates[p.index[backend]]
	load := n.load.Estimate(backend, n.now)
	p.total += load - c.Load
	c.Load = load
}

// rebuildPools makes the candidates anew after a change of the configuration or
// of the membership.
func (n *Node) rebuildPools() {
	if n.snapshot == nil {
		return
	}
	clear(n.poolOf)
	for _, name := range n.snapshot.Services() {
		n.rebuildPool(name)
	}
}

func (n *Node) rebuildPool(name string) {
	svc := n.snapshot.Service(name)
	old := n.pool(name)
	p := &pool{index: make(map[string]int), budget: old.budget}
	if p.budget == nil {
		p.budget = retry.NewBudget(svc.RetryShare, retryBurst)
	}
	for _, b := range svc.BackendServers {
		if in := n.view.Get(b.Name); in != nil && in.State != membership.Live {
			continue
		}
		p.candidates = append(p.candidates, candidate(b.Name, b.Address, b.Zone))
	}
	if svc.FromPlatform {
		n.view.EachOf(name, func(in *membership.Instance) {
			if in.Role == membership.Backend && in.State == membership.Live {
				p.candidates = append(p.candidates, candidate(in.Name, in.Address, in.Zone))
			}
		})
	}
	slices.SortFunc(p.candidates, func(a, b routing.Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for i := range p.candidates {
		c := &p.candidates[i]
		p.index[c.Name] = i
		c.Load = n.load.Estimate(c.Name, n.now)
		p.total += c.Load
		n.poolOf[c.Name] = p
	}
	n.pools[name] = p
}

func candidate(name, address, zone string) routing.Candidate {
	return routing.Candidate{Name: name, Address: address, Zone: zone, Hash: rendezvous.Hash(name)}
}
