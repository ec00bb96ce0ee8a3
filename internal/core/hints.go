package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// hintedCandidate returns the index of the candidate that the request's hint names, or
// routing.None. A hint that names an earlier incarnation is ignored, because the cache was
// lost with that process.
func (n *Node) hintedCandidate(r *request, p *pool) int {
	if r.arrived.Chat == "" {
		return routing.None
	}
	hint, ok := routing.DecodeHint(r.arrived.Hint)
	ok = ok && hint.Fresh(n.now)
	if r.attempt == 0 {
		n.hints.record(r.arrived.Customer, ok)
	}
	if !ok {
		return routing.None
	}
	i, ok := p.index[hint.Backend]
	if !ok || p.candidates[i].Incarnation != hint.Incarnation {
		return routing.None
	}
	return i
}

// hintFor returns the encoded placement hint that the caller may send back with the chat's
// next turn.
func (n *Node) hintFor(c *routing.Candidate) string {
	return routing.NewHint(c, n.now).Encode()
}

// hintShares holds, for each customer, the moving average of the share of turns that came
// with a valid hint. It identifies the customers whose callers send hints back. Without it, a
// first turn, which any backend server may serve, could not be told from a later turn of a
// chat whose caller sends no hints; such a turn finds its cached prefix only through the
// ranking. The map holds at most one entry per customer of the configuration.
type hintShares map[string]float64

const (
	// hintShareWindow is the window of the moving average, in turns.
	hintShareWindow = 64
	// minHintShare is the share from which a customer counts as sending hints.
	minHintShare = 0.25
)

// record updates a customer's share with one turn.
func (s hintShares) record(customer string, hinted bool) {
	value := 0.0
	if hinted {
		value = 1
	}
	s[customer] += (value - s[customer]) / hintShareWindow
}

// requestKind returns the kind of a request that has no valid hint.
func (s hintShares) requestKind(r *request) routing.Kind {
	if s[r.arrived.Customer] >= minHintShare {
		return routing.First
	}
	return routing.Unhinted
}

// prune drops the customers that the configuration no longer contains.
func (s hintShares) prune(snapshot *config.Snapshot) {
	for customer := range s {
		if snapshot.Customer(customer) == nil {
			delete(s, customer)
		}
	}
}
