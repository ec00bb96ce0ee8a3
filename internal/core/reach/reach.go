// Package reach tracks which backend servers and availability zones an instance cannot connect to.
// This is local to the instance: others may reach these servers, so it never enters the membership.
package reach

import (
	"slices"
	"time"
)

// Bounds of the backoff before an unreachable backend server is tried again. The backoff
// doubles with each failed connection, so that only an occasional request pays for a server
// that is cut off, and not every request that the ranking sends there.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 16 * time.Second
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

// Tracker tracks the backend servers to which this instance cannot connect. It is not safe for
// concurrent use.
type Tracker struct {
	servers map[string]*serverState
	zones   map[string]*zoneState
	// lastAnswers holds the time of the last answer from any server of each zone.
	lastAnswers map[string]time.Time
}

// zoneState is the backoff state of a zone that counts, or recently counted, as unreachable.
type zoneState struct {
	backoff  time.Duration
	markedAt time.Time
}

// New returns a tracker for which all servers are reachable.
func New() *Tracker {
	return &Tracker{
		servers: make(map[string]*serverState), zones: make(map[string]*zoneState), lastAnswers: make(map[string]time.Time),
	}
}

// serverState is the backoff state of one backend server.
type serverState struct {
	backoff time.Duration
	retryAt time.Time
	// failedAt is the time of the last failed connection.
	failedAt time.Time
	// zone is the server's availability zone.
	zone string
	// backingOff reports whether the backoff is still running.
	backingOff bool
}

// RecordAnswer records that a server of a zone answered, or refused a connection: its zone is reachable.
func (t *Tracker) RecordAnswer(zone string, now time.Time) { t.lastAnswers[zone] = now }

// AnsweredWithin reports whether a server of a zone answered within a time.
func (t *Tracker) AnsweredWithin(zone string, within time.Duration, now time.Time) bool {
	return now.Sub(t.lastAnswers[zone]) < within
}

// RecordFailure records a failed connection.
func (t *Tracker) RecordFailure(backend, zone string, now time.Time) {
	s := t.servers[backend]
	if s == nil {
		s = &serverState{backoff: minBackoff / 2, zone: zone}
		t.servers[backend] = s
	}
	s.failedAt = now
	if s.backingOff {
		return
	}
	s.backoff = min(2*s.backoff, maxBackoff)
	s.retryAt, s.backingOff = now.Add(s.backoff), true
}

// MarkUnreachable marks a server as unreachable that was not tried, because its zone counts
// as unreachable.
func (t *Tracker) MarkUnreachable(backend, zone string, now time.Time, backoff time.Duration) {
	if t.servers[backend] == nil {
		t.servers[backend] = &serverState{zone: zone, backoff: minBackoff}
	}
	s := t.servers[backend]
	s.retryAt, s.backingOff = now.Add(backoff), true
}

// ZoneUnreachable reports whether a zone counts as unreachable, so that its other servers are
// not tried one by one, and for how long. That is the case if connections to several of its
// servers fail and none answers, or if one fails within zoneOutageMemory after the zone last
// counted as unreachable.
func (t *Tracker) ZoneUnreachable(zone string, servers int, now time.Time) (time.Duration, bool) {
	contact := t.lastAnswers[zone]
	if now.Sub(contact) < zoneMinSilence {
		return 0, false
	}
	if z := t.zones[zone]; z != nil && now.Sub(z.markedAt) < zoneOutageMemory {
		return t.ZoneBackoff(zone, now), true
	}
	failing := 0
	for _, s := range t.servers {
		if s.zone == zone && s.failedAt.After(contact) && now.Sub(s.failedAt) <= zoneFailureWindow {
			failing++
		}
	}
	if failing < min(max(zoneMinFailures, servers/3), zoneMaxFailures) {
		return 0, false
	}
	return t.ZoneBackoff(zone, now), true
}

// ZoneBackoff records that a zone counts as unreachable from now on, and returns for how long its servers are not tried: twice as
// long as before if it did so within zoneOutageMemory.
func (t *Tracker) ZoneBackoff(zone string, now time.Time) time.Duration {
	z := t.zones[zone]
	if z == nil || now.Sub(z.markedAt) >= zoneOutageMemory {
		z = &zoneState{backoff: minBackoff / 2}
		t.zones[zone] = z
	}
	z.backoff, z.markedAt = min(2*z.backoff, zoneMaxBackoff), now
	return z.backoff
}

// RecordSuccess clears the failures of a server and reports whether there were any, or
// whether its zone counted as unreachable.
func (t *Tracker) RecordSuccess(backend, zone string) bool {
	_, failed := t.servers[backend]
	failed = failed || t.zones[zone] != nil
	delete(t.servers, backend)
	return failed
}

// ResetZone clears the state of a zone and its servers once one of them was connected to, and
// returns those servers, sorted by name.
func (t *Tracker) ResetZone(zone string) []string {
	delete(t.zones, zone)
	var list []string
	for backend, s := range t.servers {
		if s.zone == zone {
			list = append(list, backend)
			delete(t.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}

// Unreachable reports whether the backoff of a backend server is still running.
func (t *Tracker) Unreachable(backend string, now time.Time) bool {
	s := t.servers[backend]
	return s != nil && s.backingOff && now.Before(s.retryAt)
}

// ElapsedBackoffs returns the backend servers whose backoff has just elapsed, sorted by name.
// It drops the state of servers that have not been tried again for four times the maximum
// backoff.
func (t *Tracker) ElapsedBackoffs(now time.Time) []string {
	var list []string
	for backend, s := range t.servers {
		switch {
		case s.backingOff && !now.Before(s.retryAt):
			s.backingOff = false
			list = append(list, backend)
		case !s.backingOff && now.Sub(s.retryAt) > 4*maxBackoff:
			delete(t.servers, backend)
		}
	}
	slices.Sort(list)
	return list
}
