// Package health detects outliers: backend servers whose responses fail more often than those of
// the other servers of their service.
//
// It does not use active health checks. They cost as much as a request, pass at servers that fail
// every other request, and fail at servers that work. An instance gets few responses from each
// server, so the peers' counts are added to its own.
package health

import (
	"slices"
	"time"
)

const (
	// bucket is the length and buckets the number of the intervals that form the sliding
	// window. The window is long enough for a handful of responses from each server over the
	// whole fleet, and short enough that a server that has recovered is soon compared by recent
	// responses only.
	bucket  = 500 * time.Millisecond
	buckets = 8
	// leastFailures is the minimum number of failures in the window for an outlier. Two failures
	// occur at any server by chance on a busy day.
	leastFailures = 3
	// leastShare is the minimum share of failed responses of an outlier. times is the factor by
	// which it must exceed the share of the other servers, at which some requests also fail.
	leastShare = 0.2
	times      = 3
	// firstHold is the time for which a server is first marked as an outlier. It doubles with
	// each further detection, up to lastHold, and is reset after forgiveAfter without one.
	firstHold    = 2 * time.Second
	lastHold     = 16 * time.Second
	forgiveAfter = 20 * time.Second
)

// Count is a number of responses and the number of failures among them.
type Count struct {
	Answers  int
	Failures int
}

func (c *Count) add(other Count) {
	c.Answers += other.Answers
	c.Failures += other.Failures
}

// Tracker counts the responses of backend servers. Names of backend servers are unique in the
// fleet.
type Tracker struct {
	servers map[string]*server
}

// server holds the counts of one backend server.
type server struct {
	// window holds the counts per bucket as a ring; the current bucket is at slot and began at
	// since.
	window [buckets]Count
	slot   int
	since  time.Time
	// until is the end of the period for which the server counts as an outlier, and hold the
	// length of the last such period.
	until time.Time
	hold  time.Duration
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: make(map[string]*server)} }

// Add counts responses of a backend server.
func (t *Tracker) Add(name string, c Count, now time.Time) {
	s := t.servers[name]
	if s == nil {
		s = &server{since: now}
		t.servers[name] = s
	}
	s.turn(now)
	s.window[s.slot].add(c)
}

// turn advances the window to now.
func (s *server) turn(now time.Time) {
	for advanced := 0; now.Sub(s.since) >= bucket; advanced++ {
		if advanced == buckets {
			s.since = now
			return
		}
		s.slot = (s.slot + 1) % buckets
		s.window[s.slot] = Count{}
		s.since = s.since.Add(bucket)
	}
}

// sum returns the counts over the whole window.
func (s *server) sum(now time.Time) Count {
	s.turn(now)
	var sum Count
	for _, c := range s.window {
		sum.add(c)
	}
	return sum
}

// Suspect reports whether a backend server currently counts as an outlier.
func (t *Tracker) Suspect(name string, now time.Time) bool {
	s := t.servers[name]
	return s != nil && now.Before(s.until)
}

// Judge compares the servers of one service with each other, marks new outliers, and returns
// them, sorted. If all servers fail equally often, none is a worse choice than the others, and
// none is an outlier.
func (t *Tracker) Judge(names []string, now time.Time) []string {
	var all Count
	for _, name := range names {
		if s := t.servers[name]; s != nil {
			all.add(s.sum(now))
		}
	}
	var outliers []string
	for _, name := range names {
		s := t.servers[name]
		if s == nil || now.Before(s.until) || !worse(s.sum(now), all) {
			continue
		}
		s.suspect(now)
		outliers = append(outliers, name)
	}
	slices.Sort(outliers)
	return outliers
}

// worse reports whether a server's responses fail far more often than those of the others.
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

// suspect marks the server as an outlier and doubles the time for which it stays marked.
func (s *server) suspect(now time.Time) {
	if now.Sub(s.until) > forgiveAfter {
		s.hold = 0
	}
	s.hold = min(max(firstHold, 2*s.hold), lastHold)
	s.until = now.Add(s.hold)
	// The responses up to now have led to this detection and must not lead to another.
	s.window = [buckets]Count{}
}

// Keep drops the servers for which keep returns false.
func (t *Tracker) Keep(keep func(name string) bool) {
	for name := range t.servers {
		if !keep(name) {
			delete(t.servers, name)
		}
	}
}
