package core

import (
	"slices"
	"time"
)

// The wait after which a backend server that could not be connected to is tried
// again: doubled with each failure, so that one request in a while pays for a
// server that is cut off, not every request that the ranking sends there.
const (
	reachFirstWait = 500 * time.Millisecond
	reachLastWait  = 16 * time.Second
)

// When a whole availability zone counts as cut off: so many of its servers, and no
// fewer, could not be connected to within so long. One at a time, each of the zone's
// servers would cost a request the wait for its connection.
const (
	zoneSuspects = 2
	zoneWindow   = 2 * time.Second
	// zoneMemory is how long a suspicion is remembered: a failure in that time brings it
	// back at once, for twice as long.
	zoneMemory = 20 * time.Second
	// zoneLastWait bounds how long a zone is left alone, since one that has healed is
	// missed by the sessions that were at home there.
	zoneLastWait = 4 * time.Second
)

// reachability remembers to which backend servers this instance cannot connect.
// It is this instance's own view: another one may reach them, so nothing of it
// enters the membership.
type reachability struct {
	servers map[string]*reachState
	zones   map[string]*zoneState
}

// zoneState is a zone that seemed cut off.
type zoneState struct {
	wait  time.Duration
	since time.Time
}

func newReachability() reachability {
	return reachability{servers: make(map[string]*reachState), zones: make(map[string]*zoneState)}
}

type reachState struct {
	wait  time.Duration
	until time.Time
	// failedAt is when a connection last could not be made.
	failedAt time.Time
	// zone is the server's.
	zone string
	// waiting is set until the wait has passed.
	waiting bool
}

// failed counts a connection that could not be made.
func (m reachability) failed(backend, zone string, now time.Time) {
	s := m.servers[backend]
	if s == nil {
		s = &reachState{wait: reachFirstWait / 2, zone: zone}
		m.servers[backend] = s
	}
	s.failedAt = now
	if s.waiting {
		return
	}
	s.wait = min(2*s.wait, reachLastWait)
	s.until, s.waiting = now.Add(s.wait), true
}

// suspect marks a server that was not tried, because its zone seems cut off.
func (m reachability) suspect(backend, zone string, now time.Time, wait time.Duration) {
	if m.servers[backend] == nil {
		m.servers[backend] = &reachState{zone: zone, wait: reachFirstWait}
	}
	s := m.servers[backend]
	s.until, s.waiting = now.Add(wait), true
}

// zoneCut tells whether a zone's other servers need not be tried one by one, since
// several of them fail, or one does shortly after the zone was suspected; and for how
// long they are to be left alone.
func (m reachability) zoneCut(zone string, now time.Time) (time.Duration, bool) {
	if z := m.zones[zone]; z != nil && now.Sub(z.since) < zoneMemory {
		z.wait, z.since = min(2*z.wait, zoneLastWait), now
		return z.wait, true
	}
	failing := 0
	for _, s := range m.servers {
		if s.zone == zone && !s.failedAt.IsZero() && now.Sub(s.failedAt) <= zoneWindow {
			failing++
		}
	}
	if failing < zoneSuspects {
		return 0, false
	}
	m.zones[zone] = &zoneState{wait: reachFirstWait, since: now}
	return reachFirstWait, true
}

// connected forgets past failures and tells whether there were any, or the zone was
// suspected.
func (m reachability) connected(backend, zone string) bool {
	_, failed := m.servers[backend]
	failed = failed || m.zones[zone] != nil
	delete(m.servers, backend)
	return failed
}

// healed forgets the marks of a zone's servers, once one of them was connected to,
// and returns them, sorted.
func (m reachability) healed(zone string) []string {
	delete(m.zones, zone)
	var list []string
	for backend, s := range m.servers {
		if s.zone == zone {
			list = append(list, backend)
			delete(m.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}

func (m reachability) unreachable(backend string, now time.Time) bool {
	s := m.servers[backend]
	return s != nil && s.waiting && now.Before(s.until)
}

// due returns the backend servers whose wait has just passed, sorted. States of
// backend servers that nobody tried again for long are dropped.
func (m reachability) due(now time.Time) []string {
	var list []string
	for backend, s := range m.servers {
		switch {
		case s.waiting && !now.Before(s.until):
			s.waiting = false
			list = append(list, backend)
		case !s.waiting && now.Sub(s.until) > 4*reachLastWait:
			delete(m.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}
