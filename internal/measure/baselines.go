package measure

import (
	"math"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// Policies lists the names of the policies; the oracle is last.
var Policies = []string{
	"random", "round-robin", "least-late", "two-choices", "rendezvous",
	"bound-late", "bound-routers", "bound-exact", "ours", "ours-hint", "oracle",
}

func newPolicy(name string, w *world) policy {
	switch name {
	case "ours":
		return newFleet(w, false)
	case "ours-hint":
		return newFleet(w, true)
	}
	b := &baseline{w: w, turns: make([]int, len(w.routers))}
	for range w.routers {
		b.own = append(b.own, make([]int, len(w.servers)))
		b.past = append(b.past, make([][historySize]int, len(w.servers)))
	}
	b.choose = map[string]func(t *turn) int{
		"random":      func(*turn) int { return w.random.IntN(len(b.list)) },
		"round-robin": b.roundRobin,
		"least-late":  b.leastLate,
		"two-choices": b.twoChoices,
		"rendezvous":  func(t *turn) int { return b.walk(t, nil) },
		"bound-late":  func(t *turn) int { return b.walk(t, b.late) },
		// Each router assumes that every other router sends as much as it does.
		"bound-routers": func(t *turn) int { return b.walk(t, b.scaled) },
		"bound-exact": func(t *turn) int {
			return b.walk(t, func(_ *turn, s int) float64 { return float64(w.servers[s].load()) })
		},
		"oracle": b.oracle,
	}[name]
	return b
}

// baseline is a policy that the core's decisions are compared with. It receives the
// platform's list with the same delay as the nodes, except for the oracle, which uses
// the exact current state.
type baseline struct {
	w *world
	// own counts the turns in progress by router and backend server; past holds the same
	// counts over the last reportLag, the oldest at slot.
	own  [][]int
	past [][][historySize]int
	slot int
	// turns counts the turns of each router, for round-robin.
	turns  []int
	choose func(t *turn) int
	// list holds the indexes of the backend servers that the current turn may use.
	list       []int
	candidates []routing.Candidate
}

func (b *baseline) place(t *turn) (*server, time.Duration) { return b.without(t, nil), 0 }

func (b *baseline) without(t *turn, tried *server) *server {
	b.list = b.list[:0]
	for i, s := range b.w.servers {
		if s.listed.State == membership.Live && s.state != membership.Gone && s != tried {
			b.list = append(b.list, i)
		}
	}
	i := b.list[b.choose(t)]
	b.own[t.router.index][i]++
	return b.w.servers[i]
}

func (b *baseline) failed(t *turn, _ bool) (*server, time.Duration) {
	b.ended(t)
	return b.without(t, t.server), 0
}

func (b *baseline) ended(t *turn) {
	for i, s := range b.w.servers {
		if s == t.server {
			b.own[t.router.index][i] = max(0, b.own[t.router.index][i]-1)
		}
	}
}

func (b *baseline) answers(*turn) {}

func (b *baseline) replaced(*router) {}

func (b *baseline) tick() {
	for r := range b.own {
		for s := range b.own[r] {
			b.past[r][s][b.slot] = b.own[r][s]
		}
	}
	b.slot = (b.slot + 1) % historySize
}

func (b *baseline) roundRobin(t *turn) int {
	b.turns[t.router.index]++
	return b.turns[t.router.index] % len(b.list)
}

// leastLate returns the choice with the lowest reported load.
func (b *baseline) leastLate(*turn) int {
	return b.least(func(s int) float64 { return float64(b.w.servers[s].reported()) })
}

// least returns the choice with the lowest load and breaks ties at random.
func (b *baseline) least(load func(s int) float64) int {
	best, start := -1, b.w.random.IntN(len(b.list))
	for k := range b.list {
		i := (start + k) % len(b.list)
		if best < 0 || load(b.list[i]) < load(b.list[best]) {
			best = i
		}
	}
	return best
}

func (b *baseline) twoChoices(t *turn) int {
	i, k := b.w.random.IntN(len(b.list)), b.w.random.IntN(len(b.list))
	if b.late(t, b.list[k]) < b.late(t, b.list[i]) {
		return k
	}
	return i
}

// late returns the reported load plus the turns that this router has sent since the report.
func (b *baseline) late(t *turn, s int) float64 {
	r := t.router.index
	since := b.own[r][s] - b.past[r][s][b.slot]
	return float64(b.w.servers[s].reported() + max(0, since))
}

// scaled returns the reported load plus the turns that this router has sent since the
// report, multiplied by the number of routers.
func (b *baseline) scaled(t *turn, s int) float64 {
	r := t.router.index
	since := b.own[r][s] - b.past[r][s][b.slot]
	return math.Max(0, float64(b.w.servers[s].reported()+since*len(b.w.routers)))
}

// walk ranks the backend servers as the core does and applies the bound to the given
// loads. Without loads there is no bound.
func (b *baseline) walk(t *turn, load func(t *turn, s int) float64) int {
	b.candidates = b.candidates[:0]
	total := 0.0
	for _, i := range b.list {
		c := routing.Candidate{Name: b.w.servers[i].name, Hash: b.w.servers[i].hash, Capacity: math.Inf(1)}
		if load != nil {
			c.Load = load(t, i)
			total += c.Load
		}
		b.candidates = append(b.candidates, c)
	}
	chatHash := rendezvous.Hash(t.chat.id)
	choice := routing.Choice{Chat: chatHash, Hinted: routing.None}
	choice.Limits = routing.ChatLimits(b.w.Bound, total, len(b.list), chatHash, routing.Unhinted)
	return max(0, routing.Pick(b.candidates, &choice))
}

// oracle chooses the backend server that has cached the most of the prefix and stays
// within the bound, or else the one with the lowest load. It uses exact caches and loads.
func (b *baseline) oracle(t *turn) int {
	limit := b.w.limit()
	load := func(s int) float64 { return float64(b.w.servers[s].load()) }
	best, mostCached := -1, 0
	for k, i := range b.list {
		s := b.w.servers[i]
		if tokens := s.cache.get(t.chat); tokens > mostCached && s.state == membership.Live && load(i)+1 <= limit {
			best, mostCached = k, tokens
		}
	}
	if best >= 0 {
		return best
	}
	return b.least(load)
}
