package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/overload"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// pool is the state that an instance keeps of one service's backend servers.
type pool struct {
	// service is the service's name.
	service string
	// candidates are the usable backend servers, sorted by name.
	candidates routing.Candidates
	// index maps the names of the candidates to their positions.
	index map[string]int
	// model reports whether the servers are engines, whose requests take about a second.
	// Requests of a plain service take milliseconds, so a server's report of its load from
	// all zones is outdated when the next request arrives. Relying on such reports made an
	// instance refuse requests for seconds because the service had seemed full.
	model bool
	// totalLoad is the sum of the candidates' loads, unreachable ones included.
	totalLoad float64
	// unreachableCount is the number of unreachable candidates, and unreachableLoad the sum
	// of their loads.
	unreachableCount int
	unreachableLoad  float64
	// unreachableTriedAt is the time of the last attempt at an unreachable candidate.
	unreachableTriedAt time.Time
	budget             *retry.Budget
	// retryPart is this instance's part of the fleet's retries.
	retryPart *retry.Part
	// leaving holds the backend servers that get no new requests but still have cached
	// prompts: those that leave, and the evacuated live ones in evacuated zones.
	leaving   []routing.Candidate
	evacuated int
	// marksFull reports whether candidates may be marked as full, because the servers limit their rejections.
	marksFull bool
	// marksEjected reports whether candidates may be marked as ejected.
	marksEjected bool
	// warmsUp reports whether the service's servers are cold for a time after their start, and coldCount is the number of cold
	// candidates.
	warmsUp   bool
	coldCount int
	// used reports whether a request was placed in this pool.
	used bool
	// waits holds how long the requests on routes wait for their first bytes.
	waits overload.Waits
	// shedding is the state of gradual admission.
	shedding sheddingState
	// joinTimes holds the time at which each backend server joined the pool. It is
	// zero for servers that were there before the first request was placed.
	joinTimes map[string]time.Time
}

// pool returns the pool of a service, and creates it if there is none.
func (n *Node) pool(service string) *pool {
	p := n.pools[service]
	if p == nil {
		p = &pool{service: service, index: make(map[string]int)}
		n.pools[service] = p
	}
	return p
}

// reachableLoad returns the load of the backend servers among which
// requests are distributed: the reachable ones that are neither ejected nor cold, or else the reachable ones, or all if none is
// reachable. Cold ones get few requests whatever their load; with them, the mean would be too low for the others to take theirs.
func (p *pool) reachableLoad() routing.Load {
	if p.marksEjected || p.coldCount > 0 {
		if load := p.candidates.Load((*routing.Candidate).Warm); load.Servers > 0 {
			return load
		}
	}
	all := routing.Load{Total: p.totalLoad, Servers: float64(len(p.candidates))}
	if p.unreachableCount < len(p.candidates) {
		all.Total -= p.unreachableLoad
		all.Servers -= float64(p.unreachableCount)
	}
	return all
}

// withEvacuated adds the evacuated servers to some candidates, in the proportion of these to all. The operators' bound refers to
// the mean over all servers of the service, also while some get no requests. What still runs at evacuated servers is left out: it
// ends soon, and the bound would fall with it below the loads that it has permitted.
//
// Without a slack the bound refers to the servers in use: once enough others are evacuated, no load of theirs would satisfy it, however
// many requests were refused.
func (n *Node) withEvacuated(p *pool, svc *config.Service, some routing.Load) routing.Load {
	if p.evacuated == 0 || svc.SkewSlack == 0 {
		return some
	}
	share := some.Servers / float64(max(1, len(p.candidates)))
	return routing.Load{Total: min(some.Total, share*n.countedLoad(p)), Servers: some.Servers + share*float64(p.evacuated)}
}

// countedLoad returns the number of requests that the instances have counted at a pool's candidates, without what only the servers
// report. A server that seems to have more load than it has gets no requests, and so no reports that correct it, so that the sum of
// the estimates is too high. It returns infinity while the counts of some instances may be missing.
func (n *Node) countedLoad(p *pool) float64 {
	if !n.hearsAllPeers() || n.multiHop() && !n.peers.crossZoneLoads {
		return math.Inf(1)
	}
	sum := 0.0
	for i := range p.candidates {
		parts := n.load.Parts(p.candidates[i].Name)
		sum += float64(parts.Own) + parts.Peers
	}
	return sum
}

// reachableLoadInZone returns the load of the candidates in this instance's zone that are reachable and
// neither ejected nor cold. It returns none if more are cold: the limits would follow the load of the few others. Those to which
// load returns after an evacuation are excluded: a bound from their low loads would exclude all other zones.
func (p *pool) reachableLoadInZone() routing.Load {
	load := p.candidates.Load(func(c *routing.Candidate) bool { return !c.OtherZone && c.Warm() && c.AbsentShare == 0 })
	if p.coldCount == 0 {
		return load
	}
	if cold := p.candidates.Load(func(c *routing.Candidate) bool { return !c.OtherZone && c.Cold }); cold.Servers > load.Servers {
		return routing.Load{}
	}
	return load
}

// rebuildPools rebuilds the candidates of every service after a change of the configuration
// or the membership.
func (n *Node) rebuildPools() {
	if n.snapshot == nil {
		return
	}
	clear(n.poolByBackend)
	n.hints.Prune(func(customer string) bool { return n.snapshot.Customer(customer) != nil })
	for _, name := range n.snapshot.Services() {
		n.rebuildPool(name)
	}
	n.reportRegions()
}

func (n *Node) rebuildPool(name string) {
	svc := n.snapshot.Service(name)
	old := n.pool(name)
	p := &pool{
		service: name, index: make(map[string]int), model: svc.Kind == config.Model,
		budget: old.budget, retryPart: old.retryPart, used: old.used, waits: old.waits, joinTimes: make(map[string]time.Time),
		unreachableTriedAt: old.unreachableTriedAt,
	}
	if p.budget == nil {
		p.budget = retry.NewBudget(svc.RetryShare, max(defaultRetryBurst, svc.RetryBurst))
		p.retryPart = &retry.Part{}
	}
	p.shedding = n.newSheddingState(svc, old.shedding)
	n.resizeBudget(p, svc)
	p.candidates, p.leaving = n.candidates(svc)
	p.evacuated = n.countEvacuated(p.leaving)
	for i := range p.candidates {
		c := &p.candidates[i]
		p.index[c.Name] = i
		c.Load = n.load.Estimate(c.Name)
		p.totalLoad += c.Load
		p.joinTimes[c.Name] = old.joinedAt(c, n.now)
		if before := old.find(c.Name); before != nil && before.Incarnation != c.Incarnation {
			n.quarantine.Forget(c.Name)
		}
		if n.reach.Unreachable(c.Name, n.now) {
			p.setUnreachable(c, true)
		}
		n.poolByBackend[c.Name] = p
	}
	for i := range p.leaving {
		c := &p.leaving[i]
		p.joinTimes[c.Name] = old.joinedAt(c, n.now)
	}
	n.observeProcesses(p, old)
	n.pools[name] = p
	n.markCold(p)
}

// hasVersion reports whether any candidate at which a request may run has a version.
func (p *pool) hasVersion(version string, t *target) bool {
	return slices.ContainsFunc(p.candidates, func(c routing.Candidate) bool { return c.Version == version && t.zoneAllowed(c.Zone) })
}

// joinedAt returns the time at which a backend server joined the pool: now, unless it was in
// the pool before with the same process, which has kept its cache. A server that joins before the first request is placed gets the zero time,
// because it takes over no sessions: either they have had no other engine, or this instance
// has just started and knows of none.
func (p *pool) joinedAt(c *routing.Candidate, now time.Time) time.Time {
	at, known := p.joinTimes[c.Name]
	before := p.find(c.Name)
	if !p.used || known && before != nil && before.Incarnation == c.Incarnation {
		return at
	}
	return now
}

// candidates returns the usable backend servers of a service and those that are leaving or in evacuated zones, each
// sorted by name.
func (n *Node) candidates(svc *config.Service) (list, leaving []routing.Candidate) {
	addLive := func(member membership.Member) {
		if n.evacuations.set.Evacuated(member.Zone) {
			leaving = append(leaving, n.candidate(svc, member))
			return
		}
		list = append(list, n.candidate(svc, member))
	}
	for _, b := range svc.BackendServers {
		member := n.view.Get(b.Name)
		switch {
		case member == nil:
			addLive(membership.Member{Name: b.Name, Address: b.Address, Zone: b.Zone})
		case member.State == membership.Live:
			addLive(membership.Member{Name: b.Name, Address: b.Address, Zone: b.Zone, Incarnation: member.Incarnation})
		}
	}
	if svc.FromPlatform {
		n.view.EachOfService(svc.Name, func(member *membership.Member) {
			switch {
			case member.Role != membership.RoleBackend:
			case member.State == membership.Live:
				addLive(*member)
			case member.State == membership.Leaving:
				leaving = append(leaving, n.candidate(svc, *member))
			}
		})
	}
	byName := func(a, b routing.Candidate) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortStableFunc(list, byName)
	slices.SortStableFunc(leaving, byName)
	sameName := func(a, b routing.Candidate) bool { return a.Name == b.Name }
	return slices.CompactFunc(list, sameName), slices.CompactFunc(leaving, sameName)
}

func (n *Node) candidate(svc *config.Service, member membership.Member) routing.Candidate {
	return routing.Candidate{
		Name:          member.Name,
		Address:       member.Address,
		Zone:          member.Zone,
		Version:       member.Version,
		Incarnation:   member.Incarnation,
		Hash:          rendezvous.Hash(member.Name),
		Capacity:      capacityOf(svc, member),
		Slots:         float64(member.Slots),
		OtherZone:     member.Zone != n.settings.Zone,
		WithheldShare: 1 - n.view.LoadShare(member.Name, n.now),
		AbsentShare:   1 - n.evacuations.set.Share(member.Zone, n.now),
	}
}

// capacityOf returns the load that a backend server must not exceed, computed from the slots
// that it reports or else taken from the configuration.
func capacityOf(svc *config.Service, member membership.Member) float64 {
	if member.Slots > 0 {
		return float64(member.Slots) * (1 + routing.QueuePerSlot)
	}
	return float64(svc.Capacity)
}
