package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// Bounds of the backoff before an unreachable backend server is tried again. The backoff
// doubles with each failed connection, so that only an occasional request pays for a server
// that is cut off, and not every request that the ranking sends there.
const (
	reachFirstWait = 500 * time.Millisecond
	reachLastWait  = 16 * time.Second
)

// A whole availability zone counts as unreachable if connections to a third of its servers,
// but at least two and at most three of them, failed within zoneWindow and no server of the
// zone has answered since. Without this rule, each of the zone's servers would cost a request
// a failed connection before it is avoided. If only some of the servers crash, however, the
// others must stay in use, or their sessions would crowd onto other zones and be prefilled
// again there.
const (
	leastZoneSuspects = 2
	mostZoneSuspects  = 3
	zoneWindow        = 2 * time.Second
	// zoneQuiet is how long a zone must not have answered before it can count as unreachable.
	// In a zone that is cut off, that much time has passed by the time that two connections
	// have failed.
	zoneQuiet = 300 * time.Millisecond
	// zoneMemory is how long an outage of a zone is remembered. A failure within that time
	// marks the zone as unreachable again at once, with twice the backoff.
	zoneMemory = 20 * time.Second
	// zoneLastWait bounds the backoff of a zone, because sessions whose preferred engine is
	// in a recovered zone do without it until the backoff ends.
	zoneLastWait = 4 * time.Second
)

// reachability tracks the backend servers to which this instance cannot connect. It is local
// to the instance: others may reach these servers, so it never enters the membership.
type reachability struct {
	servers map[string]*reachState
	zones   map[string]*zoneState
	// contacts holds the time of the last answer from any server of each zone.
	contacts map[string]time.Time
}

// zoneState is the backoff state of a zone that counts, or recently counted, as unreachable.
type zoneState struct {
	wait  time.Duration
	since time.Time
}

func newReachability() reachability {
	return reachability{
		servers: make(map[string]*reachState), zones: make(map[string]*zoneState), contacts: make(map[string]time.Time),
	}
}

// reachState is the backoff state of one backend server.
type reachState struct {
	wait  time.Duration
	until time.Time
	// failedAt is the time of the last failed connection.
	failedAt time.Time
	// zone is the server's availability zone.
	zone string
	// waiting reports whether the backoff is still running.
	waiting bool
}

// failed records a failed connection.
func (r reachability) failed(backend, zone string, now time.Time) {
	s := r.servers[backend]
	if s == nil {
		s = &reachState{wait: reachFirstWait / 2, zone: zone}
		r.servers[backend] = s
	}
	s.failedAt = now
	if s.waiting {
		return
	}
	s.wait = min(2*s.wait, reachLastWait)
	s.until, s.waiting = now.Add(s.wait), true
}

// suspect marks a server as unreachable that was not tried, because its zone counts as
// unreachable.
func (r reachability) suspect(backend, zone string, now time.Time, backoff time.Duration) {
	if r.servers[backend] == nil {
		r.servers[backend] = &reachState{zone: zone, wait: reachFirstWait}
	}
	s := r.servers[backend]
	s.until, s.waiting = now.Add(backoff), true
}

// zoneCut reports whether a zone counts as unreachable, so that its other servers are not
// tried one by one, and for how long. That is the case if connections to several of its
// servers fail and none answers, or if one fails within zoneMemory after the zone last
// counted as unreachable.
func (r reachability) zoneCut(zone string, servers int, now time.Time) (time.Duration, bool) {
	contact := r.contacts[zone]
	if now.Sub(contact) < zoneQuiet {
		return 0, false
	}
	if z := r.zones[zone]; z != nil && now.Sub(z.since) < zoneMemory {
		z.wait, z.since = min(2*z.wait, zoneLastWait), now
		return z.wait, true
	}
	failing := 0
	for _, s := range r.servers {
		if s.zone == zone && s.failedAt.After(contact) && now.Sub(s.failedAt) <= zoneWindow {
			failing++
		}
	}
	if failing < min(max(leastZoneSuspects, servers/3), mostZoneSuspects) {
		return 0, false
	}
	r.zones[zone] = &zoneState{wait: reachFirstWait, since: now}
	return reachFirstWait, true
}

// connected clears the failures of a server and reports whether there were any, or whether
// its zone counted as unreachable.
func (r reachability) connected(backend, zone string) bool {
	_, failed := r.servers[backend]
	failed = failed || r.zones[zone] != nil
	delete(r.servers, backend)
	return failed
}

// healed clears the state of a zone and its servers once one of them was connected to, and
// returns those servers, sorted by name.
func (r reachability) healed(zone string) []string {
	delete(r.zones, zone)
	var list []string
	for backend, s := range r.servers {
		if s.zone == zone {
			list = append(list, backend)
			delete(r.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}

// unreachable reports whether the backoff of a backend server is still running.
func (r reachability) unreachable(backend string, now time.Time) bool {
	s := r.servers[backend]
	return s != nil && s.waiting && now.Before(s.until)
}

// due returns the backend servers whose backoff has just elapsed, sorted by name. It drops
// the state of servers that have not been tried again for four times the maximum backoff.
func (r reachability) due(now time.Time) []string {
	var list []string
	for backend, s := range r.servers {
		switch {
		case s.waiting && !now.Before(s.until):
			s.waiting = false
			list = append(list, backend)
		case !s.waiting && now.Sub(s.until) > 4*reachLastWait:
			delete(r.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}

// backendAnswered updates the reachability of a backend server from the outcome of an
// attempt. It is called before the request's next attempt is placed.
func (n *Node) backendAnswered(backend string, e AttemptEnded) {
	zone := n.zoneOf(backend)
	if e.Outcome == retry.NotSent {
		n.reach.failed(backend, zone, n.now)
		n.setReach(backend, true)
		n.suspectZone(zone)
		return
	}
	n.reach.contacts[zone] = n.now
	if n.reach.connected(backend, zone) {
		n.setReach(backend, false)
		for _, other := range n.reach.healed(zone) {
			n.setReach(other, false)
		}
	}
}

// zoneOf returns the availability zone of a usable backend server, or "".
func (n *Node) zoneOf(backend string) string {
	p := n.poolOf[backend]
	if p == nil {
		return ""
	}
	return p.candidates[p.index[backend]].Zone
}

// suspectZone marks all servers of a zone as unreachable for a backoff once connections to
// several of them have failed. The instance's own zone is excluded: a server there that
// cannot be reached is down, and the others are not.
func (n *Node) suspectZone(zone string) {
	if zone == "" || zone == n.settings.Zone {
		return
	}
	backoff, unreachable := n.reach.zoneCut(zone, n.serversIn(zone), n.now)
	if !unreachable {
		return
	}
	n.emit(Learned{Subject: OfZone, Name: zone, State: "unreachable", Cause: "its servers cannot be connected to"})
	for _, p := range n.pools {
		for i := range p.candidates {
			c := &p.candidates[i]
			if c.Zone == zone && !c.Unreachable {
				n.reach.suspect(c.Name, zone, n.now, backoff)
				n.setReach(c.Name, true)
			}
		}
	}
}

// serversIn returns the number of usable backend servers in a zone.
func (n *Node) serversIn(zone string) int {
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

// setReach marks a usable backend server as unreachable or reachable, and emits a Learned
// effect if that is a change.
func (n *Node) setReach(backend string, unreachable bool) {
	p := n.poolOf[backend]
	if p == nil {
		return
	}
	c := &p.candidates[p.index[backend]]
	if c.Unreachable != unreachable {
		n.emit(Learned{Subject: OfBackend, Name: backend, State: reachWord(!unreachable), Address: c.Address})
	}
	p.setUnreachable(c, unreachable)
}

func (p *pool) setUnreachable(c *routing.Candidate, unreachable bool) {
	switch {
	case unreachable && !c.Unreachable:
		p.unreachable++
		p.lost += c.Load
	case !unreachable && c.Unreachable:
		p.unreachable--
		p.lost -= c.Load
	}
	c.Unreachable = unreachable
}
