// Package outlier detects outliers: backend servers whose responses fail more often than those of
// the other servers of their service.
//
// It does not use active health checks. They cost as much as a request, pass at servers that fail
// every other request, and fail at servers that work. An instance gets few responses from each
// server, so the peers' counts are added to its own.
package outlier

import (
	"slices"
	"time"
)

const (
	// bucketLength is the length and bucketCount the number of the intervals that form the sliding
	// window. The window is long enough for a handful of responses from each server over the
	// whole fleet, and short enough that a server that has recovered is soon compared by recent
	// responses only.
	bucketLength = 500 * time.Millisecond
	bucketCount  = 8
	// minFailures is the minimum number of failures in the window for an outlier. Two failures
	// occur at any server by chance on a busy day.
	minFailures = 3
	// minFailureShare is the minimum share of failed responses of an outlier. failureFactor is
	// the factor by which it must exceed the share of the other servers, at which some requests
	// also fail.
	minFailureShare = 0.2
	failureFactor   = 3
	// minHold is the time for which a server is first marked as an outlier. It doubles with
	// each further detection, up to maxHold, and is reset after holdResetAfter without one.
	minHold        = 2 * time.Second
	maxHold        = 16 * time.Second
	holdResetAfter = 20 * time.Second
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
	// window is a ring of the counts per bucket; current is the index of the current bucket,
	// which began at bucketStart.
	window      [bucketCount]Count
	current     int
	bucketStart time.Time
	// outlierUntil is the end of the period for which the server counts as an outlier, and hold
	// the length of the last such period.
	outlierUntil time.Time
	hold         time.Duration
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: make(map[string]*server)} }

// Add counts responses of a backend server.
func (t *Tracker) Add(name string, c Count, now time.Time) {
	s := t.servers[name]
	if s == nil {
		s = &server{bucketStart: now}
		t.servers[name] = s
	}
	s.advance(now)
	s.window[s.current].add(c)
}

// advance advances the window to now.
func (s *server) advance(now time.Time) {
	for advanced := 0; now.Sub(s.bucketStart) >= bucketLength; advanced++ {
		if advanced == bucketCount {
			s.bucketStart = now
			return
		}
		s.current = (s.current + 1) % bucketCount
		s.window[s.current] = Count{}
		s.bucketStart = s.bucketStart.Add(bucketLength)
	}
}

// sum returns the counts over the whole window.
func (s *server) sum(now time.Time) Count {
	s.advance(now)
	var sum Count
	for _, c := range s.window {
		sum.add(c)
	}
	return sum
}

// IsOutlier reports whether a backend server currently counts as an outlier.
func (t *Tracker) IsOutlier(name string, now time.Time) bool {
	s := t.servers[name]
	return s != nil && now.Before(s.outlierUntil)
}

// DetectOutliers compares the servers of one service with each other, marks new outliers, and
// returns them, sorted. If all servers fail equally often, none is a worse choice than the others,
// and none is an outlier.
func (t *Tracker) DetectOutliers(names []string, now time.Time) []string {
	var all Count
	for _, name := range names {
		if s := t.servers[name]; s != nil {
			all.add(s.sum(now))
		}
	}
	var outliers []string
	for _, name := range names {
		s := t.servers[name]
		if s == nil || now.Before(s.outlierUntil) || !failsMore(s.sum(now), all) {
			continue
		}
		s.markOutlier(now)
		outliers = append(outliers, name)
	}
	slices.Sort(outliers)
	return outliers
}

// failsMore reports whether a server's responses fail far more often than those of the others.
func failsMore(own, all Count) bool {
	if own.Failures < minFailures {
		return false
	}
	share := float64(own.Failures) / float64(max(1, own.Answers))
	others := Count{Answers: all.Answers - own.Answers, Failures: all.Failures - own.Failures}
	if others.Answers == 0 {
		return false
	}
	return share >= minFailureShare && share > failureFactor*float64(others.Failures)/float64(others.Answers)
}

// markOutlier marks the server as an outlier and doubles the time for which it stays marked.
func (s *server) markOutlier(now time.Time) {
	if now.Sub(s.outlierUntil) > holdResetAfter {
		s.hold = 0
	}
	s.hold = min(max(minHold, 2*s.hold), maxHold)
	s.outlierUntil = now.Add(s.hold)
	// The responses up to now have led to this detection and must not lead to another.
	s.window = [bucketCount]Count{}
}

// Keep drops the servers for which keep returns false.
func (t *Tracker) Keep(keep func(name string) bool) {
	for name := range t.servers {
		if !keep(name) {
			delete(t.servers, name)
		}
	}
}
