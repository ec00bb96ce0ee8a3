package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// peerForget is how long a silent peer stays in the status.
const peerForget = 10 * time.Minute

// observations are what the status tells of the world outside and no decision
// rests on.
type observations struct {
	platform PlatformStatus
	peers    map[string]PeerStatus
}

// Status is what an instance tells its operators of itself and of the fleet as it
// sees it.
type Status struct {
	// At is the instance's clock.
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	// Stopping says that the graceful shutdown has begun.
	Stopping bool `json:"stopping,omitempty"`
	// Generation is the configuration in force here, 0 for none.
	Generation uint64 `json:"generation"`
	// Edit is the edit that brought it.
	Edit string `json:"edit,omitempty"`
	// Findings are why the last newer configuration was refused, if it was.
	Findings config.Findings `json:"findings,omitempty"`
	Platform PlatformStatus  `json:"platform"`
	// InFlight is the number of this instance's requests in progress.
	InFlight int             `json:"in_flight"`
	Services []ServiceStatus `json:"services"`
	// Instances are the fleet's entry instances, this one left out.
	Instances []InstanceStatus `json:"instances"`
	// Peers are the instances that this one heard of its peers' links.
	Peers []PeerStatus `json:"peers"`
}

// PlatformStatus says whether calls on the platform succeed.
type PlatformStatus struct {
	// Known is false until the first call has ended.
	Known     bool `json:"known"`
	Reachable bool `json:"reachable"`
	// Since is when Reachable became so.
	Since time.Time `json:"since,omitzero"`
	// LastCall is when the last call ended.
	LastCall time.Time `json:"last_call,omitzero"`
}

// ServiceStatus is one service as this instance sees it.
type ServiceStatus struct {
	Name string      `json:"name"`
	Kind config.Kind `json:"kind"`
	// Mean is the mean load of the usable backend servers.
	Mean float64 `json:"mean"`
	// Backends are the usable backend servers, then those that are leaving.
	Backends []BackendStatus `json:"backends"`
}

// BackendStatus is one backend server.
type BackendStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Load is the estimate of its requests in progress.
	Load float64 `json:"load"`
	// Own is the part of them that this instance sent.
	Own int `json:"own"`
	// State is what the membership knows; a server that only the text names is live
	// until it says otherwise.
	State membership.State `json:"state"`
	// Unreachable says that this instance could not connect to it lately.
	Unreachable bool `json:"unreachable,omitempty"`
}

// InstanceStatus is one line of the membership.
type InstanceStatus struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Address string           `json:"address"`
	State   membership.State `json:"state"`
}

// PeerStatus is what a peer last said of itself.
type PeerStatus struct {
	Name       string    `json:"name"`
	Generation uint64    `json:"generation"`
	Leaving    bool      `json:"leaving,omitempty"`
	Heard      time.Time `json:"heard"`
}

// observe notes what the status tells. It changes nothing that decides.
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
	case PeerReceived:
		n.observePeer(e)
	}
}

func reachWord(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "unreachable"
}

func (n *Node) observePlatform(reachable bool) {
	p := &n.observed.platform
	if !p.Known || p.Reachable != reachable {
		p.Known, p.Reachable, p.Since = true, reachable, n.now
		n.emit(Learned{Subject: OfStore, State: reachWord(reachable)})
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
		n.forgetSilentPeers()
	}
	n.observed.peers[e.From] = PeerStatus{Name: e.From, Generation: d.Generation, Leaving: d.Leaving, Heard: n.now}
}

// forgetSilentPeers keeps the map from growing with every replaced instance.
func (n *Node) forgetSilentPeers() {
	for name, p := range n.observed.peers {
		if n.now.Sub(p.Heard) > peerForget {
			delete(n.observed.peers, name)
		}
	}
}

// InFlight returns the number of requests in progress.
func (n *Node) InFlight() int { return len(n.requests) }

// Ready tells whether this instance should be given new requests: a configuration
// is in force, some backend server is known, and no graceful shutdown has begun.
func (n *Node) Ready() bool {
	return n.snapshot != nil && n.knowsBackends() && !n.lifecycle.stopping
}

// knowsBackends tells whether any backend server is known to this instance. Between
// its configuration and the first list of entries it would refuse everything.
func (n *Node) knowsBackends() bool {
	for _, p := range n.pools {
		if len(p.candidates) > 0 {
			return true
		}
	}
	return false
}

// Status returns what the instance tells its operators.
func (n *Node) Status() Status {
	s := Status{
		At:       n.now,
		Instance: n.settings.Name,
		Zone:     n.settings.Zone,
		Stopping: n.lifecycle.stopping,
		Findings: n.configs.findings,
		Platform: n.observed.platform,
		InFlight: len(n.requests),
	}
	if n.snapshot != nil {
		s.Generation, s.Edit = n.snapshot.Generation, n.snapshot.Edit
		for _, name := range n.snapshot.Services() {
			s.Services = append(s.Services, n.serviceStatus(name))
		}
	}
	s.Instances = n.instanceStatuses()
	for _, p := range n.observed.peers {
		s.Peers = append(s.Peers, p)
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (n *Node) serviceStatus(name string) ServiceStatus {
	service := n.snapshot.Service(name)
	s := ServiceStatus{Name: name, Kind: service.Kind}
	candidates := n.pool(name).candidates
	for i := range candidates {
		s.Mean += candidates[i].Load
		s.Backends = append(s.Backends, n.candidateStatus(&candidates[i]))
	}
	s.Mean /= float64(max(1, len(s.Backends)))
	s.Backends = append(s.Backends, n.leavingOf(service)...)
	return s
}

func (n *Node) candidateStatus(c *routing.Candidate) BackendStatus {
	return BackendStatus{
		Name: c.Name, Zone: c.Zone, Address: c.Address, Load: c.Load, Own: n.load.Own(c.Name),
		State: membership.Live, Unreachable: c.Unreachable,
	}
}

// leavingOf lists a service's backend servers that end the work they have.
func (n *Node) leavingOf(service *config.Service) []BackendStatus {
	var list []BackendStatus
	add := func(in *membership.Instance, zone, address string) {
		if in == nil || in.State != membership.Leaving {
			return
		}
		list = append(list, BackendStatus{
			Name: in.Name, Zone: zone, Address: address, State: in.State,
			Load: n.load.Estimate(in.Name), Own: n.load.Own(in.Name),
		})
	}
	for _, b := range service.BackendServers {
		add(n.view.Get(b.Name), b.Zone, b.Address)
	}
	if service.FromPlatform {
		n.view.EachOf(service.Name, func(in *membership.Instance) { add(in, in.Zone, in.Address) })
	}
	slices.SortFunc(list, func(a, b BackendStatus) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(list, func(a, b BackendStatus) bool { return a.Name == b.Name })
}

func (n *Node) instanceStatuses() []InstanceStatus {
	var list []InstanceStatus
	n.view.Each(func(in *membership.Instance) {
		if in.Role == membership.Entry && in.Name != n.settings.Name {
			list = append(list, InstanceStatus{Name: in.Name, Zone: in.Zone, Address: in.Address, State: in.State})
		}
	})
	slices.SortFunc(list, func(a, b InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
