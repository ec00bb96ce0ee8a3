// Package quarantine tracks the backend servers whose bytes are no responses: malformed ones, or parts of a response whose
// rest does not come. Such a server gets no requests while others can serve them, until it has answered one again.
//
// This is local to the instance: a device on its own path may be what spoils the bytes.
package quarantine

import "time"

const (
	// minFaults is the number of faults in a row, without an answer between them, after which a server is ejected. A sound
	// server may spoil a response now and then.
	minFaults = 2
	// minHold is the time for which a server is first ejected. It doubles with each fault after that, up to maxHold.
	minHold = 2 * time.Second
	maxHold = 16 * time.Second
	// memory is the time after a hold for which faults are remembered.
	memory = time.Minute
)

// Tracker tracks the faults of backend servers. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*server
}

// server is the state of one backend server that has not answered since its last fault.
type server struct {
	faults int
	// hold is the length of the last hold, 0 if the server was not ejected yet, and heldUntil is the end of it.
	hold      time.Duration
	heldUntil time.Time
}

// New returns a tracker of servers without faults.
func New() *Tracker { return &Tracker{servers: make(map[string]*server)} }

// Fault records a response that is none, and reports whether the server is ejected from now on.
func (t *Tracker) Fault(name string, now time.Time) (ejected bool) {
	s := t.servers[name]
	if s == nil {
		s = &server{heldUntil: now}
		t.servers[name] = s
	}
	s.faults++
	if s.faults < minFaults || now.Before(s.heldUntil) {
		return false
	}
	ejected = s.hold == 0
	s.hold = min(max(minHold, 2*s.hold), maxHold)
	s.heldUntil = now.Add(s.hold)
	return ejected
}

// Answered records a whole answer of a server, and reports whether it was ejected until now.
func (t *Tracker) Answered(name string) (back bool) {
	s := t.servers[name]
	delete(t.servers, name)
	return s != nil && s.hold > 0
}

// State is what an instance may send to a server.
type State int

// The states.
const (
	// Sound servers get requests like others.
	Sound State = iota
	// OnTrial servers get one request at a time.
	OnTrial
	// Ejected servers get none while others can serve them.
	Ejected
)

// StateOf returns the state of a server.
func (t *Tracker) StateOf(name string, now time.Time) State {
	s := t.servers[name]
	switch {
	case s == nil || s.hold == 0:
		return Sound
	case now.Before(s.heldUntil):
		return Ejected
	default:
		return OnTrial
	}
}

// Forget drops the faults of a server whose process was replaced.
func (t *Tracker) Forget(name string) { delete(t.servers, name) }

// Empty reports whether no server has faults.
func (t *Tracker) Empty() bool { return len(t.servers) == 0 }

// Keep drops the servers for which keep returns false, and those that were not asked for a long time after their hold.
func (t *Tracker) Keep(now time.Time, keep func(name string) bool) {
	for name, s := range t.servers {
		if !keep(name) || now.Sub(s.heldUntil) > memory {
			delete(t.servers, name)
		}
	}
}
