package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// Requests that describe their prompts are routed to engines that have cached earlier parts
// of them. All instances rank the engines of a session alike, so its requests reach the same
// preferred engine without any coordination between instances. If a request goes to another
// engine, that engine copies the cached parts instead of prefilling them again.

// recentJoinWindow is the time after an engine joins during which the prompts of its sessions
// may be cached only at their former engines.
const recentJoinWindow = 5 * time.Second

// recentAnswer is the time after a response from a zone for which engines there count as usable for copies although the links to its
// instances are lost.
const recentAnswer = 100 * time.Millisecond

// The fraction of the headroom above the mean load that a session may fill at its preferred
// engine. A lower fraction is no safer: requests that skip a full preferred engine
// concentrate on the next engine in the ranking, which has to prefill their prompts again.
const (
	defaultSessionHeadroom = 0.85
	// In a fleet so large that loads take a second or more to propagate, each request draws
	// its fraction from this range. With one fraction for all, all instances would leave a
	// preferred engine at the same load, and return together when it is reported as idle.
	minSessionHeadroom, maxSessionHeadroom = 0.75, 0.95
)

// sessionHeadroom returns the fraction of the headroom that a request's session may fill at its
// preferred engine in this fleet.
func (n *Node) sessionHeadroom(id RequestID) float64 {
	if !n.multiHop() {
		return defaultSessionHeadroom
	}
	return minSessionHeadroom + (maxSessionHeadroom-minSessionHeadroom)*rendezvous.Unit(rendezvous.Hash(string(id)))
}

// copySource returns the address from which the chosen engine can copy the cached parts of the
// request's prompt, or "" if it needs none.
//
// The address is only advisory: an engine copies the parts that the other one has cached and
// that it lacks itself, which may be none. Copying a prompt takes an engine a fraction of the
// time that a prefill does.
func (n *Node) copySource(r *request, p *pool, chosen *routing.Candidate) string {
	prompt := r.arrived.Prompt
	if prompt == nil || len(prompt.Parts) < 2 {
		return ""
	}
	session := prompt.Parts[len(prompt.Parts)-2].ID
	if n.prefixes.Holds(session, chosen.Name, n.now) {
		return ""
	}
	if from := n.cacheHolder(r, session, p, chosen); from != nil {
		return from.Address
	}
	if from := p.formerEngine(r, chosen, n.now); from != nil && !n.copyIsCut(from) {
		return from.Address
	}
	// The session is new, but other sessions share the parts before it.
	for i := len(prompt.Parts) - 3; i >= 0; i-- {
		if n.prefixes.Holds(prompt.Parts[i].ID, chosen.Name, n.now) {
			return ""
		}
		if from := n.cacheHolder(r, prompt.Parts[i].ID, p, chosen); from != nil {
			return from.Address
		}
	}
	return ""
}

// cacheHolder returns an engine that is known to have cached a part and from which the chosen
// engine can copy it, or nil.
func (n *Node) cacheHolder(r *request, part string, p *pool, chosen *routing.Candidate) *routing.Candidate {
	var found *routing.Candidate
	n.prefixes.EachHolder(part, n.now, func(backend string) bool {
		c := p.find(backend)
		if c != nil && !c.Unreachable && !n.copyIsCut(c) && backend != chosen.Name && c.Version == chosen.Version && r.zoneAllowed(c.Zone) {
			found = c
		}
		return found == nil
	})
	return found
}

// copyIsCut reports whether the chosen engine probably cannot copy from an engine: this instance is out of contact with its zone. The
// chosen engine would wait for the copy in vain before it prefills.
func (n *Node) copyIsCut(from *routing.Candidate) bool {
	if !n.contactLost(from.Zone) || n.reach.AnsweredWithin(from.Zone, recentAnswer, n.now) {
		return false
	}
	n.emit(Counted{Counter: counterSeparation, Label: labelCopyAvoided, N: 1})
	return true
}

// formerEngine returns the engine that most likely caches a session for which this instance
// has no record, or nil if that is the chosen engine. It is the engine that ranks first for
// the chat. Leaving engines are included, because a session may have been routed to one
// before; unreachable engines, those of another version, whose cache does not fit, and those that
// joined within recentJoinWindow are excluded, as are those in zones that are not allowed for the request.
func (p *pool) formerEngine(r *request, chosen *routing.Candidate, now time.Time) *routing.Candidate {
	hash := chatHash(r)
	var best *routing.Candidate
	var bestScore uint64
	consider := func(c *routing.Candidate) {
		joined := p.joinTimes[c.Name]
		if c.Unreachable || c.Version != chosen.Version || !r.zoneAllowed(c.Zone) || !joined.IsZero() && now.Sub(joined) < recentJoinWindow {
			return
		}
		if score := rendezvous.Score(hash, c.Hash); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	for i := range p.candidates {
		consider(&p.candidates[i])
	}
	for i := range p.leaving {
		consider(&p.leaving[i])
	}
	if best == nil || best.Name == chosen.Name {
		return nil
	}
	return best
}

// find returns the pool's backend server of that name, which may be a leaving one, or nil.
func (p *pool) find(backend string) *routing.Candidate {
	if i, ok := p.index[backend]; ok {
		return &p.candidates[i]
	}
	for i := range p.leaving {
		if p.leaving[i].Name == backend {
			return &p.leaving[i]
		}
	}
	return nil
}

// recordPrompt records the parts of a prompt that the engine will have cached. The last part is
// specific to the request and is never looked up.
func (n *Node) recordPrompt(r *request) {
	prompt := r.arrived.Prompt
	if prompt == nil {
		return
	}
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		n.prefixes.Record(part.ID, r.backend, n.now)
	}
}
