package measure

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Intervals and durations of the faults; they do not depend on the size of the fleet.
const (
	leaveInterval = time.Minute
	rejoinDelay   = time.Minute
	drainDuration = 20 * time.Second
	flapInterval  = 3 * time.Minute
	flapDowntime  = 4 * time.Second
	flapCount     = 3
	zoneOutage    = 2 * time.Minute
)

func (w *world) scheduleFaults() {
	if w.Churn {
		w.every(w.Warmup+5*time.Second, leaveInterval, w.leaveAndJoin)
		w.every(w.Warmup+35*time.Second, flapInterval, func() { w.flap(w.randomLiveServer(), flapCount) })
		w.every(w.ReplaceEvery, w.ReplaceEvery, w.replaceRouter)
	}
	if w.ZoneLoss {
		w.after(w.Warmup+w.measured()/2, w.loseZone)
	}
}

// randomLiveServer returns a random live backend server.
func (w *world) randomLiveServer() *server {
	for {
		if s := w.servers[w.random.IntN(len(w.servers))]; s.state == membership.Live {
			return s
		}
	}
}

// leaveAndJoin drains and ends a random backend server. A new process with an empty
// cache replaces it later.
func (w *world) leaveAndJoin() {
	s := w.randomLiveServer()
	w.setState(s, membership.Leaving)
	w.after(drainDuration, func() { w.crash(s) })
	w.after(rejoinDelay, func() { w.join(s) })
}

// flap crashes and restarts a backend server the given number of times.
func (w *world) flap(s *server, times int) {
	w.crash(s)
	w.after(flapDowntime, func() { w.join(s) })
	if times > 1 {
		w.after(3*flapDowntime, func() { w.flap(s, times-1) })
	}
}

func (w *world) join(s *server) {
	if s.state == membership.Live {
		return
	}
	s.incarnation++
	s.cache = newPrefixCache(w.CacheTokens)
	w.setState(s, membership.Live)
}

// setState sets a backend server's state. The platform's list shows it listLag later.
func (w *world) setState(s *server, state membership.State) {
	s.state = state
	listed := s.member()
	w.after(listLag, func() { s.listed = listed })
}

// crash ends a backend server's process at once. Its requests fail and its cache is lost.
func (w *world) crash(s *server) {
	if s.state == membership.Gone {
		return
	}
	w.setState(s, membership.Gone)
	interrupted := s.running
	s.running = nil
	for _, t := range interrupted {
		t.attempt++
		srv, retryAfter := w.policy.attemptFailed(t, true)
		w.startTurn(t, srv, retryAfter)
	}
}

// endByRequest ends a backend server that began to answer a request of a kind that ends servers. It is back after
// flapDowntime.
func (w *world) endByRequest(s *server) {
	if s.state == membership.Gone {
		return
	}
	w.collector.EndedByRequests++
	w.crash(s)
	w.after(flapDowntime, func() { w.join(s) })
}

func (w *world) replaceRouter() {
	w.policy.processReplaced(w.routers[w.random.IntN(len(w.routers))])
}

// loseZone stops the backend servers and routers of one availability zone for zoneOutage.
func (w *world) loseZone() {
	const lost = 1
	for i, s := range w.servers {
		if i%w.Zones == lost {
			w.crash(s)
			w.after(zoneOutage, func() { w.join(s) })
		}
	}
	for _, r := range w.routers {
		if r.zone == lost {
			r.down = true
			w.after(zoneOutage, func() {
				r.down = false
				w.policy.processReplaced(r)
			})
		}
	}
}
