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
	// minCrowded is the number of requests from which the share that is served is checked, and minCrowdedShare the least
	// share, as a part of that at other times.
	minCrowded, minCrowdedShare = 20, 0.75
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

// countCrowded counts whether a request was served at its first attempt. Requests at disturbed instances, and while the
// fleet is disturbed, count nowhere.
func (w *World) countCrowded(i *instance, served bool) {
	now := w.recorder.elapsed()
	if !w.undisturbedFor(0) || i.disturbedSince(now-contactTime) {
		return
	}
	count := &w.streams.evenly
	if c := w.crowded.Load(); c != nil {
		if now-c.since < contactTime {
			return
		}
		count = &w.streams.crowded
	}
	w.countStream(count, served)
}

// checkCrowded checks that requests are served about as often while one instance gets most of them.
func (w *World) checkCrowded() {
	s := &w.streams
	if s.crowded.sent >= minCrowded && s.crowded.share() < minCrowdedShare*s.evenly.share() {
		w.recorder.recordViolation("a crowded instance serves as others do", "all",
			fmt.Sprintf("%d of %d, at other times %d of %d", s.crowded.served, s.crowded.sent, s.evenly.served, s.evenly.sent))
	}
	w.recorder.counts["sent while an instance is crowded"] += s.crowded.sent
}
