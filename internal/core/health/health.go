// Package health tells the backend servers whose answers fail more often than those
// of the rest of their service.
//
// Health checks are not asked: they cost what a request does, pass at servers that
// fail every other request, and fail at servers that work. An instance sees few
// answers of each server, so the peers' counts are added to its own.
package health

import (
	"slices"
	"time"
)

const (
	// bucket and buckets make up the window over which answers are counted: long enough
	// for a handful of answers of each server over the fleet, short enough that a server
	// which recovered is soon judged by what it does now.
	bucket  = 500 * time.Millisecond
	buckets = 8
	// leastFailures is how many failures in the window make a server suspect at all.
	// Two happen to any server by chance on a busy day.
	leastFailures = 3
	// leastShare is the least share of failed answers of a suspect, and times how often
	// it must exceed that of the others, which fail some requests on their own account.
	leastShare = 0.2
	times      = 3
	// firstHold is how long a suspect is left alone; it doubles with each further
	// suspicion up to lastHold, and begins anew after forgiveAfter without one.
	firstHold    = 2 * time.Second
	lastHold     = 16 * time.Second
	forgiveAfter = 20 * time.Second
)

// Count is a number of answers and of failures among them.
type Count struct {
	Answers  int
	Failures int
}

func (c *Count) add(other Count) {
	c.Answers += other.Answers
	c.Failures += other.Failures
}

// Tracker counts the answers of backend servers. Names are unique in the fleet.
type Tracker struct {
	servers map[string]*server
}

type server struct {
	// window holds the counts by bucket, the current one at slot.
	window [buckets]Count
	slot   int
	since  time.Time
	// until is how long a suspect is left alone, and hold how long that was.
	until time.Time
	hold  time.Duration
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: make(map[string]*server)} }

// Add counts answers of a backend server.
func (t *Tracker) Add(name string, c Count, now time.Time) {
	s := t.servers[name]
	if s == nil {
		s = &server{since: now}
		t.servers[name] = s
	}
	s.turn(now)
	s.window[s.slot].add(c)
}

// turn moves the window on to now.
func (s *server) turn(now time.Time) {
	for moved := 0; now.Sub(s.since) >= bucket; moved++ {
		if moved == buckets {
			s.since = now
			return
		}
		s.slot = (s.slot + 1) % buckets
		s.window[s.slot] = Count{}
		s.since = s.since.Add(bucket)
	}
}

func (s *server) sum(now time.Time) Count {
	s.turn(now)
	var sum Count
	for _, c := range s.window {
		sum.add(c)
	}
	return sum
}

// Suspect tells whether a backend server is to be left alone for now.
func (t *Tracker) Suspect(name string, now time.Time) bool {
	s := t.servers[name]
	return s != nil && now.Before(s.until)
}

// Judge compares the servers of one service with each other and returns those that
// have become suspect, sorted. Where all fail alike, none is worse to send to than
// the others, and none is suspect.
func (t *Tracker) Judge(names []string, now time.Time) []string {
	var all Count
	for _, name := range names {
		if s := t.servers[name]; s != nil {
			all.add(s.sum(now))
		}
	}
	var found []string
	for _, name := range names {
		s := t.servers[name]
		if s == nil || now.Before(s.until) || !worse(s.sum(now), all) {
			continue
		}
		s.suspect(now)
		found = append(found, name)
	}
	slices.Sort(found)
	return found
}

// worse tells whether a server's answers fail far more often than the others'.
func worse(own, all Count) bool {
	if own.Failures < leastFailures {
		return false
	}
	share := float64(own.Failures) / float64(max(1, own.Answers))
	others := Count{Answers: all.Answers - own.Answers, Failures: all.Failures - own.Failures}
	if others.Answers == 0 {
		return false
	}
	return share >= leastShare && share > times*float64(others.Failures)/float64(others.Answers)
}

func (s *server) suspect(now time.Time) {
	if now.Sub(s.until) > forgiveAfter {
		s.hold = 0
	}
	s.hold = min(max(firstHold, 2*s.hold), lastHold)
	s.until = now.Add(s.hold)
	// What it did until now is judged already.
	s.window = [buckets]Count{}
}

// Keep drops what is known of servers that keep does not want.
func (t *Tracker) Keep(keep func(name string) bool) {
	for name := range t.servers {
		if !keep(name) {
			delete(t.servers, name)
		}
	}
}
