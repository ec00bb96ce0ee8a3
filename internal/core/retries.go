package core

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
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
	atOnce, later := p.retryPart.Of(instances, n.poison.store.separation.HearsAll())
	p.budget.Limit(svc.RetryShare, allowance*(atOnce+later), n.retryRounding(p.service))
}

// retryRounding returns this instance's rounding of its part of a service's retries.
func (n *Node) retryRounding(service string) float64 {
	names := n.liveInstances()
	rank, _ := slices.BinarySearch(names, n.settings.Name)
	return retry.Rounding(service, rank, len(names), n.now)
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

// refreshBudget adjusts a service's retry budget to the time and the size of the fleet.
func (n *Node) refreshBudget(p *pool) {
	p.budget.Refill(n.now)
	n.resizeBudget(p, n.snapshot.Service(p.service))
}

// takeRetry spends a retry of a service and reports whether there was one.
func (n *Node) takeRetry(service string) bool {
	p := n.pool(service)
	n.refreshBudget(p)
	return p.budget.Take()
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
