package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// defaultRetryBurst is the number of retries that a service may spend at one instance
	// before it earns any, if the configuration sets none.
	defaultRetryBurst = 10
	// burstFraction is the fraction of the fleet's retry allowance that is divided among the
	// known instances. The rest is reserved for new instances, which do not know the size of
	// the fleet yet.
	burstFraction = 0.8
	// roundingTurn is the time after which each instance has had all roundings. It is long against the period of the
	// allowance, since a second instance may round up within it.
	roundingTurn = 10 * time.Minute
	// burstMinInstances is the smallest number of instances among which the allowance is
	// divided. An instance that knows no peers may not have discovered them yet.
	burstMinInstances = 4
)

// resizeBudget sets this instance's part of a service's retry allowance. The budget of a service that was removed keeps
// its size for the requests in progress.
func (n *Node) resizeBudget(p *pool, svc *config.Service) {
	if svc == nil {
		return
	}
	if svc.RetryBurst == 0 {
		p.budget.Resize(svc.RetryShare, defaultRetryBurst, 0)
		return
	}
	instances := max(burstMinInstances, len(n.liveInstances()))
	allowance := burstFraction * svc.RetryBurst
	atOnce, later := p.retryPart.Of(instances, n.poison.store.hearsAll)
	// An instance that has had few requests so far may need its first retry now.
	least := min(1, allowance/float64(instances))
	p.budget.Limit(svc.RetryShare, max(least, allowance*(atOnce+later)), n.retryRounding(p.service))
}

// retryRounding returns a number from 0 to 1 that decides whether this instance may spend the fraction of a retry that its part
// leaves. The numbers of all instances are spread evenly, and move on from one to the next. An instance that joins or leaves
// moves them by one place at most.
func (n *Node) retryRounding(service string) float64 {
	names := n.liveInstances()
	rank, _ := slices.BinarySearch(names, n.settings.Name)
	turned := float64(n.now.UnixMilli()%roundingTurn.Milliseconds()) / float64(roundingTurn.Milliseconds())
	offset := rendezvous.Unit(rendezvous.Hash(service)) + turned
	place := (rank + int(offset*float64(len(names)))) % len(names)
	return 1 - float64(place)/float64(len(names))
}

// tickRetryParts follows this instance's share of each service's requests.
func (n *Node) tickRetryParts() {
	seen := n.seenShare()
	for name, p := range n.pools {
		if p.retryPart != nil {
			p.retryPart.Sample(float64(n.admission.service(name).InProgress()), p.totalLoad/seen)
		}
	}
}

// seenShare returns the share of the instances whose loads this one gets.
func (n *Node) seenShare() float64 {
	if !n.multiHop() || n.peers.crossZoneLoads {
		return 1
	}
	inZone := 0
	for _, m := range n.peers.members {
		if m.Zone == n.settings.Zone {
			inZone++
		}
	}
	return float64(inZone) / float64(len(n.peers.members))
}

// resizeBudgets adjusts the retry budgets of all services to the current size of the fleet.
func (n *Node) resizeBudgets() {
	if n.snapshot == nil {
		return
	}
	for name, p := range n.pools {
		if svc := n.snapshot.Service(name); svc != nil && p.budget != nil {
			n.resizeBudget(p, svc)
		}
	}
}

// takeRetry spends a retry of a service and reports whether there was one.
func (n *Node) takeRetry(service string) bool {
	p := n.pool(service)
	p.budget.Refill(n.now)
	n.resizeBudget(p, n.snapshot.Service(service))
	return p.budget.Take()
}

// takeRetryInAdvance spends one retry in advance after an attempt that failed at one server only: its process has ended, or it
// has refused the request although the servers of its service have room. Few such attempts are sent by one instance.
func (n *Node) takeRetryInAdvance(r *request, outcome retry.Outcome) bool {
	p := n.pool(r.service.Name)
	failedAlone := n.streams.endedAt[r.backend].Equal(n.now) || outcome == retry.Refused && p.hasRoom()
	return failedAlone && p.budget.TakeInAdvance()
}

// roomShare is the share of a service's slots up to which its load leaves room: loads are known late.
const roomShare = 0.5

// hasRoom reports whether the servers that can be reached have slots to spare.
func (p *pool) hasRoom() bool {
	load, slots := 0.0, 0.0
	for i := range p.candidates {
		if c := &p.candidates[i]; !c.Unreachable {
			load += c.Load
			slots += c.Slots
		}
	}
	return load < roomShare*slots
}

// takeHedge spends a retry on a hedge, in advance if only some of the service's servers are silent.
func (n *Node) takeHedge(r *request, quiet []string) bool {
	return n.takeRetry(r.service.Name) || n.anotherAnswers(r, quiet) && n.pool(r.service.Name).budget.TakeInAdvance()
}

// anotherAnswers reports whether a server of the request's service, other than its own and the quiet ones, is sending a
// response to this instance.
func (n *Node) anotherAnswers(r *request, quiet []string) bool {
	silent := slices.Concat(quiet, r.backendsInProgress())
	for _, other := range n.requests {
		answers := other.running && other.responseStarted && !other.silent
		if answers && other.service.Name == r.service.Name && !slices.Contains(silent, other.backend) {
			return true
		}
	}
	return false
}
