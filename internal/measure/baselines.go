package measure

import (
	"math"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// Policies lists the policies by name, the oracle last.
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
		// Each router takes itself for a fair sample of all routers.
		"bound-routers": func(t *turn) int { return b.walk(t, b.scaled) },
		"bound-exact": func(t *turn) int {
			return b.walk(t, func(_ *turn, s int) float64 { return float64(w.servers[s].load()) })
		},
		"oracle": b.oracle,
	}[name]
	return b
}

// baseline is a policy to compare with. It knows the platform's list as late as the
// nodes do, but for the oracle, which sees everything at once.
type baseline struct {
	w      *world
	own    [][]int
	past   [][][historySize]int
	slot   int
	turns  []int
	choose func(t *turn) int
	// list holds the indexes of the backend servers that may be chosen.
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

// leastLate takes the least load that the late reports show.
func (b *baseline) leastLate(*turn) int {
	return b.least(func(s int) float64 { return float64(b.w.servers[s].reported()) })
}

// least returns the choice of the least load; equal ones by chance.
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

// late is the late report and what this router sent since.
func (b *baseline) late(t *turn, s int) float64 {
	r := t.router.index
	since := b.own[r][s] - b.past[r][s][b.slot]
	return float64(b.w.servers[s].reported() + max(0, since))
}

func (b *baseline) scaled(t *turn, s int) float64 {
	r := t.router.index
	since := b.own[r][s] - b.past[r][s][b.slot]
	return math.Max(0, float64(b.w.servers[s].reported()+since*len(b.w.routers)))
}

// walk is the core's own walk, with the given knowledge of loads; with none there
// is no bound.
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
	chat := rendezvous.Hash(t.chat.id)
	choice := routing.Choice{Chat: chat, Hinted: routing.None}
	choice.Limits = routing.ChatLimits(b.w.Bound, total, len(b.list), chat, routing.Unhinted)
	return max(0, routing.Pick(b.candidates, &choice))
}

// oracle goes where most of the prefix is cached within the bound, else to the
// least load, with exact knowledge of both.
func (b *baseline) oracle(t *turn) int {
	limit := b.w.limit()
	load := func(s int) float64 { return float64(b.w.servers[s].load()) }
	best, most := -1, 0
	for k, i := range b.list {
		s := b.w.servers[i]
		if found := s.cache.get(t.chat); found > most && s.state == membership.Live && load(i)+1 <= limit {
			best, most = k, found
		}
	}
	if best >= 0 {
		return best
	}
	return b.least(load)
}
