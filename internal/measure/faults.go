package measure

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Intervals and durations of the faults; they do not depend on the size of the fleet.
const (
	leaveEvery  = time.Minute
	leaveFor    = time.Minute
	drainFor    = 20 * time.Second
	flapEvery   = 3 * time.Minute
	flapFor     = 4 * time.Second
	flapTimes   = 3
	zoneLostFor = 2 * time.Minute
)

func (w *world) faults() {
	if w.Churn {
		w.every(w.Warmup+5*time.Second, leaveEvery, w.leaveAndJoin)
		w.every(w.Warmup+35*time.Second, flapEvery, func() { w.flap(w.drawServer(), flapTimes) })
		w.every(w.ReplaceEvery, w.ReplaceEvery, w.replaceRouter)
	}
	if w.ZoneLoss {
		w.after(w.Warmup+w.measured()/2, w.loseZone)
	}
}

// drawServer returns a random live backend server.
func (w *world) drawServer() *server {
	for {
		if s := w.servers[w.random.IntN(len(w.servers))]; s.state == membership.Live {
			return s
		}
	}
}

// leaveAndJoin drains and ends a random backend server. A new process with an empty
// cache replaces it later.
func (w *world) leaveAndJoin() {
	s := w.drawServer()
	w.change(s, membership.Leaving)
	w.after(drainFor, func() { w.crash(s) })
	w.after(leaveFor, func() { w.join(s) })
}

// flap crashes and restarts a backend server the given number of times.
func (w *world) flap(s *server, times int) {
	w.crash(s)
	w.after(flapFor, func() { w.join(s) })
	if times > 1 {
		w.after(3*flapFor, func() { w.flap(s, times-1) })
	}
}

func (w *world) join(s *server) {
	if s.state == membership.Live {
		return
	}
	s.incarnation++
	s.cache = newPrefixCache(w.CacheTokens)
	w.change(s, membership.Live)
}

// change sets a backend server's state. The platform's list shows it listLag later.
func (w *world) change(s *server, state membership.State) {
	s.state = state
	listed := s.instance()
	w.after(listLag, func() { s.listed = listed })
}

// crash ends a backend server's process at once. Its requests fail and its cache is lost.
func (w *world) crash(s *server) {
	if s.state == membership.Gone {
		return
	}
	w.change(s, membership.Gone)
	interrupted := s.running
	s.running = nil
	for _, t := range interrupted {
		t.attempt++
		srv, retryAfter := w.policy.failed(t, true)
		w.placed(t, srv, retryAfter)
	}
}

func (w *world) replaceRouter() {
	w.policy.replaced(w.routers[w.random.IntN(len(w.routers))])
}

// loseZone stops the backend servers and routers of one availability zone for zoneLostFor.
func (w *world) loseZone() {
	const lost = 1
	for i, s := range w.servers {
		if i%w.Zones == lost {
			w.crash(s)
			w.after(zoneLostFor, func() { w.join(s) })
		}
	}
	for _, r := range w.routers {
		if r.zone == lost {
			r.down = true
			w.after(zoneLostFor, func() {
				r.down = false
				w.policy.replaced(r)
			})
		}
	}
}
