package core

import "github.com/ebonydyke/ebonydyke/internal/core/routing"

// hintedCandidate returns the index of the candidate that the request's hint names, or
// routing.None. A hint that names an earlier incarnation is ignored, because the cache was
// lost with that process.
func (n *Node) hintedCandidate(r *request, p *pool) int {
	if r.arrived.Chat == "" {
		return routing.None
	}
	hint, ok := routing.DecodeHint(r.arrived.Hint)
	ok = ok && hint.Fresh(n.now)
	if r.attempts == 0 {
		n.hints.Record(r.arrived.Customer, ok)
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

// requestKind returns the kind of a request that has no valid hint.
func (n *Node) requestKind(r *request) routing.Kind {
	if n.hints.SendsHints(r.arrived.Customer) {
		return routing.First
	}
	return routing.Unhinted
}
