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
)

// reachability remembers to which backend servers this instance cannot connect.
// It is this instance's own view: another one may reach them, so nothing of it
// enters the membership.
type reachability map[string]*reachState

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
	s := m[backend]
	if s == nil {
		s = &reachState{wait: reachFirstWait / 2, zone: zone}
		m[backend] = s
	}
	s.failedAt = now
	if s.waiting {
		return
	}
	s.wait = min(2*s.wait, reachLastWait)
	s.until, s.waiting = now.Add(s.wait), true
}

// suspect marks a server that was not tried, because its zone seems cut off.
func (m reachability) suspect(backend, zone string, now time.Time) {
	if m[backend] == nil {
		m[backend] = &reachState{zone: zone, wait: reachFirstWait, until: now.Add(reachFirstWait), waiting: true}
	}
}

// zoneCut tells whether so many servers of a zone fail that the others need not be
// tried one by one.
func (m reachability) zoneCut(zone string, now time.Time) bool {
	failing := 0
	for _, s := range m {
		if s.zone == zone && !s.failedAt.IsZero() && now.Sub(s.failedAt) <= zoneWindow {
			failing++
		}
	}
	return failing >= zoneSuspects
}

// connected forgets past failures and tells whether there were any.
func (m reachability) connected(backend string) bool {
	_, failed := m[backend]
	delete(m, backend)
	return failed
}

// healed forgets the marks of a zone's servers, once one of them was connected to,
// and returns them, sorted.
func (m reachability) healed(zone string) []string {
	var list []string
	for backend, s := range m {
		if s.zone == zone {
			list = append(list, backend)
			delete(m, backend)
		}
	}
	slices.Sort(list)
	return list
}

func (m reachability) unreachable(backend string, now time.Time) bool {
	s := m[backend]
	return s != nil && s.waiting && now.Before(s.until)
}

// due returns the backend servers whose wait has just passed, sorted. States of
// backend servers that nobody tried again for long are dropped.
func (m reachability) due(now time.Time) []string {
	var list []string
	for backend, s := range m {
		switch {
		case s.waiting && !now.Before(s.until):
			s.waiting = false
			list = append(list, backend)
		case !s.waiting && now.Sub(s.until) > 4*reachLastWait:
			delete(m, backend)
		}
	}
	slices.Sort(list)
	return list
}
