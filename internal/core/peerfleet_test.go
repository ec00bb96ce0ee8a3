package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// peerFleet connects nodes by fake links in virtual time. A message arrives at the next tick of the
// receiver, unless the link is cut or the receiver is frozen.
type peerFleet struct {
	t      *testing.T
	now    time.Time
	nodes  map[string]*Node
	listed []membership.Member
	wanted map[string][]PeerAddress
	linked map[[2]string]bool
	inbox  map[string][]Event
	bytes  map[string]int
	frozen map[string]bool
	// cut reports whether two instances cannot connect to each other.
	cut func(a, b string) bool
	// observe is called with each effect if it is set.
	observe func(name string, effect Effect)
}

func newPeerFleet(t *testing.T, size, zones int) *peerFleet {
	f := &peerFleet{
		t: t, now: time.Unix(1_764_000_000, 0).UTC(),
		nodes: make(map[string]*Node), wanted: make(map[string][]PeerAddress),
		linked: make(map[[2]string]bool), inbox: make(map[string][]Event),
		bytes: make(map[string]int), frozen: make(map[string]bool),
		cut: func(string, string) bool { return false },
	}
	for i := range size {
		name, zone := fmt.Sprintf("entry-%02d", i), fmt.Sprint("zone-", i%zones)
		f.nodes[name] = New(Settings{Name: name, Zone: zone, Incarnation: 1, Seed: uint64(i)})
		f.listed = append(f.listed, membership.Member{
			Name: name, Role: membership.RoleInstance, Zone: zone, Address: name, Incarnation: 1, State: membership.Live,
		})
	}
	return f
}

func (f *peerFleet) names() []string { return slices.Sorted(maps.Keys(f.nodes)) }

// run advances virtual time by d in ticks.
func (f *peerFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(TickInterval)
		f.updateLinks()
		for _, name := range f.names() {
			if f.frozen[name] {
				continue
			}
			events := slices.Concat(f.inbox[name], []Event{Ticked{}})
			f.inbox[name] = nil
			for _, e := range events {
				f.handle(name, e)
			}
		}
	}
}

// handle passes an event to a node and carries out the resulting effects.
func (f *peerFleet) handle(name string, e Event) {
	for _, effect := range f.nodes[name].Handle(f.now, e) {
		if f.observe != nil {
			f.observe(name, effect)
		}
		switch e := effect.(type) {
		case ListInstances:
			f.inbox[name] = append(f.inbox[name], InstancesListed{Op: e.Op, Failed: f.listed == nil, Members: f.listed})
		case SetPeers:
			f.wanted[name] = e.Peers
		case SendPeer:
			f.bytes[name] += e.Message.WireEstimate()
			if f.linked[linkKey(name, e.To)] {
				f.inbox[e.To] = append(f.inbox[e.To], PeerReceived{From: name, Message: e.Message})
			}
		}
	}
}

// attemptOf passes a request to a node and returns the attempt that the node sends.
func (f *peerFleet) attemptOf(name string, e RequestArrived) SendAttempt {
	f.t.Helper()
	for _, effect := range f.nodes[name].Handle(f.now, e) {
		if sent, ok := effect.(SendAttempt); ok {
			return sent
		}
	}
	f.t.Fatalf("%s sends no attempt for the request", name)
	return SendAttempt{}
}

// exchangeZoneLoads makes the zones exchange their loads, as in a fleet that serves sessions.
func (f *peerFleet) exchangeZoneLoads() {
	for _, n := range f.nodes {
		n.peers.crossZoneLoads = true
	}
}

// linkKey returns the key of the link between two instances.
func linkKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// updateLinks establishes and drops links according to the peers that the nodes want.
func (f *peerFleet) updateLinks() {
	wanted := make(map[[2]string]bool)
	for name, peers := range f.wanted {
		for _, p := range peers {
			if f.nodes[p.Name] != nil && !f.cut(name, p.Name) {
				wanted[linkKey(name, p.Name)] = true
			}
		}
	}
	for _, name := range f.names() {
		for _, other := range f.names() {
			now, before := wanted[linkKey(name, other)], f.linked[linkKey(name, other)]
			switch {
			case now && !before:
				f.inbox[name] = append(f.inbox[name], PeerConnected{Peer: other, Incarnation: f.nodes[other].settings.Incarnation})
			case before && !now:
				f.inbox[name] = append(f.inbox[name], PeerLost{Peer: other})
			}
		}
	}
	f.linked = wanted
}

// knownLoad returns the load at a backend server that a node knows from its own requests and its
// peers.
func knownLoad(n *Node, backend string) int {
	sum := n.load.Own(backend)
	for _, p := range n.peers.byName {
		sum += p.received.Sum(backend)
	}
	return sum
}

// requireExactLoads checks that each node in at knows the exact sum of the loads of the nodes in
// from.
func (f *peerFleet) requireExactLoads(at, from []string) {
	f.t.Helper()
	for i := range 20 {
		backend := fmt.Sprint("engine-", i)
		want := 0
		for _, name := range from {
			want += f.nodes[name].load.Own(backend)
		}
		for _, name := range at {
			require.Equal(f.t, want, knownLoad(f.nodes[name], backend), "%s at %s", backend, name)
		}
	}
}

// requireExactAfterTraffic checks that all nodes know all loads eight seconds after the last change
// of a load.
func (f *peerFleet) requireExactAfterTraffic() {
	f.t.Helper()
	r := rand.New(rand.NewPCG(1, uint64(len(f.nodes))))
	f.run(3 * time.Second)
	for range 5 {
		f.addRandomLoads(r, 6)
		f.run(time.Second)
	}
	for _, n := range f.nodes {
		n.load.Ended("engine-3", f.now)
	}
	f.run(8 * time.Second)
	f.requireExactLoads(f.names(), f.names())
}

// addRandomLoads adds a number of requests to random backend servers at each node.
func (f *peerFleet) addRandomLoads(r *rand.Rand, requests int) {
	for _, name := range f.names() {
		for range requests {
			f.nodes[name].load.Sent(fmt.Sprint("engine-", r.IntN(20)), f.now)
		}
	}
}
