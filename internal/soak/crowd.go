package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// crowdShare is the share of requests that reach one instance while the balancer crowds it.
	crowdShare = 0.8
	// minCrowdDuration is the least time for which it does. The first contactTime of it does not count.
	minCrowdDuration = contactTime + 2*time.Second
	// minCrowded and minBeside are the numbers of requests from which the share that is served is checked, and
	// minCrowdedShare the least share, as a part of that of the others.
	minCrowded, minBeside, minCrowdedShare = 20, 8, 0.75
)

// crowd makes the balancer give most new connections to one instance.
func (w *World) crowd(p faultParams) {
	i := w.randomInstance(p)
	if !w.crowded.CompareAndSwap(nil, &crowding{instance: i, since: w.recorder.elapsed()}) {
		return
	}
	time.Sleep(max(p.duration, minCrowdDuration))
	w.crowded.Store(nil)
}

// crowding is an instance that gets most new connections since a time.
type crowding struct {
	instance *instance
	since    time.Duration
}

// chooseInstance returns the instance for a request, as the balancer chooses it.
func (w *World) chooseInstance(random *rand.Rand) *instance {
	i := w.instances[random.IntN(len(w.instances))]
	if c := w.crowded.Load(); c != nil && random.Float64() < crowdShare {
		return c.instance
	}
	return i
}

// countCrowded counts whether a request at an undisturbed instance was served at its first attempt while one instance is
// crowded, at that instance or beside it: servers that are all away at that time fail both alike.
func (w *World) countCrowded(i *instance, served bool) {
	c := w.crowded.Load()
	if c == nil || w.recorder.elapsed()-c.since < contactTime {
		return
	}
	count := &w.streams.beside
	if i == c.instance {
		count = &w.streams.crowded
	}
	w.countStream(count, served)
}

// checkCrowded checks that a crowded instance serves about as often as the others beside it.
func (w *World) checkCrowded() {
	s := &w.streams
	enough := s.crowded.sent >= minCrowded && s.beside.sent >= minBeside
	if enough && s.crowded.share() < minCrowdedShare*s.beside.share() {
		w.recorder.recordViolation("a crowded instance serves as others do", "all",
			fmt.Sprintf("%d of %d, beside it %d of %d", s.crowded.served, s.crowded.sent, s.beside.served, s.beside.sent))
	}
	w.recorder.add("sent to a crowded instance", s.crowded.sent)
}
