package measure

import (
	"slices"
	"time"
)

// Figures are what one run showed.
type Figures struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Servers  int     `json:"servers"`
	Routers  int     `json:"routers"`
	Bound    float64 `json:"bound"`
	Turns    int     `json:"turns"`
	// Reuse is the share of the returning turns' prefix tokens found in cache.
	Reuse float64 `json:"reuse"`
	// Mean is the mean load over time, of the backend servers that take new work.
	Mean float64 `json:"mean"`
	// Worst and P99 are of busiest over mean, sampled each 100 ms while the mean
	// is at least skewMean.
	Worst float64 `json:"worst"`
	P99   float64 `json:"p99"`
	// Over is the share of the samples above the bound, OverRequests the most
	// requests by which the busiest was above bound times mean.
	Over         float64 `json:"over"`
	OverRequests float64 `json:"over_requests"`
	// OverDecisions counts turns placed where they took the backend server above
	// the limit as an all-knowing observer reckons it; OverMost is by how many.
	OverDecisions int `json:"over_decisions"`
	OverMost      int `json:"over_most"`
	// WorstSeconds is the largest share, over five seconds, of the turns placed at a
	// backend server that held more than the bound and the slack allow, themselves
	// counted.
	WorstSeconds float64 `json:"worst_seconds"`
	// Broken counts turns that a crash broke off and the retry budget gave up.
	Broken int `json:"broken"`
	// Quiet and Rush are the customers that never surge, outside and inside the
	// others' surge; Surging are those that do, inside it.
	Quiet   Service `json:"quiet"`
	Rush    Service `json:"rush"`
	Surging Service `json:"surging"`
}

// Service is how a group of customers was served.
type Service struct {
	Turns    int `json:"turns"`
	Refusals int `json:"refusals"`
	// GivenUp are turns refused each time they came back.
	GivenUp int `json:"given_up"`
	// The wait is from the first arrival to the first token, in seconds.
	WaitMean float64 `json:"wait_mean"`
	WaitP95  float64 `json:"wait_p95"`
}

// skewMean is the mean load from which on the bound is held to.
const skewMean = 8

type group struct {
	Service
	waits []float64
}

func (g *group) service() Service {
	if len(g.waits) > 0 {
		slices.Sort(g.waits)
		sum := 0.0
		for _, w := range g.waits {
			sum += w
		}
		g.WaitMean = sum / float64(len(g.waits))
		g.WaitP95 = quantile(g.waits, 0.95)
	}
	return g.Service
}

type tally struct {
	Figures
	prefix, found  float64
	ratios         []float64
	means          float64
	samples, overs int
	placed, above  []int
	quiet, rush    group
	surging        group
}

func newTally() *tally { return &tally{} }

func (f *tally) group(w *world, t *turn) *group {
	switch {
	case !surging[t.chat.customer] && w.inSurge():
		return &f.rush
	case !surging[t.chat.customer]:
		return &f.quiet
	case w.inSurge():
		return &f.surging
	default:
		return &group{}
	}
}

func (f *tally) started(w *world, t *turn, wait time.Duration) {
	f.Turns++
	f.prefix += float64(t.prefix)
	f.found += float64(t.cached)
	g := f.group(w, t)
	g.Turns++
	g.waits = append(g.waits, wait.Seconds())
}

func (f *tally) refused(w *world, t *turn) {
	if t.broken {
		f.Broken++
		return
	}
	f.group(w, t).Refusals++
}

func (f *tally) givenUp(w *world, t *turn) { f.group(w, t).GivenUp++ }

// decision sets a placement against what was so at its moment.
func (f *tally) decision(w *world, s *server) {
	f.promise(w, s)
	over := s.load() + 1 - int(w.limit())
	if over > 0 && s.load()+1 >= skewMean {
		f.OverDecisions++
		f.OverMost = max(f.OverMost, over)
	}
}

// promise notes for each second how many turns were placed, and how many of them
// above what is promised.
func (f *tally) promise(w *world, s *server) {
	second := int((w.now - w.Warmup) / time.Second)
	for len(f.placed) <= second {
		f.placed = append(f.placed, 0)
		f.above = append(f.above, 0)
	}
	f.placed[second]++
	total, _, n := w.live()
	if float64(s.load()+1) > w.Bound*float64(total+1)/float64(n)+float64(w.Slack) {
		f.above[second]++
	}
}

// promiseSpan is the number of seconds over which the promise is held to.
const promiseSpan = 5

func (f *tally) worstSeconds() float64 {
	worst := 0.0
	for i := range len(f.placed) - promiseSpan + 1 {
		placed, above := 0, 0
		for k := i; k < i+promiseSpan; k++ {
			placed += f.placed[k]
			above += f.above[k]
		}
		worst = max(worst, float64(above)/float64(max(1, placed)))
	}
	return worst
}

func (f *tally) sample(w *world) {
	total, most, n := w.live()
	mean := float64(total) / float64(n)
	f.means += mean
	f.samples++
	if mean < skewMean {
		return
	}
	ratio := float64(most) / mean
	f.ratios = append(f.ratios, ratio)
	if ratio > w.Bound {
		f.overs++
		f.OverRequests = max(f.OverRequests, float64(most)-w.Bound*mean)
	}
}

func (f *tally) figures(s *Scenario, policyName string) Figures {
	r := f.Figures
	r.Scenario, r.Policy, r.Seed = s.Name, policyName, s.Seed
	r.Servers, r.Routers, r.Bound = s.Servers, s.Routers, s.Bound
	r.Reuse = f.found / max(1, f.prefix)
	r.WorstSeconds = f.worstSeconds()
	r.Mean = f.means / float64(max(1, f.samples))
	if len(f.ratios) > 0 {
		slices.Sort(f.ratios)
		r.Worst = f.ratios[len(f.ratios)-1]
		r.P99 = quantile(f.ratios, 0.99)
		r.Over = float64(f.overs) / float64(len(f.ratios))
	}
	r.Quiet, r.Rush, r.Surging = f.quiet.service(), f.rush.service(), f.surging.service()
	return r
}

// quantile reads a sorted list.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
