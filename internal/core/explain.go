package core

import (
	"cmp"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// ExplainQuery names the chat whose next turn is to be explained.
type ExplainQuery struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Chat     string `json:"chat"`
	// Hint is the placement header of the chat's last turn, if any.
	Hint string `json:"hint,omitempty"`
}

// Explanation says where a chat's next turn would go if it came now, and why.
type Explanation struct {
	ExplainQuery
	Generation uint64 `json:"generation"`
	// Bound is the promised multiple of the mean.
	Bound float64 `json:"bound"`
	Mean  float64 `json:"mean"`
	// Limit is the number of requests up to which a backend server may be given
	// one more.
	Limit float64 `json:"limit"`
	// Ranking holds every usable backend server, highest ranked first.
	Ranking []RankedBackend `json:"ranking"`
	// Chosen is the backend server that the turn would go to, if any.
	Chosen string `json:"chosen,omitempty"`
	// Refused is why it would go nowhere.
	Refused reason.Reason `json:"refused,omitempty"`
}

// RankedBackend is one usable backend server in the chat's ranking.
type RankedBackend struct {
	BackendStatus
	// Why is why it is chosen or passed over.
	Why string `json:"why"`
}

// Explain decides as for a request that came now, without sending anything.
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
	r := &request{service: service, arrived: RequestArrived{
		Service: q.Service, Customer: q.Customer, Chat: q.Chat, Hint: q.Hint,
	}}
	x.Bound = service.SkewBound
	chosen, why := n.place(r)
	switch {
	case n.snapshot.Customer(q.Customer) == nil:
		x.Refused = reason.UnknownCustomer
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

func (n *Node) explainRanking(x *Explanation, r *request) {
	p := n.pool(x.Service)
	if len(p.candidates) == 0 {
		return
	}
	x.Mean = p.total / float64(len(p.candidates))
	x.Limit = routing.Limit(x.Bound, p.total, len(p.candidates))
	ranked := slices.Clone(p.candidates)
	chat := chatHash(r)
	slices.SortStableFunc(ranked, func(a, b routing.Candidate) int {
		return cmp.Compare(rendezvous.Score(chat, b.Hash), rendezvous.Score(chat, a.Hash))
	})
	for _, c := range ranked {
		x.Ranking = append(x.Ranking, RankedBackend{
			BackendStatus: BackendStatus{Name: c.Name, Zone: c.Zone, Address: c.Address, Load: c.Load, Own: n.load.Own(c.Name)},
			Why:           x.why(c),
		})
	}
}

func (x *Explanation) why(c routing.Candidate) string {
	switch {
	case c.Name == x.Chosen:
		return "chosen"
	case c.Load+1 > x.Limit:
		return "over the bound"
	default:
		return ""
	}
}
