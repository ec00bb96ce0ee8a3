// Package paths tracks over which paths an instance reaches the backend servers: by its own connections,
// or by a connection that another instance relays.
//
// A failed connection alone does not tell whether the server is down or only this instance's path to it
// is lost. A peer that connects to the same server at the same moment does. A server that only relays
// reach is not down: it keeps its requests, and the direct path is tried beside a relay until it is back.
package paths

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Mode selects the paths that an attempt to connect uses.
type Mode string

// The modes.
const (
	// DirectFirst connects directly and uses relays if that fails or takes long.
	DirectFirst Mode = ""
	// Both connects directly and through a relay at the same time, and uses what is first.
	Both Mode = "both"
	// RelayOnly connects through relays only, because the direct path is known to be lost.
	RelayOnly Mode = "relay-only"
)

// Result is the result of one path of an attempt to connect.
type Result string

// The results.
const (
	// Connected means that the server accepted the connection.
	Connected Result = "connected"
	// Refused means that the server's machine, or a device on the path, refused it.
	Refused Result = "refused"
	// TimedOut means that there was no response in time.
	TimedOut Result = "timed-out"
	// NoRelay means that the peer did not try: it could not be reached, does not relay, or has lost its
	// own path to the server.
	NoRelay Result = "no-relay"
)

// Observation is the result of one path to a backend server.
type Observation struct {
	// Relay is the instance that relays, or empty for the direct path.
	Relay  string `json:"relay,omitempty"`
	Result Result `json:"result"`
}

// Bounds of the backoff before the direct path is tried again. Such a try runs beside a relay and delays
// no request, so it may be frequent.
const (
	minProbeBackoff = 250 * time.Millisecond
	maxProbeBackoff = 2 * time.Second
)

// Bounds of the time for which an instance that did not relay is asked last.
const (
	minRelayBackoff = 500 * time.Millisecond
	maxRelayBackoff = 8 * time.Second
)

const (
	// doubtThreshold is the number of servers of a service whose direct paths must be lost before those
	// of its other servers are doubted: one lost path may belong to a single machine.
	doubtThreshold = 2
	// provenFor is the time for which an instance that relayed is asked before others.
	provenFor = 5 * time.Second
	// minUnreached is the smallest number of servers, and unreachedShare the share of a service's servers,
	// that no path reached from which none is expected to be reached: in a zone that is cut off, or after a
	// rack has failed, many are not. unreachedFor is the time for which such a result counts.
	minUnreached   = 3
	unreachedShare = 0.5
	unreachedFor   = 3 * time.Second
	// forgetAfter is the time without a try after which a lost path is forgotten.
	forgetAfter = time.Minute
)

// Tracker tracks the paths of one instance. It is not safe for concurrent use.
type Tracker struct {
	lost     map[string]*lostPath
	services map[string]*serviceState
	relays   map[string]*relayState
}

// lostPath is the state of a server whose direct path is lost.
type lostPath struct {
	service string
	backoff time.Duration
	probeAt time.Time
	triedAt time.Time
}

// serviceState holds the evidence on the direct paths to the servers of a service.
type serviceState struct {
	// lostAt is the time of the last loss, and connectedAt that of the last direct connection.
	lostAt, connectedAt time.Time
	// unreached maps the servers that no path reached to the time of that, since the last one was reached.
	unreached map[string]time.Time
}

// relayState is what is known of an instance that was asked to relay.
type relayState struct {
	// connectedAt is the time of its last success, zero after a failure.
	connectedAt time.Time
	// backoff is the last backoff after a failure, which lasts until a time.
	backoff time.Duration
	until   time.Time
}

// New returns a tracker for which all direct paths are good.
func New() *Tracker {
	return &Tracker{
		lost: make(map[string]*lostPath), services: make(map[string]*serviceState), relays: make(map[string]*relayState),
	}
}

// Change is what an observation changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// Lost means that the direct path to the server is now known to be lost.
	Lost
	// Restored means that the direct path is good again.
	Restored
)

// Observe records the results of one attempt to connect to a server.
func (t *Tracker) Observe(service, server string, list []Observation, now time.Time) Change {
	t.observeRelays(list, now)
	t.observeReach(service, server, list, now)
	direct := slices.IndexFunc(list, func(o Observation) bool { return o.Relay == "" })
	switch {
	case direct >= 0 && list[direct].Result == Connected:
		return t.connected(service, server, now)
	case t.lost[server] != nil:
		t.lost[server].triedAt = now
		return Unchanged
	case direct >= 0 && relayed(list):
		t.lost[server] = &lostPath{service: service, backoff: minProbeBackoff, probeAt: now.Add(minProbeBackoff), triedAt: now}
		t.service(service).lostAt = now
		return Lost
	default:
		return Unchanged
	}
}

// observeReach records whether any path reached a server.
func (t *Tracker) observeReach(service, server string, list []Observation, now time.Time) {
	if slices.ContainsFunc(list, func(o Observation) bool { return o.Result == Connected }) {
		t.Reached(service)
		return
	}
	t.service(service).unreached[server] = now
}

// Reached records that a server of a service was reached.
func (t *Tracker) Reached(service string) {
	if s := t.services[service]; s != nil {
		clear(s.unreached)
	}
}

// NoneReached reports whether no path reaches any of a service's servers, as far as a few recent attempts
// tell: none has succeeded since, and they were at many of the servers.
func (t *Tracker) NoneReached(service string, servers int, now time.Time) bool {
	s := t.services[service]
	if s == nil {
		return false
	}
	recent := 0
	for _, at := range s.unreached {
		if now.Sub(at) < unreachedFor {
			recent++
		}
	}
	return recent >= min(servers, max(minUnreached, int(unreachedShare*float64(servers))))
}

// ConfirmsEnd decides whether a server's process that seems to have ended has done so. checks are what peers found that tried to connect
// to it since. The instance's own observation is not enough: a device on its path may reset its connections and refuse new ones. A peer that
// connects disproves the end, and one that is refused as well confirms it. Without a peer's word the own observation counts, unless
// the path is known to be lost or doubted.
func (t *Tracker) ConfirmsEnd(server, service string, checks []Observation) (ended, disproved bool) {
	found := func(result Result) bool {
		return slices.ContainsFunc(checks, func(o Observation) bool { return o.Result == result })
	}
	switch {
	case found(Connected):
		return false, true
	case found(Refused):
		return true, false
	default:
		return !t.IsLost(server) && !t.Doubtful(service), false
	}
}

// Unreached reports whether an attempt within unreachedFor found that no path reaches a server of a service.
func (t *Tracker) Unreached(service, server string, now time.Time) bool {
	s := t.services[service]
	if s == nil {
		return false
	}
	at, known := s.unreached[server]
	return known && now.Sub(at) < unreachedFor
}

// relayed reports whether any relay connected.
func relayed(list []Observation) bool {
	return slices.ContainsFunc(list, func(o Observation) bool { return o.Relay != "" && o.Result == Connected })
}

// connected records a direct connection. If the path to the server was lost, the paths to the others of
// its service are tried again at once.
func (t *Tracker) connected(service, server string, now time.Time) Change {
	t.service(service).connectedAt = now
	if t.lost[server] == nil {
		return Unchanged
	}
	delete(t.lost, server)
	for _, w := range t.lost {
		if w.service == service {
			w.probeAt, w.backoff = now, minProbeBackoff
		}
	}
	return Restored
}

// observeRelays records which instances relayed. An instance that found the server down, as all
// others did, relays well. One that did not reach a server that another one reached has probably lost
// its own path.
func (t *Tracker) observeRelays(list []Observation, now time.Time) {
	reached := slices.ContainsFunc(list, func(o Observation) bool { return o.Result == Connected })
	for _, o := range list {
		switch {
		case o.Relay == "":
		case o.Result == Connected:
			t.relays[o.Relay] = &relayState{connectedAt: now}
		case o.Result == NoRelay || reached:
			t.relayFailed(o.Relay, now)
		}
	}
}

func (t *Tracker) relayFailed(name string, now time.Time) {
	r := t.relays[name]
	if r == nil {
		r = &relayState{}
		t.relays[name] = r
	}
	r.connectedAt = time.Time{}
	if now.Before(r.until) {
		return
	}
	r.backoff = min(max(2*r.backoff, minRelayBackoff), maxRelayBackoff)
	r.until = now.Add(r.backoff)
}

func (t *Tracker) service(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{unreached: make(map[string]time.Time)}
		t.services[name] = s
	}
	return s
}

// NextMode returns the mode of the next attempt to connect to a server. A lost direct path is tried by
// one attempt per backoff.
func (t *Tracker) NextMode(service, server string, now time.Time) Mode {
	w := t.lost[server]
	switch {
	case w == nil && t.Doubtful(service):
		return Both
	case w == nil:
		return DirectFirst
	case now.Before(w.probeAt):
		return RelayOnly
	}
	w.backoff = min(2*w.backoff, maxProbeBackoff)
	w.probeAt, w.triedAt = now.Add(w.backoff), now
	return Both
}

// IsLost reports whether the direct path to a server is lost.
func (t *Tracker) IsLost(server string) bool { return t.lost[server] != nil }

// Doubtful reports whether the direct paths to the other servers of a service are doubted as well:
// several are lost, and no direct connection has succeeded since.
func (t *Tracker) Doubtful(service string) bool {
	s := t.services[service]
	if s == nil || s.connectedAt.After(s.lostAt) {
		return false
	}
	count := 0
	for _, w := range t.lost {
		if w.service == service {
			count++
		}
	}
	return count >= doubtThreshold
}

// RelayUsable reports whether an instance may be asked to relay before others.
func (t *Tracker) RelayUsable(name string, now time.Time) bool {
	r := t.relays[name]
	return r == nil || !now.Before(r.until)
}

// ProvenRelays returns the instances that have relayed lately, sorted by name.
func (t *Tracker) ProvenRelays(now time.Time) []string {
	var list []string
	for name, r := range t.relays {
		if !r.connectedAt.IsZero() && now.Sub(r.connectedAt) < provenFor {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Expire forgets the lost paths of servers that are no longer known or were not tried for long, and
// the relays that failed long ago. It reports whether a lost path was forgotten.
func (t *Tracker) Expire(known func(server string) bool, now time.Time) bool {
	before := len(t.lost)
	for server, w := range t.lost {
		if !known(server) || now.Sub(w.triedAt) > forgetAfter {
			delete(t.lost, server)
		}
	}
	for _, s := range t.services {
		for server, at := range s.unreached {
			if now.Sub(at) >= unreachedFor {
				delete(s.unreached, server)
			}
		}
	}
	for name, r := range t.relays {
		if now.Sub(r.until) > forgetAfter && now.Sub(r.connectedAt) > forgetAfter {
			delete(t.relays, name)
		}
	}
	return len(t.lost) != before
}

// Error is the failure of one path of an attempt to connect, with its result.
type Error struct {
	Result Result
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return string(e.Result) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ResultOf returns the result of a path from the error with which it ended, nil if it connected.
func ResultOf(err error) Result {
	var path *Error
	switch {
	case err == nil:
		return Connected
	case errors.As(err, &path):
		return path.Result
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refused
	default:
		return TimedOut
	}
}
