package measure

import (
	"slices"
	"time"
)

// Figures holds the results of one run.
type Figures struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Servers  int     `json:"servers"`
	Routers  int     `json:"routers"`
	Bound    float64 `json:"bound"`
	Turns    int     `json:"turns"`
	// Reuse is the share of all prefix tokens that were found in a cache.
	Reuse float64 `json:"reuse"`
	// Mean is the mean load, over time, of the backend servers that accept new work.
	Mean float64 `json:"mean"`
	// Worst and P99 are the maximum and the 99th percentile of the highest load divided
	// by the mean load, sampled every 100 ms while the mean is at least skewMean.
	Worst float64 `json:"worst"`
	P99   float64 `json:"p99"`
	// Over is the share of the samples above the bound. OverRequests is the largest
	// number of requests by which the highest load exceeded bound times mean.
	Over         float64 `json:"over"`
	OverRequests float64 `json:"over_requests"`
	// OverDecisions counts the turns whose placement took a backend server above the
	// limit computed from the exact loads; OverMost is the largest excess in requests.
	OverDecisions int `json:"over_decisions"`
	OverMost      int `json:"over_most"`
	// WorstSeconds is the largest share, in any window of five seconds, of the turns
	// placed at a backend server whose load, including the turn itself, was above the
	// bound plus the slack.
	WorstSeconds float64 `json:"worst_seconds"`
	// Broken counts the turns that failed in a crash and for which the retry budget had no
	// retry left.
	Broken int `json:"broken"`
	// Quiet and Rush cover the customers that never surge, outside and during the
	// surge of the others. Surging covers the surging customers during their surge.
	Quiet   Service `json:"quiet"`
	Rush    Service `json:"rush"`
	Surging Service `json:"surging"`
}

// Service holds the results of one group of customers.
type Service struct {
	Turns    int `json:"turns"`
	Refusals int `json:"refusals"`
	// GivenUp counts the turns that were refused at every retry.
	GivenUp int `json:"given_up"`
	// WaitMean and WaitP95 are of the time from the first arrival to the first token, in
	// seconds.
	WaitMean float64 `json:"wait_mean"`
	WaitP95  float64 `json:"wait_p95"`
}

// skewMean is the lowest mean load at which the skew is checked against the bound.
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

// tally collects the figures of a run.
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

func (c *tally) group(w *world, t *turn) *group {
	switch {
	case !surging[t.chat.customer] && w.inSurge():
		return &c.rush
	case !surging[t.chat.customer]:
		return &c.quiet
	case w.inSurge():
		return &c.surging
	default:
		return &group{}
	}
}

func (c *tally) started(w *world, t *turn, wait time.Duration) {
	c.Turns++
	c.prefix += float64(t.prefix)
	c.found += float64(t.cached)
	g := c.group(w, t)
	g.Turns++
	g.waits = append(g.waits, wait.Seconds())
}

func (c *tally) refused(w *world, t *turn) {
	if t.broken {
		c.Broken++
		return
	}
	c.group(w, t).Refusals++
}

func (c *tally) givenUp(w *world, t *turn) { c.group(w, t).GivenUp++ }

// decision checks a placement against the exact loads at that moment.
func (c *tally) decision(w *world, s *server) {
	c.promise(w, s)
	over := s.load() + 1 - int(w.limit())
	if over > 0 && s.load()+1 >= skewMean {
		c.OverDecisions++
		c.OverMost = max(c.OverMost, over)
	}
}

// promise counts, for each second, the turns placed and those placed above the bound
// plus the slack.
func (c *tally) promise(w *world, s *server) {
	second := int((w.now - w.Warmup) / time.Second)
	for len(c.placed) <= second {
		c.placed = append(c.placed, 0)
		c.above = append(c.above, 0)
	}
	c.placed[second]++
	total, _, n := w.live()
	if float64(s.load()+1) > w.Bound*float64(total+1)/float64(n)+float64(w.Slack) {
		c.above[second]++
	}
}

// promiseSpan is the number of seconds over which the share above the limit is computed.
const promiseSpan = 5

// worstSeconds returns the largest share of placements above the limit in any window of
// promiseSpan seconds.
func (c *tally) worstSeconds() float64 {
	worst := 0.0
	for i := range len(c.placed) - promiseSpan + 1 {
		placed, above := 0, 0
		for k := i; k < i+promiseSpan; k++ {
			placed += c.placed[k]
			above += c.above[k]
		}
		worst = max(worst, float64(above)/float64(max(1, placed)))
	}
	return worst
}

func (c *tally) sample(w *world) {
	total, most, n := w.live()
	mean := float64(total) / float64(n)
	c.means += mean
	c.samples++
	if mean < skewMean {
		return
	}
	ratio := float64(most) / mean
	c.ratios = append(c.ratios, ratio)
	if ratio > w.Bound {
		c.overs++
		c.OverRequests = max(c.OverRequests, float64(most)-w.Bound*mean)
	}
}

func (c *tally) figures(s *Scenario, policyName string) Figures {
	r := c.Figures
	r.Scenario, r.Policy, r.Seed = s.Name, policyName, s.Seed
	r.Servers, r.Routers, r.Bound = s.Servers, s.Routers, s.Bound
	r.Reuse = c.found / max(1, c.prefix)
	r.WorstSeconds = c.worstSeconds()
	r.Mean = c.means / float64(max(1, c.samples))
	if len(c.ratios) > 0 {
		slices.Sort(c.ratios)
		r.Worst = c.ratios[len(c.ratios)-1]
		r.P99 = quantile(c.ratios, 0.99)
		r.Over = float64(c.overs) / float64(len(c.ratios))
	}
	r.Quiet, r.Rush, r.Surging = c.quiet.service(), c.rush.service(), c.surging.service()
	return r
}

// quantile returns the q-quantile of a sorted list.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
