package core

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
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
		return routing.Hash(string(r.arrived.Request))
	}
	return routing.Hash(r.arrived.Customer + "\x00" + r.arrived.Chat)
}

func (n *Node) loadSent(service, backend string) {
	n.addLoad(service, backend, 1)
}

func (n *Node) loadEnded(service, backend string) {
	n.addLoad(service, backend, -1)
}

func (n *Node) addLoad(service, backend string, delta float64) {
	p := n.pool(service)
	i, ok := p.index[backend]
	if !ok {
		return
	}
	p.candidates[i].Load += delta
	p.total += delta
}

// rebuildPools makes the candidates anew after a change of the configuration or
// of the membership, keeping the loads of those that stay.
func (n *Node) rebuildPools() {
	if n.snapshot == nil {
		return
	}
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
		p.candidates = append(p.candidates, candidate(b.Name, b.Address, b.Zone))
	}
	if svc.FromPlatform {
		n.view.Each(func(in *membership.Instance) {
			if in.Role == membership.Backend && in.Service == name && in.State == membership.Live {
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
		if j, ok := old.index[c.Name]; ok {
			c.Load = old.candidates[j].Load
		}
		p.total += c.Load
	}
	n.pools[name] = p
}

func candidate(name, address, zone string) routing.Candidate {
	return routing.Candidate{Name: name, Address: address, Zone: zone, Hash: routing.Hash(name)}
}
