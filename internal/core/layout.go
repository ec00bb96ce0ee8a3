package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
)

// inLayout reports whether a peer is in this instance's layout.
func (n *Node) inLayout(name string) bool {
	return n.peers.inLayout[name]
}

// inOwnZone reports whether another instance is in this instance's availability zone.
func (n *Node) inOwnZone(name string) bool {
	member := n.view.Get(name)
	return member != nil && member.Zone == n.settings.Zone
}

// receivesFacts reports whether a peer in the layout is sent facts in addition to loads. If all of
// them were, each fact would reach each zone over dozens of links.
func (n *Node) receivesFacts(name string) bool {
	return n.inLayout(name) && (!n.multiHop() || n.inOwnZone(name) || slices.Contains(n.peers.bridges, name))
}

// refreshLayout updates the layout after changes to the list of instances or to the set of
// silent peers.
func (n *Node) refreshLayout() {
	if n.updateLayoutMembers() {
		n.peers.layoutChangedAt = n.now
		n.peers.layout = mesh.New(mesh.Member{Name: n.settings.Name, Zone: n.settings.Zone}, n.peers.members)
		n.pollOwnersChanged()
	}
	l := n.peers.layout
	n.peers.sums.SetLayout(l, n.peerSilent, n.peers.crossZoneLoads)
	n.peers.bridges = l.Bridges(n.peerSilent)
	n.updateLinks(l.Peers(n.peerSilent))
}

// updateLayoutMembers rereads the list of instances from the view and reports whether it changed.
func (n *Node) updateLayoutMembers() bool {
	seq := n.view.Seq()
	if n.peers.layout != nil && seq == n.peers.membersSeq {
		return false
	}
	n.peers.membersSeq = seq
	members := n.layoutMembers()
	if n.peers.layout != nil && slices.Equal(members, n.peers.members) {
		return false
	}
	n.peers.members = members
	return true
}

// requestLink requests a link to an instance outside the layout: to the owner of a partition of
// the claims ledger, or to an instance that sent this one a claim. The message that triggers the
// request is lost. Its sender retries or continues without the owner.
func (n *Node) requestLink(name string) {
	if n.peers.inLayout[name] || n.view.Get(name) == nil {
		return
	}
	if n.peers.onDemand[name].IsZero() {
		n.peers.nextLayout = n.now
	}
	n.peers.onDemand[name] = n.now.Add(onDemandLinkTimeout)
}

// linkNow requests links to instances outside the layout without waiting for the next check of it.
func (n *Node) linkNow(names []string) {
	for _, name := range names {
		n.requestLink(name)
	}
	n.updateLinks(n.peers.layout.Peers(n.peerSilent))
}

// requestLinkAtOnce is requestLink for a message that waits for the link: it is dialled now, whichever of the two
// instances would dial otherwise.
func (n *Node) requestLinkAtOnce(name string) {
	isNew := n.peers.onDemand[name].IsZero()
	n.requestLink(name)
	if isNew && !n.peers.onDemand[name].IsZero() {
		n.peers.dialAtOnce[name] = true
		n.refreshLayout()
	}
}

// outsideLayout reports whether a known peer is outside the layout.
func (n *Node) outsideLayout(name string) bool {
	return !n.peers.inLayout[name] && n.view.Get(name) != nil
}

// layoutMembers returns the instances that are not gone, sorted by name. Leaving instances are
// included, because they still have requests in progress at the backend servers.
func (n *Node) layoutMembers() []mesh.Member {
	members := []mesh.Member{{Name: n.settings.Name, Zone: n.settings.Zone}}
	n.view.Each(func(member *membership.Member) {
		if member.Role == membership.RoleInstance && member.State != membership.Gone && member.Name != n.settings.Name {
			members = append(members, mesh.Member{Name: member.Name, Zone: member.Zone, Leaving: member.State == membership.Leaving})
		}
	})
	slices.SortFunc(members, func(a, b mesh.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// updateLinks requests the links of the layout if they differ from the current ones.
func (n *Node) updateLinks(names []string) {
	previous := n.peers.inLayout
	n.peers.inLayout = make(map[string]bool, len(names))
	for _, name := range names {
		n.peers.inLayout[name] = true
		if !previous[name] {
			// A peer that was linked from outside the layout received few digests. It would
			// consider this instance silent before the next one is due.
			n.peer(name).digestDue = n.now
		}
	}
	maps.DeleteFunc(n.peers.onDemand, func(_ string, until time.Time) bool { return n.now.After(until) })
	maps.DeleteFunc(n.peers.dialAtOnce, func(name string, _ bool) bool { return n.peers.onDemand[name].IsZero() })
	names = slices.AppendSeq(names, maps.Keys(n.peers.onDemand))
	slices.Sort(names)
	var linked []PeerAddress
	for _, name := range slices.Compact(names) {
		n.peer(name)
		if member := n.view.Get(name); member != nil {
			linked = append(linked, PeerAddress{Name: name, Address: member.Address, DialAtOnce: n.peers.dialAtOnce[name]})
		}
	}
	if slices.Equal(linked, n.peers.linked) {
		return
	}
	n.peers.linked = linked
	n.emit(SetPeers{Peers: linked})
}

func (n *Node) wantsLink(name string) bool {
	return slices.ContainsFunc(n.peers.linked, func(a PeerAddress) bool { return a.Name == name })
}
