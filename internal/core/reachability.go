package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
	"github.com/ebonydyke/ebonydyke/internal/core/separation"
)

// updateReachability updates the reachability of a backend server from the outcome of an
// attempt. It is called before the request's next attempt is placed.
func (n *Node) updateReachability(backend string, e AttemptEnded, verdict separation.Verdict) {
	zone := n.zoneOf(backend)
	switch {
	case verdict == separation.Separated, verdict == separation.Outdated:
		// All servers of a separated zone are marked already. One that has rejoined is not judged by the cut.
		return
	case verdict == separation.Doubtful:
		n.reach.RecordFailure(backend, zone, n.now)
		n.setUnreachable(backend, true)
		n.checkZoneReachability(zone)
		return
	case e.ServerEnded, e.ConnectionRefused:
		// The server has ended, but its machine refuses connections and so is reachable. Its
		// neighbours are not to be avoided with it.
		n.reach.RecordAnswer(zone, n.now)
		n.reach.RecordFailure(backend, zone, n.now)
		n.setUnreachable(backend, true)
		return
	case e.Outcome == retry.NotSent:
		n.reach.RecordFailure(backend, zone, n.now)
		n.setUnreachable(backend, true)
		n.checkZoneReachability(zone)
		return
	}
	n.reach.RecordAnswer(zone, n.now)
	if n.reach.RecordSuccess(backend, zone) {
		n.setUnreachable(backend, false)
		for _, other := range n.reach.ResetZone(zone) {
			n.setUnreachable(other, false)
		}
	}
}

// zoneOf returns the availability zone of a usable backend server, or "".
func (n *Node) zoneOf(backend string) string {
	p := n.poolByBackend[backend]
	if p == nil {
		return ""
	}
	return p.candidates[p.index[backend]].Zone
}

// versionOf returns the version of a backend server's software, "" if it is unknown.
func (n *Node) versionOf(backend string) string {
	member := n.view.Get(backend)
	if member == nil {
		return ""
	}
	return member.Version
}

// checkZoneReachability marks all servers of a zone as unreachable for a backoff once
// connections to several of them have failed. The instance's own zone is excluded: a server
// there that cannot be reached is down, and the others are not.
func (n *Node) checkZoneReachability(zone string) {
	if zone == "" || zone == n.settings.Zone {
		return
	}
	backoff, unreachable := n.reach.ZoneUnreachable(zone, n.serversInZone(zone), n.now)
	if !unreachable {
		return
	}
	n.emit(StateChanged{Subject: SubjectZone, Name: zone, State: "unreachable", Cause: "its servers cannot be connected to"})
	for _, p := range n.pools {
		for i := range p.candidates {
			c := &p.candidates[i]
			if c.Zone == zone && !c.Unreachable {
				n.reach.MarkUnreachable(c.Name, zone, n.now, backoff)
				n.setUnreachable(c.Name, true)
				n.zoneMayHaveEnded(c.Name)
			}
		}
	}
}

// serversInZone returns the number of usable backend servers in a zone.
func (n *Node) serversInZone(zone string) int {
	count := 0
	for _, p := range n.pools {
		for i := range p.candidates {
			if p.candidates[i].Zone == zone {
				count++
			}
		}
	}
	return count
}

// setUnreachable marks a usable backend server as unreachable or reachable, and emits a
// StateChanged effect if that is a change.
func (n *Node) setUnreachable(backend string, unreachable bool) {
	p := n.poolByBackend[backend]
	if p == nil {
		return
	}
	c := &p.candidates[p.index[backend]]
	if c.Unreachable != unreachable {
		n.emit(StateChanged{Subject: SubjectBackend, Name: backend, State: reachabilityState(!unreachable), Address: c.Address})
	}
	p.setUnreachable(c, unreachable)
}

func (p *pool) setUnreachable(c *routing.Candidate, unreachable bool) {
	switch {
	case unreachable && !c.Unreachable:
		p.unreachableCount++
		p.unreachableLoad += c.Load
	case !unreachable && c.Unreachable:
		p.unreachableCount--
		p.unreachableLoad -= c.Load
	}
	c.Unreachable = unreachable
}
