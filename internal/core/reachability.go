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
	reachMinBackoff = 500 * time.Millisecond
	reachMaxBackoff = 16 * time.Second
)

// A whole availability zone counts as unreachable if connections to a third of its servers,
// but at least two and at most three of them, failed within zoneFailureWindow and no server
// of the zone has answered since. Without this rule, each of the zone's servers would cost a
// request a failed connection before it is avoided. If only some of the servers crash,
// however, the others must stay in use, or their sessions would overload other zones and be
// prefilled again there.
const (
	zoneMinFailures   = 2
	zoneMaxFailures   = 3
	zoneFailureWindow = 2 * time.Second
	// zoneMinSilence is how long a zone must not have answered before it can count as unreachable.
	// In a zone that is cut off, that much time has passed by the time that two connections
	// have failed.
	zoneMinSilence = 300 * time.Millisecond
	// zoneOutageMemory is how long an outage of a zone is remembered. A failure within that time
	// marks the zone as unreachable again at once, with twice the backoff.
	zoneOutageMemory = 20 * time.Second
	// zoneMaxBackoff bounds the backoff of a zone, because sessions whose preferred engine is
	// in a recovered zone do without it until the backoff ends.
	zoneMaxBackoff = 4 * time.Second
)

// reachability tracks the backend servers to which this instance cannot connect. It is local
// to the instance: others may reach these servers, so it never enters the membership.
type reachability struct {
	servers map[string]*reachState
	zones   map[string]*zoneState
	// lastAnswers holds the time of the last answer from any server of each zone.
	lastAnswers map[string]time.Time
}

// zoneState is the backoff state of a zone that counts, or recently counted, as unreachable.
type zoneState struct {
	backoff  time.Duration
	markedAt time.Time
}

func newReachability() reachability {
	return reachability{
		servers: make(map[string]*reachState), zones: make(map[string]*zoneState), lastAnswers: make(map[string]time.Time),
	}
}

// reachState is the backoff state of one backend server.
type reachState struct {
	backoff time.Duration
	retryAt time.Time
	// failedAt is the time of the last failed connection.
	failedAt time.Time
	// zone is the server's availability zone.
	zone string
	// backingOff reports whether the backoff is still running.
	backingOff bool
}

// recordFailure records a failed connection.
func (r reachability) recordFailure(backend, zone string, now time.Time) {
	s := r.servers[backend]
	if s == nil {
		s = &reachState{backoff: reachMinBackoff / 2, zone: zone}
		r.servers[backend] = s
	}
	s.failedAt = now
	if s.backingOff {
		return
	}
	s.backoff = min(2*s.backoff, reachMaxBackoff)
	s.retryAt, s.backingOff = now.Add(s.backoff), true
}

// markUnreachable marks a server as unreachable that was not tried, because its zone counts
// as unreachable.
func (r reachability) markUnreachable(backend, zone string, now time.Time, backoff time.Duration) {
	if r.servers[backend] == nil {
		r.servers[backend] = &reachState{zone: zone, backoff: reachMinBackoff}
	}
	s := r.servers[backend]
	s.retryAt, s.backingOff = now.Add(backoff), true
}

// zoneUnreachable reports whether a zone counts as unreachable, so that its other servers are
// not tried one by one, and for how long. That is the case if connections to several of its
// servers fail and none answers, or if one fails within zoneOutageMemory after the zone last
// counted as unreachable.
func (r reachability) zoneUnreachable(zone string, servers int, now time.Time) (time.Duration, bool) {
	contact := r.lastAnswers[zone]
	if now.Sub(contact) < zoneMinSilence {
		return 0, false
	}
	if z := r.zones[zone]; z != nil && now.Sub(z.markedAt) < zoneOutageMemory {
		z.backoff, z.markedAt = min(2*z.backoff, zoneMaxBackoff), now
		return z.backoff, true
	}
	failing := 0
	for _, s := range r.servers {
		if s.zone == zone && s.failedAt.After(contact) && now.Sub(s.failedAt) <= zoneFailureWindow {
			failing++
		}
	}
	if failing < min(max(zoneMinFailures, servers/3), zoneMaxFailures) {
		return 0, false
	}
	r.zones[zone] = &zoneState{backoff: reachMinBackoff, markedAt: now}
	return reachMinBackoff, true
}

// recordSuccess clears the failures of a server and reports whether there were any, or
// whether its zone counted as unreachable.
func (r reachability) recordSuccess(backend, zone string) bool {
	_, failed := r.servers[backend]
	failed = failed || r.zones[zone] != nil
	delete(r.servers, backend)
	return failed
}

// resetZone clears the state of a zone and its servers once one of them was connected to, and
// returns those servers, sorted by name.
func (r reachability) resetZone(zone string) []string {
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
	return s != nil && s.backingOff && now.Before(s.retryAt)
}

// elapsedBackoffs returns the backend servers whose backoff has just elapsed, sorted by name.
// It drops the state of servers that have not been tried again for four times the maximum
// backoff.
func (r reachability) elapsedBackoffs(now time.Time) []string {
	var list []string
	for backend, s := range r.servers {
		switch {
		case s.backingOff && !now.Before(s.retryAt):
			s.backingOff = false
			list = append(list, backend)
		case !s.backingOff && now.Sub(s.retryAt) > 4*reachMaxBackoff:
			delete(r.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}

// updateReachability updates the reachability of a backend server from the outcome of an
// attempt. It is called before the request's next attempt is placed.
func (n *Node) updateReachability(backend string, e AttemptEnded) {
	zone := n.zoneOf(backend)
	switch {
	case e.ServerEnded, e.ConnectionRefused:
		// The server has ended, but its machine refuses connections and so is reachable. Its
		// neighbours are not to be avoided with it.
		n.reach.lastAnswers[zone] = n.now
		n.reach.recordFailure(backend, zone, n.now)
		n.setUnreachable(backend, true)
		return
	case e.Outcome == retry.NotSent:
		n.reach.recordFailure(backend, zone, n.now)
		n.setUnreachable(backend, true)
		n.checkZoneReachability(zone)
		return
	}
	n.reach.lastAnswers[zone] = n.now
	if n.reach.recordSuccess(backend, zone) {
		n.setUnreachable(backend, false)
		for _, other := range n.reach.resetZone(zone) {
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

// checkZoneReachability marks all servers of a zone as unreachable for a backoff once
// connections to several of them have failed. The instance's own zone is excluded: a server
// there that cannot be reached is down, and the others are not.
func (n *Node) checkZoneReachability(zone string) {
	if zone == "" || zone == n.settings.Zone {
		return
	}
	backoff, unreachable := n.reach.zoneUnreachable(zone, n.serversInZone(zone), n.now)
	if !unreachable {
		return
	}
	n.emit(StateChanged{Subject: SubjectZone, Name: zone, State: "unreachable", Cause: "its servers cannot be connected to"})
	for _, p := range n.pools {
		for i := range p.candidates {
			c := &p.candidates[i]
			if c.Zone == zone && !c.Unreachable {
				n.reach.markUnreachable(c.Name, zone, n.now, backoff)
				n.setUnreachable(c.Name, true)
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
