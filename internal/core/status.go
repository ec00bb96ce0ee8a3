package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// peerStatusTTL is how long a peer that sends nothing stays in the status.
const peerStatusTTL = 10 * time.Minute

// observations holds what is recorded only for the status. No decision depends on it.
type observations struct {
	platform status.Platform
	peers    map[string]status.Peer
}

// observe records what the status reports. It does not affect decisions.
func (n *Node) observe(event Event) {
	switch e := event.(type) {
	case StoreReplied:
		n.observePlatform(e.Status != StoreFailed && e.Status != StoreUnknown)
	case BackendsRead:
		n.observePlatform(e.Status != StoreFailed && e.Status != StoreUnknown)
	case LeaseReplied:
		n.observePlatform(e.Status != StoreFailed && e.Status != StoreUnknown)
	case InstancesListed:
		n.observePlatform(!e.Failed)
	case StreamsListed:
		n.observePlatform(!e.Failed)
	case PeerReceived:
		n.observePeer(e)
	}
}

func reachabilityState(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "unreachable"
}

func (n *Node) observePlatform(reachable bool) {
	p := &n.observed.platform
	if !p.Known || p.Reachable != reachable {
		p.Known, p.Reachable, p.Since = true, reachable, n.now
		n.emit(StateChanged{Subject: SubjectStore, State: reachabilityState(reachable)})
	}
	p.LastCall = n.now
}

func (n *Node) observePeer(e PeerReceived) {
	d := e.Message.Digest
	if d == nil {
		return
	}
	if n.observed.peers == nil {
		n.observed.peers = make(map[string]status.Peer)
	}
	if _, known := n.observed.peers[e.From]; !known {
		n.expirePeerStatuses()
	}
	n.observed.peers[e.From] = status.Peer{Name: e.From, Generation: d.Generation, Leaving: d.Leaving, LastDigestAt: n.now}
}

// expirePeerStatuses removes peers that no longer send digests. Otherwise the map would
// grow with every replaced instance.
func (n *Node) expirePeerStatuses() {
	for name, p := range n.observed.peers {
		if n.now.Sub(p.LastDigestAt) > peerStatusTTL {
			delete(n.observed.peers, name)
		}
	}
}

// InstanceCount returns the number of instances that this one knows to live, itself included.
func (n *Node) InstanceCount() int { return len(n.liveInstances()) }

// InFlight returns the number of requests in flight.
func (n *Node) InFlight() int { return len(n.requests) }

// Ready reports whether this instance should receive new requests: a configuration is in
// force, at least one backend server is known, the evacuations are known, and no graceful shutdown has begun.
func (n *Node) Ready() bool {
	return n.snapshot != nil && n.hasBackends() && n.evacuationsSettled() && !n.lifecycle.stopping
}

// hasBackends reports whether any backend server is known, also in an evacuated zone. After the configuration is
// applied and before the first list of entries is read, an instance without one would
// refuse every request.
func (n *Node) hasBackends() bool {
	for _, p := range n.pools {
		if len(p.candidates)+p.evacuated > 0 {
			return true
		}
	}
	return false
}

// Status returns the instance's status.
func (n *Node) Status() status.Status {
	s := status.Status{
		At:       n.now,
		Instance: n.settings.Name,
		Zone:     n.settings.Zone,
		Stopping: n.lifecycle.stopping,
		Findings: n.configs.findings,
		Adjusted: n.configs.adjusted,
		Platform: n.observed.platform,
		InFlight: len(n.requests),
	}
	if n.snapshot != nil {
		s.Generation, s.Edit = n.snapshot.Generation, n.snapshot.Edit
		for _, name := range n.snapshot.Services() {
			s.Services = append(s.Services, n.serviceStatus(name))
		}
	}
	s.ConfigReadOnly = n.settings.ConfigReadOnly
	s.EvacuationsKnown, s.Evacuations = n.evacuations.set.Known(), n.Evacuations()
	s.SeparatedZones = n.SeparatedZones()
	s.Instances = n.instanceStatuses()
	for _, p := range n.observed.peers {
		s.Peers = append(s.Peers, p)
	}
	slices.SortFunc(s.Peers, func(a, b status.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (n *Node) serviceStatus(name string) status.Service {
	service := n.snapshot.Service(name)
	s := status.Service{Name: name, Kind: service.Kind, Overload: n.overloadStatus(name)}
	candidates := n.pool(name).candidates
	s.Backends = slices.Grow(s.Backends, len(candidates))
	for i := range candidates {
		s.Mean += candidates[i].Load
		s.Backends = append(s.Backends, n.candidateStatus(&candidates[i]))
	}
	s.Mean /= float64(max(1, len(s.Backends)))
	s.Backends = append(s.Backends, n.evacuatedBackends(name)...)
	s.Backends = append(s.Backends, n.leavingBackends(service)...)
	return s
}

func (n *Node) candidateStatus(c *routing.Candidate) status.Backend {
	s := status.Backend{
		Name: c.Name, Zone: c.Zone, Address: c.Address, Load: c.Load, Own: n.load.Own(c.Name),
		State: membership.Live, Unreachable: c.Unreachable, Cold: n.coldStatus(c),
	}
	s.Slowness, s.Basis = n.slowness(c.Name)
	return s
}

// leavingBackends lists a service's leaving backend servers. They finish their requests in
// flight and get no new ones.
func (n *Node) leavingBackends(service *config.Service) []status.Backend {
	var list []status.Backend
	add := func(member *membership.Member, zone, address string) {
		if member == nil || member.State != membership.Leaving {
			return
		}
		list = append(list, status.Backend{
			Name: member.Name, Zone: zone, Address: address, State: member.State,
			Load: n.load.Estimate(member.Name), Own: n.load.Own(member.Name),
		})
	}
	for _, b := range service.BackendServers {
		add(n.view.Get(b.Name), b.Zone, b.Address)
	}
	if service.FromPlatform {
		n.view.EachOfService(service.Name, func(member *membership.Member) { add(member, member.Zone, member.Address) })
	}
	slices.SortFunc(list, func(a, b status.Backend) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(list, func(a, b status.Backend) bool { return a.Name == b.Name })
}

func (n *Node) instanceStatuses() []status.Instance {
	var list []status.Instance
	n.view.Each(func(member *membership.Member) {
		if member.Role == membership.RoleInstance && member.Name != n.settings.Name {
			list = append(list, status.Instance{Name: member.Name, Zone: member.Zone, Address: member.Address, State: member.State})
		}
	})
	slices.SortFunc(list, func(a, b status.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
