package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
)

// claimEnd is the final state of a claim that is not stored yet.
type claimEnd struct {
	req claims.Request
	// nextTry is the time of the next attempt, and tries the number of attempts made.
	nextTry time.Time
	tries   int
}

// endClaim records the result of a claimed request: claims.Done once it was answered,
// claims.Released if it certainly did not run. If the result is unknown, the key stays
// claimed.
func (n *Node) endClaim(r *request, state claims.State) {
	n.recordClaimEnd(claims.Request{
		Key:     claims.HashKey(r.arrived.Customer, r.service.Name, r.arrived.Key),
		Token:   r.claimToken,
		Expires: r.claimExpires,
	}, state)
}

// recordClaimEnd stores the end of a claim, with retries until the claim expires. Pending
// ends are only in memory: if this instance is killed, the key stays claimed until it
// expires.
func (n *Node) recordClaimEnd(req claims.Request, state claims.State) {
	req.Set = state
	if len(n.claims.ends) >= maxPendingClaimEnds {
		n.emit(Counted{Counter: counterClaimEndsDropped, Label: state.String(), N: 1})
		return
	}
	end := &claimEnd{req: req}
	n.claims.ends[req.Token] = end
	n.sendClaimEnd(end)
}

// sendClaimEnd makes one attempt to record the end of a claim.
func (n *Node) sendClaimEnd(end *claimEnd) {
	end.tries++
	first := claimEndRetryDelay
	if end.req.Set == claims.Released {
		first = claimReleaseRetryDelay
	}
	end.nextTry = n.now.Add(n.backoffDelay(first, claimEndMaxRetryDelay, end.tries))
	i := end.req.Key.Partition()
	owner := n.partitionOwner(i)
	if n.sendsEndToOwner(owner, end) {
		n.sendClaim(owner, end.req)
		return
	}
	partition := n.claimPartition(i)
	if !partition.IsPending(end.req.Token) && partition.Add(n.now, "", end.req, n.now.Add(claimEndTimeout)) {
		n.advancePartition(i)
	}
}

// sendsEndToOwner reports whether to send the end of a claim to the owner of its partition.
// The owner has the log in memory; with a slow store, this instance could take long to
// load it. If the owner has been silent, every second attempt is made locally.
func (n *Node) sendsEndToOwner(owner string, end *claimEnd) bool {
	if owner == n.settings.Name || n.ownerSuspected(owner) || !n.peerConnectedTo(owner) {
		return false
	}
	return end.tries%2 == 1 || n.now.Sub(n.members.peerContactAt[owner]) < peerContactTimeout
}

// confirmClaimEnd drops a claim end once the reply confirms that it is stored.
func (n *Node) confirmClaimEnd(reply claims.Reply) {
	end := n.claims.ends[reply.Token]
	if end != nil && end.req.Set == reply.Set && reply.Verdict == claims.Granted {
		delete(n.claims.ends, reply.Token)
	}
}

// claimEndsStored reports whether every claim end is stored.
func (n *Node) claimEndsStored() bool { return len(n.claims.ends) == 0 }

// retryClaimEnds retries the claim ends that are not stored yet and drops the expired ones.
func (n *Node) retryClaimEnds() {
	for _, token := range slices.Sorted(maps.Keys(n.claims.ends)) {
		end := n.claims.ends[token]
		switch {
		case n.now.Before(end.nextTry):
		case unixSeconds(n.now) > end.req.Expires:
			delete(n.claims.ends, token)
			n.emit(Counted{Counter: counterClaimEndsDropped, Label: end.req.Set.String(), N: 1})
		default:
			n.sendClaimEnd(end)
		}
	}
}
