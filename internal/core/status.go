package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// peerStatusTTL is how long a peer that sends nothing stays in the status.
const peerStatusTTL = 10 * time.Minute

// observations holds what is recorded only for the status. No decision depends on it.
type observations struct {
	platform PlatformStatus
	peers    map[string]PeerStatus
}

// Status is an instance's status for operators: its own state and its view of the fleet.
type Status struct {
	// At is the current time by the instance's clock.
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	// Stopping is set once the graceful shutdown has begun.
	Stopping bool `json:"stopping,omitempty"`
	// Generation is that of the configuration in force, 0 if there is none.
	Generation uint64 `json:"generation"`
	// Edit identifies the edit of the configuration in force.
	Edit string `json:"edit,omitempty"`
	// Findings are the validation errors of the last refused configuration, if any.
	Findings config.Findings `json:"findings,omitempty"`
	// Adjusted are the elements of the configuration in force that are not in force as they were written.
	Adjusted []config.Adjustment `json:"adjusted,omitempty"`
	Platform PlatformStatus      `json:"platform"`
	// InFlight is the number of this instance's requests in flight.
	InFlight int `json:"in_flight"`
	// ConfigReadOnly is set where only the platform's operators may write the configuration and the evacuations.
	ConfigReadOnly bool `json:"config_read_only,omitempty"`
	// EvacuationsKnown is set once the instance knows which zones are evacuated.
	EvacuationsKnown bool               `json:"evacuations_known,omitempty"`
	Evacuations      []EvacuationStatus `json:"evacuations,omitempty"`
	// SeparatedZones are the zones from which this instance is cut off.
	SeparatedZones []SeparatedZone `json:"separated_zones,omitempty"`
	Services       []ServiceStatus `json:"services"`
	// Instances are the other instances of the fleet.
	Instances []InstanceStatus `json:"instances"`
	// Peers are the instances from which this one received digests.
	Peers []PeerStatus `json:"peers"`
}

// PlatformStatus reports whether calls to the platform succeed.
type PlatformStatus struct {
	// Known is set once the first call has ended.
	Known     bool `json:"known"`
	Reachable bool `json:"reachable"`
	// Since is when Reachable last changed.
	Since time.Time `json:"since,omitzero"`
	// LastCall is when the last call ended.
	LastCall time.Time `json:"last_call,omitzero"`
}

// ServiceStatus is this instance's view of a service.
type ServiceStatus struct {
	Name string      `json:"name"`
	Kind config.Kind `json:"kind"`
	// Mean is the mean load of the usable backend servers.
	Mean float64 `json:"mean"`
	// Overload is the service's load and what was refused lately, nil in the status of an earlier build.
	Overload *OverloadStatus `json:"overload,omitempty"`
	// Backends are the usable backend servers, followed by those in evacuated zones and those that are leaving.
	Backends []BackendStatus `json:"backends"`
}

// BackendStatus is one backend server.
type BackendStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Load is the estimated number of its requests in flight.
	Load float64 `json:"load"`
	// Own is the number of them that this instance sent.
	Own int `json:"own"`
	// State is the membership state. A server that is listed only in the configuration is
	// live until it reports otherwise.
	State membership.State `json:"state"`
	// Unreachable is set if this instance recently failed to connect to it.
	Unreachable bool `json:"unreachable,omitempty"`
	// Evacuated is set if it gets no new requests because its zone is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Cold is set while it warms up.
	Cold *ColdStatus `json:"cold,omitempty"`
	// Slowness is how long work takes there at the moment as a multiple of the usual time, and Basis the basis of that estimate. Both
	// are empty for a server that is not slower than usual.
	Slowness float64       `json:"slowness,omitempty"`
	Basis    SlownessBasis `json:"slowness_basis,omitempty"`
}

// InstanceStatus is the membership entry of an instance.
type InstanceStatus struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Address string           `json:"address"`
	State   membership.State `json:"state"`
}

// PeerStatus is the state in a peer's last digest.
type PeerStatus struct {
	Name         string    `json:"name"`
	Generation   uint64    `json:"generation"`
	Leaving      bool      `json:"leaving,omitempty"`
	LastDigestAt time.Time `json:"heard"`
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
		n.observed.peers = make(map[string]PeerStatus)
	}
	if _, known := n.observed.peers[e.From]; !known {
		n.expirePeerStatuses()
	}
	n.observed.peers[e.From] = PeerStatus{Name: e.From, Generation: d.Generation, Leaving: d.Leaving, LastDigestAt: n.now}
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
func (n *Node) Status() Status {
	s := Status{
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
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (n *Node) serviceStatus(name string) ServiceStatus {
	service := n.snapshot.Service(name)
	s := ServiceStatus{Name: name, Kind: service.Kind, Overload: n.overloadStatus(name)}
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

func (n *Node) candidateStatus(c *routing.Candidate) BackendStatus {
	s := BackendStatus{
		Name: c.Name, Zone: c.Zone, Address: c.Address, Load: c.Load, Own: n.load.Own(c.Name),
		State: membership.Live, Unreachable: c.Unreachable, Cold: n.coldStatus(c),
	}
	s.Slowness, s.Basis = n.slowness(c.Name)
	return s
}

// leavingBackends lists a service's leaving backend servers. They finish their requests in
// flight and get no new ones.
func (n *Node) leavingBackends(service *config.Service) []BackendStatus {
	var list []BackendStatus
	add := func(member *membership.Member, zone, address string) {
		if member == nil || member.State != membership.Leaving {
			return
		}
		list = append(list, BackendStatus{
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
	slices.SortFunc(list, func(a, b BackendStatus) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(list, func(a, b BackendStatus) bool { return a.Name == b.Name })
}

func (n *Node) instanceStatuses() []InstanceStatus {
	var list []InstanceStatus
	n.view.Each(func(member *membership.Member) {
		if member.Role == membership.RoleInstance && member.Name != n.settings.Name {
			list = append(list, InstanceStatus{Name: member.Name, Zone: member.Zone, Address: member.Address, State: member.State})
		}
	})
	slices.SortFunc(list, func(a, b InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
