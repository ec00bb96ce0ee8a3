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
	// MeanLoad is the mean load, over time, of the backend servers that accept new work.
	MeanLoad float64 `json:"mean"`
	// MaxSkew and P99Skew are the maximum and the 99th percentile of the highest load divided
	// by the mean load, sampled every 100 ms while the mean is at least minSkewMean.
	MaxSkew float64 `json:"worst"`
	P99Skew float64 `json:"p99"`
	// OverShare is the share of the samples above the bound. MaxExcess is the largest
	// number of requests by which the highest load exceeded bound times mean.
	OverShare float64 `json:"over"`
	MaxExcess float64 `json:"over_requests"`
	// OverLimitPlacements counts the turns whose placement took a backend server above the
	// limit computed from the exact loads. MaxPlacementExcess is the largest excess in requests.
	OverLimitPlacements int `json:"over_decisions"`
	MaxPlacementExcess  int `json:"over_most"`
	// MaxOverLimitShare is the largest share, in any window of five seconds, of the turns
	// placed at a backend server whose load, including the turn itself, was above the
	// bound plus the slack.
	MaxOverLimitShare float64 `json:"worst_seconds"`
	// FailedTurns counts the turns that failed in a crash and for which the retry budget had no
	// retry left.
	FailedTurns int `json:"broken"`
	// EndedByRequests counts the backend servers that ended under requests.
	EndedByRequests int `json:"ended_by_requests"`
	// OutsideSurge and DuringSurge cover the customers that never surge, outside and during
	// the surge of the others. Surging covers the surging customers during their surge.
	OutsideSurge GroupFigures `json:"quiet"`
	DuringSurge  GroupFigures `json:"rush"`
	Surging      GroupFigures `json:"surging"`
}

// GroupFigures holds the results of one group of customers.
type GroupFigures struct {
	Turns    int `json:"turns"`
	Refusals int `json:"refusals"`
	// GivenUp counts the turns that were refused at every retry.
	GivenUp int `json:"given_up"`
	// WaitMean and WaitP95 are of the time from the first arrival to the first token, in
	// seconds.
	WaitMean float64 `json:"wait_mean"`
	WaitP95  float64 `json:"wait_p95"`
}

// minSkewMean is the lowest mean load at which the skew is checked against the bound.
const minSkewMean = 8

// groupCollector collects the figures of one group of customers.
type groupCollector struct {
	GroupFigures
	waits []float64
}

func (g *groupCollector) figures() GroupFigures {
	if len(g.waits) > 0 {
		slices.Sort(g.waits)
		sum := 0.0
		for _, w := range g.waits {
			sum += w
		}
		g.WaitMean = sum / float64(len(g.waits))
		g.WaitP95 = quantile(g.waits, 0.95)
	}
	return g.GroupFigures
}

// collector collects the figures of a run.
type collector struct {
	Figures
	prefixTokens, cachedTokens          float64
	skews                               []float64
	meanSum                             float64
	samples, overSamples                int
	placedPerSecond, overLimitPerSecond []int
	outsideSurge, duringSurge           groupCollector
	surging                             groupCollector
}

func newCollector() *collector { return &collector{} }

func (c *collector) group(w *world, t *turn) *groupCollector {
	switch {
	case t.chat.kind != nil && t.chat.kind.EndsServers:
		return &groupCollector{}
	case !surgingCustomers[t.chat.customer] && w.inSurge():
		return &c.duringSurge
	case !surgingCustomers[t.chat.customer]:
		return &c.outsideSurge
	case w.inSurge():
		return &c.surging
	default:
		return &groupCollector{}
	}
}

func (c *collector) turnStarted(w *world, t *turn, wait time.Duration) {
	c.Turns++
	c.prefixTokens += float64(t.prefix)
	c.cachedTokens += float64(t.cachedTokens)
	g := c.group(w, t)
	g.Turns++
	g.waits = append(g.waits, wait.Seconds())
}

func (c *collector) turnRefused(w *world, t *turn) {
	if t.failed {
		c.FailedTurns++
		return
	}
	c.group(w, t).Refusals++
}

func (c *collector) turnGivenUp(w *world, t *turn) { c.group(w, t).GivenUp++ }

// turnPlaced checks a placement against the exact loads at that moment.
func (c *collector) turnPlaced(w *world, s *server) {
	c.countPlacement(w, s)
	over := s.load() + 1 - int(w.loadLimit())
	if over > 0 && s.load()+1 >= minSkewMean {
		c.OverLimitPlacements++
		c.MaxPlacementExcess = max(c.MaxPlacementExcess, over)
	}
}

// countPlacement counts, for each second, the turns placed and those placed above the bound
// plus the slack.
func (c *collector) countPlacement(w *world, s *server) {
	second := int((w.now - w.Warmup) / time.Second)
	for len(c.placedPerSecond) <= second {
		c.placedPerSecond = append(c.placedPerSecond, 0)
		c.overLimitPerSecond = append(c.overLimitPerSecond, 0)
	}
	c.placedPerSecond[second]++
	total, _, n := w.liveLoad()
	if float64(s.load()+1) > w.Bound*float64(total+1)/float64(n)+float64(w.Slack) {
		c.overLimitPerSecond[second]++
	}
}

// shareWindowSeconds is the number of seconds over which the share above the limit is computed.
const shareWindowSeconds = 5

// maxOverLimitShare returns the largest share of placements above the limit in any window of
// shareWindowSeconds seconds.
func (c *collector) maxOverLimitShare() float64 {
	worst := 0.0
	for i := range len(c.placedPerSecond) - shareWindowSeconds + 1 {
		placed, above := 0, 0
		for k := i; k < i+shareWindowSeconds; k++ {
			placed += c.placedPerSecond[k]
			above += c.overLimitPerSecond[k]
		}
		worst = max(worst, float64(above)/float64(max(1, placed)))
	}
	return worst
}

func (c *collector) sample(w *world) {
	total, most, n := w.liveLoad()
	mean := float64(total) / float64(n)
	c.meanSum += mean
	c.samples++
	if mean < minSkewMean {
		return
	}
	ratio := float64(most) / mean
	c.skews = append(c.skews, ratio)
	if ratio > w.Bound {
		c.overSamples++
		c.MaxExcess = max(c.MaxExcess, float64(most)-w.Bound*mean)
	}
}

func (c *collector) figures(s *Scenario, policyName string) Figures {
	r := c.Figures
	r.Scenario, r.Policy, r.Seed = s.Name, policyName, s.Seed
	r.Servers, r.Routers, r.Bound = s.Servers, s.Routers, s.Bound
	r.Reuse = c.cachedTokens / max(1, c.prefixTokens)
	r.MaxOverLimitShare = c.maxOverLimitShare()
	r.MeanLoad = c.meanSum / float64(max(1, c.samples))
	if len(c.skews) > 0 {
		slices.Sort(c.skews)
		r.MaxSkew = c.skews[len(c.skews)-1]
		r.P99Skew = quantile(c.skews, 0.99)
		r.OverShare = float64(c.overSamples) / float64(len(c.skews))
	}
	r.OutsideSurge, r.DuringSurge, r.Surging = c.outsideSurge.figures(), c.duringSurge.figures(), c.surging.figures()
	return r
}

// quantile returns the q-quantile of a sorted list.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
