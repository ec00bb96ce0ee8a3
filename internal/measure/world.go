// Package measure judges the core's decisions: many real nodes in one process and
// in virtual time, small fake engines at their interface, and chats that return.
// The same seed gives the same figures. It is no bench and simulates no cluster:
// links only delay, and nothing in it decides but the policies under comparison.
package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// Scenario is one run.
type Scenario struct {
	Name    string
	Seed    uint64
	Servers int
	Routers int
	Zones   int
	// Mean is about the requests in progress at a backend server.
	Mean     float64
	Capacity int
	Bound    float64
	// CacheTokens is the size of one engine's prefix cache.
	CacheTokens int
	Warmup      time.Duration
	Duration    time.Duration
	// Surge lets two of ten customers surge tenfold in the middle third.
	Surge bool
	// Churn makes backend servers leave, join and flap and routers be replaced.
	Churn bool
	// ReplaceEvery is how often a router is replaced, with Churn.
	ReplaceEvery time.Duration
	// Policies are those that take part; all when empty.
	Policies []string
	// ZoneLoss loses an availability zone for two minutes in the middle.
	ZoneLoss bool
	// Kinds are the requests of sessions that come in place of the chats, if any.
	Kinds []SessionKind
	// Slack is the number of requests allowed beyond the bound.
	Slack int
	// Lead is how long the routers run before the first request, with Kinds.
	Lead time.Duration
	// Engine is the engines' speed; the chats' engine when zero.
	Engine EngineSpeed
}

func (s *Scenario) measured() time.Duration { return s.Duration - s.Warmup }

// listLag is how late the platform's list tells a change; each router reads it at
// its own moment, so that for seconds they disagree about who exists.
const listLag = 2 * time.Second

// router is one instance of the fleet, in the place that the balancer knows.
type router struct {
	index int
	name  string
	zone  int
	down  bool
}

type world struct {
	Scenario
	now      time.Duration
	queue    eventQueue
	sequence int
	random   *rand.Rand
	servers  []*server
	routers  []*router
	policy   policy
	figures  *tally
	chats    int
	chatRate float64
}

// policy places turns. Each call names the turn's router in t.router; placing
// returns nil and a time to come back when the turn is refused.
type policy interface {
	place(t *turn) (*server, time.Duration)
	// failed ends an attempt without an answer and returns the next one's server.
	failed(t *turn, sent bool) (*server, time.Duration)
	ended(t *turn)
	// answers says that the answer's first byte came. Only sessions' requests tell it.
	answers(t *turn)
	// replaced says that a new process took the router's place.
	replaced(r *router)
	tick()
}

func newWorld(s Scenario) *world {
	w := &world{Scenario: s, random: rand.New(rand.NewPCG(s.Seed, 0)), figures: newTally()}
	for i := range s.Servers {
		name := fmt.Sprintf("engine-%03d", i)
		w.servers = append(w.servers, &server{
			name:        name,
			hash:        rendezvous.Hash(name),
			zone:        fmt.Sprint("zone-", i%s.Zones),
			incarnation: 1,
			state:       membership.Live,
			speed:       s.engineSpeed(),
			history:     make([]int, s.reportLag()/historyStep),
			cache:       newPrefixCache(s.CacheTokens),
		})
		w.servers[i].listed = w.servers[i].instance()
	}
	for i := range s.Routers {
		w.routers = append(w.routers, &router{index: i, name: fmt.Sprintf("entry-%03d", i), zone: i % s.Zones})
	}
	return w
}

// Run plays a scenario under the policy of that name and returns its figures.
func Run(s Scenario, policyName string) Figures {
	w := newWorld(s)
	w.policy = newPolicy(policyName, w)
	if len(s.Kinds) > 0 {
		w.sessionArrivals()
	} else {
		w.arrivals()
	}
	w.every(historyStep, historyStep, w.sample)
	w.faults()
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at >= s.Duration {
			break
		}
		w.now = e.at
		e.run()
	}
	return w.figures.figures(&s, policyName)
}

func (w *world) turnArrives(t *turn) {
	if t.refusals == 0 {
		t.arrived = w.now
	}
	t.router = w.balance(t)
	srv, wait := w.policy.place(t)
	w.placed(t, srv, wait)
}

// balance is the platform's balancer: it knows nothing of chats, customers or
// availability zones.
func (w *world) balance(t *turn) *router {
	for i := uint64(0); ; i++ {
		x := uint64(t.chat.number)*1_000_003 + uint64(t.number)*7919 + uint64(t.refusals)*104729 + i
		r := w.routers[rand.NewPCG(w.Seed, x).Uint64()%uint64(len(w.routers))]
		if !r.down {
			return r
		}
	}
}

// maxRefusals is how often a caller comes back after a refusal.
const maxRefusals = 3

func (w *world) placed(t *turn, srv *server, wait time.Duration) {
	for srv != nil && srv.state == membership.Gone {
		t.server = srv
		srv, wait = w.policy.failed(t, false)
	}
	if srv == nil {
		w.refused(t, wait)
		return
	}
	if w.measuring() {
		w.figures.decision(w, srv)
	}
	t.server = srv
	first, end := srv.start(t, w.now)
	if w.measuring() {
		w.figures.started(w, t, w.now+first-t.arrived)
	}
	attempt := t.attempt
	if t.chat.kind != nil {
		w.after(first, func() { w.policy.answers(t) })
	}
	w.after(end, func() {
		if t.attempt == attempt {
			w.turnEnds(t)
		}
	})
}

func (w *world) refused(t *turn, wait time.Duration) {
	if w.measuring() {
		w.figures.refused(w, t)
	}
	t.broken = false
	t.refusals++
	t.attempt++
	if t.refusals <= maxRefusals {
		w.after(wait, func() { w.turnArrives(t) })
		return
	}
	if w.measuring() {
		w.figures.givenUp(w, t)
	}
}

func (w *world) turnEnds(t *turn) {
	t.attempt++
	t.server.stop(t)
	t.server.cache.put(t.chat, t.leaves())
	w.policy.ended(t)
	if t.number+1 < t.chat.turns {
		w.after(t.chat.pause(), func() { w.turnArrives(t.chat.nextTurn(t.number + 1)) })
	}
}

func (w *world) measuring() bool { return w.now >= w.Warmup }

func (w *world) sample() {
	for _, s := range w.servers {
		s.record()
	}
	if w.measuring() {
		w.figures.sample(w)
	}
	w.policy.tick()
}

// live returns the requests in progress at the backend servers that take new work,
// the most at one of them, and their number.
func (w *world) live() (total, most, n int) {
	for _, s := range w.servers {
		if s.state == membership.Live {
			total += s.load()
			most = max(most, s.load())
			n++
		}
	}
	return total, most, n
}

func (w *world) limit() float64 {
	total, _, n := w.live()
	return routing.Bound(w.Bound, float64(total), n)
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.sequence, run: run})
}

func (w *world) every(first, interval time.Duration, run func()) {
	w.after(first, func() {
		run()
		w.every(interval, interval, run)
	})
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	if q[i].at != q[k].at {
		return q[i].at < q[k].at
	}
	return q[i].sequence < q[k].sequence
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
