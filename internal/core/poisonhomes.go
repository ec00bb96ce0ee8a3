package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// This file tells the peers of poison records: all at once, or towards the home of a content or a part (poison.Tracker.GathersAtHome).

// toldToAll reports whether all instances are told of a record.
func (n *Node) toldToAll(key poison.Key) bool {
	return !n.poison.tracker.GathersAtHome(key, n.poisonAudience())
}

func (n *Node) poisonAudience() poison.Audience {
	return poison.Audience{Large: n.multiHop(), Separated: n.poison.store.separation.Separated()}
}

// tellPoisonChanges queues the records that have changed since the last tick for the peers.
func (n *Node) tellPoisonChanges() {
	receivers := make(map[string][]*peerState)
	for _, change := range n.poison.spread.Take(n.now, n.holdsPoison) {
		n.queuePoison(change, receivers)
	}
	for _, list := range receivers {
		for _, p := range list {
			p.advancePoison(n.now)
		}
	}
}

// holdsPoison reports whether what a peer has told of a record is told on later.
func (n *Node) holdsPoison(key poison.Key) bool { return n.multiHop() && n.poison.tracker.Blocked(key) }

// queuePoison queues a record for all peers other than the one from which it came, or for the way to its home. In a full mesh a
// record that came from a peer has reached all others, unless their links are down. It is then
// forwarded only if several servers ended under the request. receivers caches the peers that are told, by the one that is not.
func (n *Node) queuePoison(change poison.Change, receivers map[string][]*peerState) {
	if !n.toldToAll(change.Key) && !n.poison.spread.ToldAll(change.Key) {
		n.queueForHome(change.From, change.Key)
		return
	}
	n.poison.spread.TellAll(change.Key)
	if !change.Observed && !n.multiHop() && !n.poison.tracker.Suspicious(change.Key) {
		return
	}
	list, known := receivers[change.From]
	if !known {
		list = n.poisonReceivers(change.From)
		receivers[change.From] = list
	}
	for _, p := range list {
		p.pendingPoison[change.Key] = true
	}
}

// queueForHome queues a record for the next instance on the way to its home, unless it came from there.
func (n *Node) queueForHome(from string, key poison.Key) {
	next := n.nextTowardsHome(key)
	if next == n.settings.Name || next == from {
		return
	}
	p := n.peer(next)
	p.pendingPoison[key] = true
	p.advancePoison(n.now)
}

// poisonReceivers returns the peers that are sent the records of which all instances are told, but for one peer.
func (n *Node) poisonReceivers(except string) []*peerState {
	var list []*peerState
	for name, p := range n.peers.byName {
		if name != except && n.receivesPoison(name) {
			list = append(list, p)
		}
	}
	return list
}

// nextTowardsHome returns the next instance on the way to the home of a content or a part, or this one's name at the home.
func (n *Node) nextTowardsHome(key poison.Key) string {
	if n.multiHop() {
		l := n.peers.layout
		return l.NextTowardsHome(int(uint64(key)%uint64(l.ShardCount())), n.peerSilent)
	}
	return rendezvous.Top(uint64(key), n.liveInstances(), 1)[0]
}

// receivesPoison reports whether a peer is sent the records of which all instances are told. One that gets only loads
// learns of them from others, unless those may be cut off.
func (n *Node) receivesPoison(name string) bool {
	return n.poison.store.separation.Separated() || !n.inLayout(name) || n.receivesFacts(name)
}

// queueAllPoison queues the records of which a peer that connects or has missed a digest is told.
func (n *Node) queueAllPoison(p *peerState) {
	for _, key := range n.poison.tracker.Keys() {
		if n.toldToAll(key) && n.receivesPoison(p.name) || n.nextTowardsHome(key) == p.name {
			p.pendingPoison[key] = true
		}
	}
}

// heardPoison updates what a peer is to be sent after it has sent a record. It is not told what it knows, unless it blames a
// part wrongly.
func (n *Node) heardPoison(from poisonSource, record poison.Record) {
	p := n.peers.byName[string(from)]
	if p == nil {
		return
	}
	tracker, key := n.poison.tracker, record.Key
	if p.pendingPoison[key] && tracker.CoveredBy(record, n.now) {
		delete(p.pendingPoison, key)
	}
	if tracker.Disproves(record, n.now) {
		p.pendingPoison[key] = true
	}
}
