package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
	"github.com/ebonydyke/ebonydyke/internal/core/shedding"
)

// maxReportAge is the age up to which a report of a server's load counts for gradual admission.
const maxReportAge = time.Second

// sheddingState is the state of gradual admission (load shedding) for a service.
type sheddingState struct {
	controller *shedding.Controller
	work       shedding.Work
	// goal is the shortest latency goal of the routes that lead to the service, 0 if none has one.
	goal time.Duration
	// active is set while the admitted fraction follows the load.
	active bool
}

// newSheddingState returns the state for a service whose configuration or members have changed. It keeps what was learned before.
func (n *Node) newSheddingState(svc *config.Service, old sheddingState) sheddingState {
	s := old
	if s.controller == nil {
		s.controller = shedding.New()
	}
	s.goal = time.Duration(n.snapshot.ShortestGoal(svc.Name))
	return s
}

// shedsGradually reports whether the service's requests are admitted gradually: its loads are averages, some server has reported its
// own lately, a route that leads to it has a latency goal, and this instance has got a response. Otherwise no target is known, or with
// exact counts none is needed: the fixed limits of package admission hold.
func (n *Node) shedsGradually(p *pool) bool {
	return p.shedding.controller != nil && p.shedding.active
}

// tickShedding updates the admitted fractions.
func (n *Node) tickShedding() {
	if n.snapshot == nil {
		return
	}
	for _, name := range n.snapshot.Services() {
		p := n.pool(name)
		if p.shedding.controller == nil {
			continue
		}
		demand, known := n.sheddingDemand(p)
		p.shedding.active = known
		p.shedding.controller.Update(demand, n.now)
	}
}

// sheddingDemand returns the utilization of the servers among which requests are distributed, and reports whether it is known.
func (n *Node) sheddingDemand(p *pool) (shedding.Demand, bool) {
	if p.model || p.shedding.goal == 0 || p.shedding.work.Mean() == 0 || n.loadBasis(p) != load.FromAverages {
		return shedding.Demand{}, false
	}
	sum, slots, known := 0.0, 0.0, false
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.Warm() || c.Slots == 0 {
			continue
		}
		recent, fresh := n.recentLoad(c)
		known = known || fresh
		sum += recent * n.speed.Slowness(c.Name, n.now)
		slots += c.Slots
	}
	if !known {
		return shedding.Demand{}, false
	}
	target, limit := shedding.Range(p.shedding.goal, p.shedding.work.Mean())
	return shedding.Demand{Utilization: sum / slots, Target: target, Limit: limit, Work: p.shedding.work.Mean()}, true
}

// recentLoad returns a server's load by its latest reports, and whether there are any.
func (n *Node) recentLoad(c *routing.Candidate) (recent float64, fresh bool) {
	at, known := n.load.LastReport(c.Name)
	if !known || n.now.Sub(at) > maxReportAge {
		return c.Load, false
	}
	return n.load.Recent(c.Name), true
}

// shed decides on a request to a service with gradual admission. It returns nil if the request is admitted.
func (n *Node) shed(r *request, p *pool) *refusal {
	verdict := p.shedding.controller.Admit(r.customer.Name, r.customer.Weight, r.policy.priority, n.random)
	if verdict == shedding.Admitted {
		return nil
	}
	why := reason.CustomerShare
	if verdict == shedding.Overloaded {
		why = p.evacuatedOr(reason.Saturated)
	}
	return &refusal{reason: why, retryAfter: n.returnAfterShedding(r)}
}

// returnAfterShedding returns the Retry-After delay of a refused request. It is short enough that the response to the retry can still be
// in time, since a late response takes the place of another one. It is random, so that callers do not retry at the same time. Callers
// wait for at most a third of the time until their deadline.
func (n *Node) returnAfterShedding(r *request) time.Duration {
	if r.route == nil || r.route.Goal == 0 {
		return n.returnAfterWait(r)
	}
	longest := min(time.Duration(r.route.Goal)/2, r.deadline.Sub(n.now)/3)
	return max(minRetryAfter, longest/3+time.Duration(n.random.Float64()*float64(longest-longest/3)))
}

// recordWorkAtEnd records the time that a server took for a request whose response has arrived as a whole.
func (n *Node) recordWorkAtEnd(r *request, e *AttemptEnded) {
	if e.Outcome == retry.Answered {
		n.recordWork(r, e.Load)
	}
}

// recordWork records the time that a server took for a request until its response began. load is the server's report with that
// response, nil if there was none.
func (n *Node) recordWork(r *request, load *membership.Report) {
	p := n.pool(r.service.Name)
	c := p.find(r.backend)
	if p.model || r.responseStarted || load == nil || !load.Valid() || c == nil || c.Slots == 0 {
		return
	}
	p.shedding.work.Record(n.now.Sub(r.sentAt), float64(load.InFlight)/c.Slots*n.speed.Slowness(c.Name, n.now))
}

// recordCompletion records that a server has completed a request.
func (n *Node) recordCompletion(r *request) {
	if c := n.pool(r.service.Name).shedding.controller; c != nil {
		c.Completed()
	}
}

// roomAboveCapacity returns the load up to which a server gets requests, 0 if its capacity holds. Gradual admission keeps the mean
// load at its target. A fixed limit on one server's average would only send its requests elsewhere, all at the same time.
func (n *Node) roomAboveCapacity(p *pool, c *routing.Candidate) float64 {
	if _, fresh := n.recentLoad(c); !fresh || !n.shedsGradually(p) {
		return 0
	}
	return shedding.MaxUtilization * c.Slots
}
