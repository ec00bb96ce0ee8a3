package warmup

import "time"

const (
	// entryLag is the time by which a server's entry may be late: an interval between heartbeats of 1.2 s and up to 0.8 s on
	// the way. An entry that arrives within it after a sign may be of the process that ended.
	entryLag = 2 * time.Second
	// signHold is the time after which a sign is forgotten if the server was not known to be up since. It exceeds the longest
	// backoff of an unreachable server, so that each failed attempt in between renews the sign.
	signHold = 20 * time.Second
	// signSpacing is the time between two signs that count as separate: the observations of one end by several
	// instances, and its delays on the way through peers, are closer.
	signSpacing = time.Second
	// answeredLately is the time since a server's last answer within which one failed connection is no sign: packets are lost
	// as well.
	answeredLately = time.Second
	// failedDials is the number of failed connections in a row from which they are one nevertheless.
	failedDials = 2
	// maxForwardedAge is the age from which a sign is not passed on to peers.
	maxForwardedAge = 5 * time.Second
)

// Cause says why a server is cold.
type Cause string

// The causes.
const (
	ByEntry   Cause = "its entry says that it warms up"
	Started   Cause = "another process has started"
	ZoneAgain Cause = "its zone is in use again"
	Ended     Cause = "its process may have ended"
)

// Servers holds which backend servers are cold. It is not safe for concurrent use.
type Servers struct {
	byName map[string]*server
	// incarnations holds the newest known incarnation of each server.
	incarnations map[string]uint64
	// contacts holds what this instance last heard of each server.
	contacts map[string]contact
}

// contact is the time of a server's last answer and the number of connections that have failed since.
type contact struct {
	answeredAt time.Time
	failed     int
}

// server is the state of one server that is, or was lately, cold.
type server struct {
	// until is the time until which the server is cold, apart from a sign.
	until time.Time
	cause Cause
	// signAt is the time of the last sign that its process may have ended, newsAt that of the last one that was news, and upAt
	// the last time at which a process is known to have been up.
	signAt, newsAt, upAt time.Time
	// uncertain is set if the last sign that was news is no proof.
	uncertain bool
	// ends are the times of the ends while the server was cold, within endMemory.
	ends []time.Time
}

// New returns the state in which no server is cold.
func New() *Servers {
	return &Servers{byName: make(map[string]*server), incarnations: make(map[string]uint64), contacts: make(map[string]contact)}
}

func (t *Servers) server(name string) *server {
	s := t.byName[name]
	if s == nil {
		s = &server{}
		t.byName[name] = s
	}
	return s
}

// signed reports whether the process may have ended and no later one is known to be up.
func (s *server) signed(now time.Time) bool {
	return s.signAt.After(s.upAt) && now.Sub(s.signAt) < signHold
}

func (s *server) cold(now time.Time) bool { return now.Before(s.until) || s.signed(now) }

// extend makes the server cold until a time, if it is not for longer.
func (s *server) extend(until time.Time, cause Cause) {
	if until.After(s.until) {
		s.until, s.cause = until, cause
	}
}

// Cold reports whether a server is cold.
func (t *Servers) Cold(name string, now time.Time) bool {
	s := t.byName[name]
	return s != nil && s.cold(now)
}

// State describes a cold server for operators.
type State struct {
	// Until is the time until which the server is cold; zero if it must be reached first.
	Until time.Time
	Cause Cause
	// Sign is the time of the sign that its process may have ended, if that is the cause.
	Sign time.Time
	// Ends is the number of its ends while it was cold.
	Ends int
}

// Describe returns the state of a server, and whether it is cold.
func (t *Servers) Describe(name string, now time.Time) (State, bool) {
	s := t.byName[name]
	if s == nil || !s.cold(now) {
		return State{}, false
	}
	if s.signed(now) {
		return State{Cause: Ended, Sign: s.signAt, Ends: len(s.ends)}, true
	}
	return State{Until: s.until, Cause: s.cause, Ends: len(s.ends)}, true
}

// Remaining returns the time for which a server stays cold at least, not counting a sign.
func (t *Servers) Remaining(name string, now time.Time) time.Duration {
	if s := t.byName[name]; s != nil {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// Observe records a server's incarnation, and the remaining time of its warm-up if its entry gives one. duration is that of
// its service, 0 if it has no warm-up. An incarnation of 0 is not known. established is set if the instance knew the service's servers before, so that an
// unknown one has just started.
func (t *Servers) Observe(name string, incarnation uint64, remaining, duration time.Duration, established bool, now time.Time) {
	known, seen := t.incarnations[name]
	if seen && incarnation < known {
		return
	}
	started := seen && known > 0 && incarnation > known || !seen && established
	t.incarnations[name] = incarnation
	if remaining > 0 {
		t.server(name).extend(now.Add(remaining), ByEntry)
	} else if started && duration > 0 {
		t.server(name).extend(now.Add(duration), Started)
	}
	if s := t.byName[name]; s != nil && started {
		if s.signed(now) {
			s.extend(s.signAt.Add(entryLag+duration), Started)
		}
		s.upAt = now
	}
}

// TurnCold makes a server cold for a duration.
func (t *Servers) TurnCold(name string, duration time.Duration, cause Cause, now time.Time) {
	t.server(name).extend(now.Add(duration), cause)
}

// Sign is a sign that a server's process may have ended.
type Sign struct {
	Server string
	// At is the time of the observation.
	At time.Time
	// HeldRequest is set if the process ended while it held a request, so that it was up before.
	HeldRequest bool
	// Uncertain is set if the server may as well be cut off.
	Uncertain bool
}

// Signed records a sign and reports whether it is news.
func (t *Servers) Signed(sign Sign, now time.Time) bool {
	s := t.server(sign.Server)
	before := *s
	known := before.signed(now) && (sign.Uncertain || !before.uncertain)
	if sign.At.After(s.signAt) {
		s.signAt = sign.At
	}
	switch {
	case !sign.At.After(before.upAt):
		// A process was known to be up later.
		return false
	case known && !sign.HeldRequest:
		return false
	case !before.newsAt.IsZero() && !before.uncertain && sign.At.Sub(before.newsAt) < signSpacing:
		return false
	}
	s.newsAt, s.uncertain = sign.At, sign.Uncertain
	if before.cold(sign.At) && !before.uncertain {
		s.ends = append(s.ends, sign.At)
	}
	return true
}

// Told records a sign that a peer has sent, and reports whether it is news. A sign that comes a while after another one
// is of another end: instances do not send those that follow before the server is up again.
func (t *Servers) Told(sign Sign, now time.Time) bool {
	sign.HeldRequest = true
	return t.Signed(sign, now) && now.Sub(sign.At) < maxForwardedAge
}

// RetractUncertain forgets the sign that a server's process may have ended if it was uncertain: the server is cut off.
func (t *Servers) RetractUncertain(name string) {
	if s := t.byName[name]; s != nil && s.uncertain {
		s.signAt, s.newsAt, s.uncertain = time.Time{}, time.Time{}, false
	}
}

// DialFailed records a connection that failed without a proof that the server's process has ended, and reports whether it is a
// sign of that.
func (t *Servers) DialFailed(name string, now time.Time) bool {
	c := t.contacts[name]
	c.failed++
	t.contacts[name] = c
	return c.failed >= failedDials || now.Sub(c.answeredAt) >= answeredLately
}

// Reached records a response to an attempt that was sent at a time. duration is that of the server's service. It reports
// whether the server was waited for.
//
// After an uncertain sign, a response to an earlier attempt shows that the process has not ended.
func (t *Servers) Reached(name string, sentAt time.Time, duration time.Duration, now time.Time) bool {
	t.contacts[name] = contact{answeredAt: now}
	s := t.byName[name]
	if s == nil || !s.signed(now) {
		return false
	}
	if sentAt.Before(s.signAt) {
		if s.uncertain {
			s.upAt = now
		}
		return false
	}
	s.upAt = now
	s.extend(now.Add(duration), Ended)
	return true
}

// Ends returns the number of times that a server has ended while it was cold, within the last minute.
func (t *Servers) Ends(name string, now time.Time) int {
	s := t.byName[name]
	if s == nil {
		return 0
	}
	for len(s.ends) > 0 && now.Sub(s.ends[0]) >= endMemory {
		s.ends = s.ends[1:]
	}
	return len(s.ends)
}

// EachSigned calls f for each cold server with a certain sign, with the time of the sign that was news: attempts that failed since
// tell of no other end. A later process that is up is included while it is cold. The order is not defined.
func (t *Servers) EachSigned(now time.Time, f func(name string, at time.Time)) {
	for name, s := range t.byName {
		if s.cold(now) && !s.newsAt.IsZero() && !s.uncertain {
			f(name, s.newsAt)
		}
	}
}

// Expire forgets what no longer matters, and the incarnations of servers that are not known any more.
func (t *Servers) Expire(known func(name string) bool, now time.Time) {
	for name, s := range t.byName {
		if !s.cold(now) && t.Ends(name, now) == 0 && now.Sub(s.signAt) >= signHold {
			delete(t.byName, name)
		}
	}
	for name := range t.incarnations {
		if !known(name) {
			delete(t.incarnations, name)
		}
	}
	for name := range t.contacts {
		if !known(name) {
			delete(t.contacts, name)
		}
	}
}
