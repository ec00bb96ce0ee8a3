package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
)

func (n *Node) sendClaim(owner string, req claims.Request) {
	n.emit(SendPeer{To: owner, Message: PeerMessage{Claim: &req}})
}

// ownerSuspected reports whether an owner recently failed to answer.
func (n *Node) ownerSuspected(owner string) bool { return n.now.Before(n.claims.suspects[owner]) }

// requestOwnerLinks requests links to the owners of all partitions, since an instance that
// makes one claim usually makes more.
func (n *Node) requestOwnerLinks() {
	if n.now.Before(n.claims.linksRequestedAt.Add(time.Second)) {
		return
	}
	n.claims.linksRequestedAt = n.now
	for i := range claims.Partitions {
		if owner := n.partitionOwner(i); owner != n.settings.Name {
			n.requestLink(owner)
		}
	}
}

// peerClaim handles a claim request from a peer. The request is not forwarded, even if
// this instance considers another one the owner: two instances that disagree about the
// owner would forward it to each other endlessly.
func (n *Node) peerClaim(from string, req claims.Request) {
	if req.Expires == 0 {
		return
	}
	i := req.Key.Partition()
	partition := n.claimPartition(i)
	if partition.IsPending(req.Token) {
		reply := claims.Reply{Key: req.Key, Token: req.Token, Set: req.Set, Verdict: claims.Queued}
		n.emit(SendPeer{To: from, Message: PeerMessage{ClaimReply: &reply}})
		return
	}
	wait := claimTimeout
	if req.Set != claims.Claimed {
		wait = claimEndTimeout
	}
	if verdict := n.queueClaim(partition, from, req, n.now.Add(wait)); verdict != claims.Granted {
		reply := claims.Reply{Key: req.Key, Token: req.Token, Set: req.Set, Verdict: verdict}
		n.emit(SendPeer{To: from, Message: PeerMessage{ClaimReply: &reply}})
		return
	}
	n.advancePartition(i)
}

// peerClaimReply handles the answer of the peer that owns the partition.
func (n *Node) peerClaimReply(from string, reply claims.Reply) {
	if reply.Set != claims.Claimed {
		n.confirmClaimEnd(reply)
		return
	}
	pc := n.claims.pending[reply.Token]
	if pc == nil || reply.Verdict == claims.Queued || pc.owner != from && reply.Verdict != claims.Granted {
		return
	}
	if reply.Verdict == claims.Unavailable {
		n.takeOverClaim(pc)
		return
	}
	n.completeClaim(pc, reply)
}

// takeOverClaim writes a claim locally because the owner of its partition could not: the
// owner may be frozen, unreachable, or in an availability zone that has lost the platform
// while this zone has not.
func (n *Node) takeOverClaim(pc *pendingClaim) {
	pc.mayBeStoredLate = pc.mayBeStored
	n.claims.suspects[pc.owner] = n.now.Add(ownerSuspectTimeout)
	n.emit(Counted{Counter: counterClaimTakeovers, N: 1})
	n.claimLocally(pc)
}

// resendClaim resends a claim that its owner has not answered in time. The owner replies at
// once if the request is in its queue. This instance takes over from a silent owner, but
// not from a busy one: a second writer would slow down a partition that is already behind.
func (n *Node) resendClaim(pc *pendingClaim) {
	if !pc.mayBeStored {
		n.takeOverClaim(pc)
		return
	}
	pc.forwardTimeouts++
	if pc.forwardTimeouts > 1 && n.now.Sub(n.members.peerContactAt[pc.owner]) >= claimResendTimeout {
		n.takeOverClaim(pc)
		return
	}
	pc.mayBeStoredLate = true
	pc.forwardDeadline = n.now.Add(claimResendTimeout)
	n.sendClaim(pc.owner, pc.req)
}
