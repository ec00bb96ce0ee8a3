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
	b := &baseline{w: w, turnCounts: make([]int, len(w.routers))}
	for range w.routers {
		b.inFlight = append(b.inFlight, make([]int, len(w.servers)))
		b.inFlightHistory = append(b.inFlightHistory, make([][historySize]int, len(w.servers)))
	}
	b.choose = map[string]func(t *turn) int{
		"random":      func(*turn) int { return w.random.IntN(len(b.eligible)) },
		"round-robin": b.roundRobin,
		"least-late":  b.leastReported,
		"two-choices": b.twoChoices,
		"rendezvous":  func(t *turn) int { return b.rendezvousWithBound(t, nil) },
		"bound-late":  func(t *turn) int { return b.rendezvousWithBound(t, b.reportedPlusSent) },
		// Each router assumes that every other router sends as much as it does.
		"bound-routers": func(t *turn) int { return b.rendezvousWithBound(t, b.reportedPlusScaledSent) },
		"bound-exact": func(t *turn) int {
			return b.rendezvousWithBound(t, func(_ *turn, s int) float64 { return float64(w.servers[s].load()) })
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
	// inFlight counts the turns in progress by router and backend server. inFlightHistory
	// holds the same counts over the last reportLag, the oldest at historyIndex.
	inFlight        [][]int
	inFlightHistory [][][historySize]int
	historyIndex    int
	// turnCounts counts the turns of each router, for round-robin.
	turnCounts []int
	choose     func(t *turn) int
	// eligible holds the indexes of the backend servers that the current turn may use.
	eligible   []int
	candidates []routing.Candidate
}

func (b *baseline) place(t *turn) (*server, time.Duration) { return b.chooseExcept(t, nil), 0 }

// chooseExcept chooses a backend server from those that are listed as live, other than tried.
func (b *baseline) chooseExcept(t *turn, tried *server) *server {
	b.eligible = b.eligible[:0]
	for i, s := range b.w.servers {
		if s.listed.State == membership.Live && s.state != membership.Gone && s != tried {
			b.eligible = append(b.eligible, i)
		}
	}
	i := b.eligible[b.choose(t)]
	b.inFlight[t.router.index][i]++
	return b.w.servers[i]
}

func (b *baseline) attemptFailed(t *turn, _ bool) (*server, time.Duration) {
	b.turnEnded(t)
	return b.chooseExcept(t, t.server), 0
}

func (b *baseline) turnEnded(t *turn) {
	for i, s := range b.w.servers {
		if s == t.server {
			b.inFlight[t.router.index][i] = max(0, b.inFlight[t.router.index][i]-1)
		}
	}
}

func (b *baseline) responseStarted(*turn) {}

func (b *baseline) processReplaced(*router) {}

func (b *baseline) tick() {
	for r := range b.inFlight {
		for s := range b.inFlight[r] {
			b.inFlightHistory[r][s][b.historyIndex] = b.inFlight[r][s]
		}
	}
	b.historyIndex = (b.historyIndex + 1) % historySize
}

func (b *baseline) roundRobin(t *turn) int {
	b.turnCounts[t.router.index]++
	return b.turnCounts[t.router.index] % len(b.eligible)
}

// leastReported returns the choice with the lowest reported load.
func (b *baseline) leastReported(*turn) int {
	return b.leastLoaded(func(s int) float64 { return float64(b.w.servers[s].reported()) })
}

// leastLoaded returns the choice with the lowest load and breaks ties at random.
func (b *baseline) leastLoaded(load func(s int) float64) int {
	best, start := -1, b.w.random.IntN(len(b.eligible))
	for k := range b.eligible {
		i := (start + k) % len(b.eligible)
		if best < 0 || load(b.eligible[i]) < load(b.eligible[best]) {
			best = i
		}
	}
	return best
}

func (b *baseline) twoChoices(t *turn) int {
	i, k := b.w.random.IntN(len(b.eligible)), b.w.random.IntN(len(b.eligible))
	if b.reportedPlusSent(t, b.eligible[k]) < b.reportedPlusSent(t, b.eligible[i]) {
		return k
	}
	return i
}

// reportedPlusSent returns the reported load plus the turns that this router has sent since
// the report.
func (b *baseline) reportedPlusSent(t *turn, s int) float64 {
	r := t.router.index
	since := b.inFlight[r][s] - b.inFlightHistory[r][s][b.historyIndex]
	return float64(b.w.servers[s].reported() + max(0, since))
}

// reportedPlusScaledSent returns the reported load plus the turns that this router has sent
// since the report, multiplied by the number of routers.
func (b *baseline) reportedPlusScaledSent(t *turn, s int) float64 {
	r := t.router.index
	since := b.inFlight[r][s] - b.inFlightHistory[r][s][b.historyIndex]
	return math.Max(0, float64(b.w.servers[s].reported()+since*len(b.w.routers)))
}

// rendezvousWithBound ranks the backend servers as the core does and applies the bound to
// the given loads. Without loads there is no bound.
func (b *baseline) rendezvousWithBound(t *turn, load func(t *turn, s int) float64) int {
	b.candidates = b.candidates[:0]
	total := 0.0
	for _, i := range b.eligible {
		c := routing.Candidate{Name: b.w.servers[i].name, Hash: b.w.servers[i].hash, Capacity: math.Inf(1)}
		if load != nil {
			c.Load = load(t, i)
			total += c.Load
		}
		b.candidates = append(b.candidates, c)
	}
	chatHash := rendezvous.Hash(t.chat.id)
	choice := routing.Choice{Chat: chatHash, Hinted: routing.None}
	all := routing.Load{Total: total, Servers: float64(len(b.eligible))}
	choice.Limits = routing.ChatLimits(routing.Basis{Among: all, All: all, Bound: b.w.Bound}, chatHash, routing.Unhinted)
	return max(0, routing.Pick(b.candidates, &choice))
}

// oracle chooses the backend server that has cached the most of the prefix and stays
// within the bound, or else the one with the lowest load. It uses exact caches and loads.
func (b *baseline) oracle(t *turn) int {
	limit := b.w.loadLimit()
	load := func(s int) float64 { return float64(b.w.servers[s].load()) }
	best, mostCached := -1, 0
	for k, i := range b.eligible {
		s := b.w.servers[i]
		if tokens := s.cache.get(t.chat); tokens > mostCached && s.state == membership.Live && load(i)+1 <= limit {
			best, mostCached = k, tokens
		}
	}
	if best >= 0 {
		return best
	}
	return b.leastLoaded(load)
}
