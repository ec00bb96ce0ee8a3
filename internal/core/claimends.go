package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
)

// claimEnd is the final state of a claim that is not stored yet.
type claimEnd struct {
	ask claims.Request
	// next is the time of the next attempt, and tries the number of attempts made.
	next  time.Time
	tries int
}

// endClaim records the result of a claimed request: claims.Done once it was answered,
// claims.Released if it certainly did not run. If the result is unknown, the key stays
// claimed.
func (n *Node) endClaim(r *request, state claims.State) {
	n.recordEnd(claims.Request{
		Key:     claims.Key(r.arrived.Customer, r.service.Name, r.arrived.Key),
		Token:   r.claimToken,
		Expires: r.claimExpires,
	}, state)
}

// recordEnd stores the end of a claim, with retries until the claim expires. Pending ends
// are only in memory: if this instance is killed, the key stays claimed until it expires.
func (n *Node) recordEnd(req claims.Request, state claims.State) {
	req.Set = state
	if len(n.claims.ends) >= maxClaimEnds {
		n.emit(Counted{Counter: counterClaimEndsDropped, Label: state.String(), N: 1})
		return
	}
	end := &claimEnd{ask: req}
	n.claims.ends[req.Token] = end
	n.sendEnd(end)
}

// sendEnd makes one attempt to record the end of a claim.
func (n *Node) sendEnd(end *claimEnd) {
	end.tries++
	first := endDelay
	if end.ask.Set == claims.Released {
		first = releaseDelay
	}
	end.next = n.now.Add(n.backOff(first, endMaxDelay, end.tries))
	i := end.ask.Key.Range()
	owner := n.rangeOwner(i)
	if n.endsAtOwner(owner, end) {
		n.sendClaim(owner, end.ask)
		return
	}
	partition := n.claimRange(i)
	if !partition.Waits(end.ask.Token) && partition.Add(n.now, "", end.ask, n.now.Add(endWait)) {
		n.pumpClaims(i)
	}
}

// endsAtOwner reports whether to send the end of a claim to the owner of its partition.
// The owner has the log in memory; with a slow store, this instance could take long to
// load it. If the owner has been silent, every second attempt is made locally.
func (n *Node) endsAtOwner(owner string, end *claimEnd) bool {
	if owner == n.settings.Name || n.suspected(owner) || !n.linkedTo(owner) {
		return false
	}
	return end.tries%2 == 1 || n.now.Sub(n.members.heard[owner]) < peerSilence
}

// endAnswered drops a claim end once the reply confirms that it is stored.
func (n *Node) endAnswered(reply claims.Reply) {
	end := n.claims.ends[reply.Token]
	if end != nil && end.ask.Set == reply.Set && reply.Verdict == claims.Granted {
		delete(n.claims.ends, reply.Token)
	}
}

// claimsSettled reports whether every claim end is stored.
func (n *Node) claimsSettled() bool { return len(n.claims.ends) == 0 }

// tickEnds retries the claim ends that are not stored yet and drops the expired ones.
func (n *Node) tickEnds() {
	for _, token := range slices.Sorted(maps.Keys(n.claims.ends)) {
		end := n.claims.ends[token]
		switch {
		case n.now.Before(end.next):
		case unixSeconds(n.now) > end.ask.Expires:
			delete(n.claims.ends, token)
			n.emit(Counted{Counter: counterClaimEndsDropped, Label: end.ask.Set.String(), N: 1})
		default:
			n.sendEnd(end)
		}
	}
}
