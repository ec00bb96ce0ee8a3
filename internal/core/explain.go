package core

import (
	"cmp"
	"slices"
	"strings"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// ExplainQuery identifies the chat whose next turn Explain places.
type ExplainQuery struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Chat     string `json:"chat"`
	// Hint is the placement header of the chat's previous turn, if any.
	Hint string `json:"hint,omitempty"`
}

// Explanation reports which backend server a chat's next turn would go to at this
// moment, and why.
type Explanation struct {
	ExplainQuery
	Generation uint64 `json:"generation"`
	// Bound is the configured maximum load of a backend server as a multiple of the mean.
	Bound float64 `json:"bound"`
	Mean  float64 `json:"mean"`
	// Limit is the number of requests in flight that the bound allows one backend server;
	// 0 if no limit applies because only average loads are known.
	Limit float64 `json:"limit"`
	// Inner is this chat's own, lower limit. Above it the next backend server of the
	// ranking is preferred; 0 if no limit applies.
	Inner float64 `json:"inner"`
	// Hinted is the backend server named by a valid hint, if any.
	Hinted string `json:"hinted,omitempty"`
	// Load and Capacity are those of the whole service. Customers' shares are enforced
	// when Load is near Capacity.
	Load     float64 `json:"load"`
	Capacity float64 `json:"capacity"`
	// CustomerInFlight is the number of the customer's requests in flight at this instance.
	CustomerInFlight int `json:"customer_in_flight"`
	// Ranking holds all usable backend servers, highest ranked first.
	Ranking []RankedBackend `json:"ranking"`
	// Chosen is the selected backend server, if any.
	Chosen string `json:"chosen,omitempty"`
	// Refused is the reason for which the turn would be refused, if it would be.
	Refused reason.Reason `json:"refused,omitempty"`
}

// RankedBackend is one usable backend server in the chat's ranking.
type RankedBackend struct {
	status.Backend
	// Why is the reason for which it is chosen or skipped.
	Why string `json:"why"`
}

// Explain makes the decisions for a request that arrives now, without sending it. It does
// not evaluate the customers' shares, because that would record demand.
func (n *Node) Explain(q ExplainQuery) Explanation {
	x := Explanation{ExplainQuery: q}
	if n.snapshot == nil {
		x.Refused = reason.NoConfiguration
		return x
	}
	x.Generation = n.snapshot.Generation
	service := n.snapshot.Service(q.Service)
	if service == nil {
		x.Refused = reason.UnknownService
		return x
	}
	customer := n.snapshot.Customer(q.Customer)
	r := &request{target: target{service: service, zones: n.allowedZones(nil, customer)}, arrived: RequestArrived{
		Service: q.Service, Customer: q.Customer, Chat: q.Chat, Hint: q.Hint,
	}}
	x.Bound = service.SkewBound
	x.CustomerInFlight = n.admission.inFlight[q.Customer]
	chosen, why := n.place(r)
	switch {
	case customer == nil:
		x.Refused = reason.UnknownCustomer
	case customer.MaxInFlight > 0 && x.CustomerInFlight >= customer.MaxInFlight:
		x.Refused = reason.CustomerLimit
	case !n.dependenciesUsable(service):
		x.Refused = reason.DependencyUnavailable
	case why != reason.None:
		x.Refused = why
	default:
		x.Chosen = chosen.Name
	}
	n.explainRanking(&x, r)
	return x
}

// explainRanking adds the loads, limits and ranking that the placement is based on.
func (n *Node) explainRanking(x *Explanation, r *request) {
	p := n.pool(x.Service)
	if len(p.candidates) == 0 {
		return
	}
	load := n.loadAmong(r, p)
	choice := n.routingChoice(r, p)
	x.Mean = load.Total / load.Servers
	x.Load, x.Capacity = load.Total, p.candidates.Capacity(load.Servers)
	limits := choice.Limits.Finite()
	x.Limit, x.Inner = limits.Outer, limits.Inner
	if choice.Hinted != routing.None {
		x.Hinted = p.candidates[choice.Hinted].Name
	}
	ranked := slices.Clone(p.candidates)
	slices.SortStableFunc(ranked, func(a, b routing.Candidate) int {
		return cmp.Compare(rendezvous.Score(choice.Chat, b.Hash), rendezvous.Score(choice.Chat, a.Hash))
	})
	for i := range ranked {
		x.Ranking = append(x.Ranking, RankedBackend{
			Backend: n.candidateStatus(&ranked[i]),
			Why:     x.why(&ranked[i], r),
		})
	}
}

func (x *Explanation) why(c *routing.Candidate, r *request) string {
	var words []string
	if c.Name == x.Chosen {
		words = append(words, "chosen")
	}
	if c.Name == x.Hinted {
		words = append(words, "hinted")
	}
	switch load := c.Load + 1; {
	case load > c.Capacity:
		words = append(words, "at its capacity")
	case x.Limit > 0 && load > x.Limit:
		words = append(words, "at the bound")
	case x.Inner > 0 && load > x.Inner:
		words = append(words, "at this chat's limit")
	}
	if !r.zoneAllowed(c.Zone) {
		words = append(words, "outside the customer's regions")
	}
	if c.Cold {
		words = append(words, "warming up: needs a permit")
	}
	if c.Unreachable {
		words = append(words, "not reachable from here lately")
	}
	return strings.Join(words, ", ")
}
