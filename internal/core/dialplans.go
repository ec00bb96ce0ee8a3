package core

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// maxRelays is the number of instances that one attempt may ask to relay.
	maxRelays = 3
	// pathsExpiryInterval is the interval between checks for lost paths to be forgotten.
	pathsExpiryInterval = 10 * time.Second
)

// The counters of the paths to backend servers, and their labels.
const (
	counterPaths      = "backend_paths"
	labelPathLost     = "lost"
	labelPathRestored = "restored"
)

// DialPlan says over which paths an attempt connects to its backend server.
type DialPlan struct {
	// Mode selects the paths. An idle connection may be reused only with paths.DirectFirst.
	Mode paths.Mode `json:"mode,omitempty"`
	// Relays are the instances that may relay the connection, in the order in which they are asked.
	Relays []PeerAddress `json:"relays,omitempty"`
}

// BackendDialed reports the results of all paths of an attempt to connect, unless the direct path was
// the only one and succeeded.
type BackendDialed struct {
	Backend string              `json:"backend"`
	Results []paths.Observation `json:"results"`
}

// EventName implements Event.
func (BackendDialed) EventName() string { return "backend-dialed" }

// SetRelayScope sets which backend servers this instance connects to for its peers.
type SetRelayScope struct {
	// Closed is set while it connects to none.
	Closed bool `json:"closed,omitempty"`
	// Lost are the addresses of the backend servers to which its own path is lost or doubted.
	Lost []string `json:"lost,omitempty"`
}

// EffectName implements Effect.
func (SetRelayScope) EffectName() string { return "set-relay-scope" }

// pathsState holds this instance's paths to the backend servers.
type pathsState struct {
	tracker  *paths.Tracker
	expireAt time.Time
	// scope is the last SetRelayScope, and scopeOutdated is set once it may have changed.
	scope         SetRelayScope
	scopeOutdated bool
}

// dialPlan returns the paths of the request's next attempt to connect to its backend server.
func (n *Node) dialPlan(r *request) DialPlan {
	return DialPlan{
		Mode:   n.paths.tracker.NextMode(r.service.Name, r.backend, n.now),
		Relays: n.relaysFor(r),
	}
}

// relaysFor returns the instances that may relay a request to its backend server, of those in zones that are allowed for it: one
// that has just relayed, and then one per choice of relayChoices. Requests are spread over the instances that a choice
// fits.
func (n *Node) relaysFor(r *request) []PeerAddress {
	hash := rendezvous.Hash(string(r.arrived.Request)) + uint64(r.attempts)
	list := n.addRelay(nil, n.paths.tracker.ProvenRelays(n.now), hash, func(relay *membership.Member) bool { return r.zoneAllowed(relay.Zone) })
	names := n.liveInstances()
	serverZone := n.zoneOf(r.backend)
	for choice, fits := range relayChoices {
		if len(list) == maxRelays {
			break
		}
		// Neighbours in the order of names may share a rack and its faults, so each choice starts elsewhere.
		start := bits.RotateLeft64(hash, (choice+1)*relayHashStep)
		list = n.addRelay(list, names, start, func(relay *membership.Member) bool {
			return r.zoneAllowed(relay.Zone) && fits(n, relay, serverZone)
		})
	}
	return list
}

// addRelay adds to list the first of names, from a start on, that may relay, fits and is not listed.
func (n *Node) addRelay(list []PeerAddress, names []string, start uint64, fits func(*membership.Member) bool) []PeerAddress {
	for i := range names {
		name := names[(start+uint64(i))%uint64(len(names))]
		listed := slices.ContainsFunc(list, func(p PeerAddress) bool { return p.Name == name })
		if member := n.relayCandidate(name); member != nil && !listed && fits(member) {
			return append(list, PeerAddress{Name: name, Address: member.Address})
		}
	}
	return list
}

// relayHashStep is the number of bits by which the hash of a request is rotated for each further choice.
const relayHashStep = 11

// relayChoices are the choices of relays in the order of preference. They are of different zones,
// because all instances of a zone may lose their paths together: one of the own zone, to which bytes cross
// no zone, then one of the server's zone.
var relayChoices = []func(n *Node, relay *membership.Member, serverZone string) bool{
	func(n *Node, relay *membership.Member, _ string) bool {
		return n.paths.tracker.RelayUsable(relay.Name, n.now) && relay.Zone == n.settings.Zone
	},
	func(n *Node, relay *membership.Member, serverZone string) bool {
		return n.paths.tracker.RelayUsable(relay.Name, n.now) && relay.Zone == serverZone
	},
	func(n *Node, relay *membership.Member, _ string) bool {
		return n.paths.tracker.RelayUsable(relay.Name, n.now)
	},
	func(n *Node, relay *membership.Member, _ string) bool {
		return n.paths.tracker.RelayUsable(relay.Name, n.now)
	},
	func(*Node, *membership.Member, string) bool { return true },
}

// relayCandidate returns another live instance, or nil if it is not live. A peer to which a link is
// expected must be linked and heard.
func (n *Node) relayCandidate(name string) *membership.Member {
	member := n.view.Get(name)
	if name == n.settings.Name || member == nil || member.State != membership.Live {
		return nil
	}
	if !n.inLayout(name) {
		return member
	}
	p := n.peers.byName[name]
	if p == nil || !p.connected || p.leaving || n.now.Sub(p.receivedAt) > peerSilenceTimeout {
		return nil
	}
	return member
}

// backendDialed updates the paths from the results of an attempt to connect.
func (n *Node) backendDialed(e BackendDialed) {
	p := n.poolByBackend[e.Backend]
	if p == nil {
		return
	}
	switch n.paths.tracker.Observe(p.service, e.Backend, e.Results, n.now) {
	case paths.Lost:
		n.pathLost(e.Backend, e.Results)
	case paths.Restored:
		n.paths.scopeOutdated = true
		n.emit(Counted{Counter: counterPaths, Label: labelPathRestored, N: 1})
		n.emit(StateChanged{Subject: SubjectPath, Name: e.Backend, State: "restored", Cause: describeResults(e.Results)})
	}
}

// pathLost makes a backend server usable through relays that this instance cannot connect to itself.
func (n *Node) pathLost(backend string, results []paths.Observation) {
	n.paths.scopeOutdated = true
	n.emit(Counted{Counter: counterPaths, Label: labelPathLost, N: 1})
	n.emit(StateChanged{Subject: SubjectPath, Name: backend, State: "lost", Cause: describeResults(results)})
	if n.reach.RecordSuccess(backend, n.zoneOf(backend)) {
		n.setUnreachable(backend, false)
	}
}

// describeResults returns the results of an attempt to connect as text for the log.
func describeResults(results []paths.Observation) string {
	var list []string
	for _, o := range results {
		path := "direct"
		if o.Relay != "" {
			path = "through " + o.Relay
		}
		list = append(list, fmt.Sprintf("%s: %s", path, o.Result))
	}
	return strings.Join(list, ", ")
}

// noneReached reports whether recent attempts show that no server of the request's service can be
// reached. Further dials would keep the caller waiting for nothing. The servers of one zone may be half of all, so a server of
// each zone that is allowed for the request must have been tried.
func (n *Node) noneReached(r *request) bool {
	p := n.pool(r.service.Name)
	if !n.paths.tracker.NoneReached(p.service, len(p.candidates), n.now) {
		return false
	}
	tried := make(map[string]bool)
	for i := range p.candidates {
		c := &p.candidates[i]
		tried[c.Zone] = tried[c.Zone] || n.paths.tracker.Unreached(p.service, c.Name, n.now)
	}
	for zone, unreached := range tried {
		if !unreached && r.zoneAllowed(zone) {
			return false
		}
	}
	return true
}

// pathIsSuspect reports whether the failure of an attempt may be due to the path to its backend server
// instead of the server.
func (n *Node) pathIsSuspect(r *request, outcome retry.Outcome) bool {
	if outcome != retry.Unknown && outcome != retry.Broken && outcome != retry.Superseded {
		return false
	}
	return n.paths.tracker.IsLost(r.backend) || n.paths.tracker.Doubtful(r.service.Name)
}

// tickPaths forgets outdated state and updates what this instance relays.
func (n *Node) tickPaths() {
	if !n.now.Before(n.paths.expireAt) {
		n.paths.expireAt = n.now.Add(pathsExpiryInterval)
		known := func(server string) bool { return n.poolByBackend[server] != nil }
		n.paths.scopeOutdated = n.paths.tracker.Expire(known, n.now) || n.paths.scopeOutdated
	}
	if n.lifecycle.stopping != n.paths.scope.Closed {
		n.paths.scopeOutdated = true
	}
	if !n.paths.scopeOutdated {
		return
	}
	n.paths.scopeOutdated = false
	scope := SetRelayScope{Closed: n.lifecycle.stopping, Lost: n.lostAddresses()}
	if scope.Closed != n.paths.scope.Closed || !slices.Equal(scope.Lost, n.paths.scope.Lost) {
		n.paths.scope = scope
		n.emit(scope)
	}
}

// lostAddresses returns the sorted addresses of the backend servers to which the own path is lost or
// doubted.
func (n *Node) lostAddresses() []string {
	var list []string
	for _, p := range n.pools {
		doubtful := n.paths.tracker.Doubtful(p.service)
		for i := range p.candidates {
			if c := &p.candidates[i]; doubtful || n.paths.tracker.IsLost(c.Name) {
				list = append(list, c.Address)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
