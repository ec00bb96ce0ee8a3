package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
)

func (n *Node) sendClaim(owner string, req claims.Request) {
	n.emit(SendPeer{To: owner, Message: PeerMessage{Claim: &req}})
}

// suspected reports whether an owner recently failed to answer.
func (n *Node) suspected(owner string) bool { return n.now.Before(n.claims.suspects[owner]) }

// wantOwners requests links to the owners of all partitions, since an instance that makes
// one claim usually makes more.
func (n *Node) wantOwners() {
	if n.now.Before(n.claims.wantedAt.Add(time.Second)) {
		return
	}
	n.claims.wantedAt = n.now
	for i := range claims.Ranges {
		if owner := n.rangeOwner(i); owner != n.settings.Name {
			n.askForLink(owner)
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
	i := req.Key.Range()
	partition := n.claimRange(i)
	if partition.Waits(req.Token) {
		reply := claims.Reply{Key: req.Key, Token: req.Token, Set: req.Set, Verdict: claims.Queued}
		n.emit(SendPeer{To: from, Message: PeerMessage{ClaimReply: &reply}})
		return
	}
	wait := claimWait
	if req.Set != claims.Claimed {
		wait = endWait
	}
	if verdict := n.queueClaim(partition, from, req, n.now.Add(wait)); verdict != claims.Granted {
		reply := claims.Reply{Key: req.Key, Token: req.Token, Set: req.Set, Verdict: verdict}
		n.emit(SendPeer{To: from, Message: PeerMessage{ClaimReply: &reply}})
		return
	}
	n.pumpClaims(i)
}

// peerClaimReply handles the answer of the peer that owns the partition.
func (n *Node) peerClaimReply(from string, reply claims.Reply) {
	if reply.Set != claims.Claimed {
		n.endAnswered(reply)
		return
	}
	pc := n.claims.waiting[reply.Token]
	if pc == nil || reply.Verdict == claims.Queued || pc.owner != from && reply.Verdict != claims.Granted {
		return
	}
	if reply.Verdict == claims.Unavailable {
		n.takeOver(pc)
		return
	}
	n.claimDecided(pc, reply)
}

// takeOver writes a claim locally because the owner of its partition could not: the owner
// may be frozen, unreachable, or in an availability zone that has lost the platform while
// this zone has not.
func (n *Node) takeOver(pc *claimWaiter) {
	pc.astray = pc.written
	n.claims.suspects[pc.owner] = n.now.Add(suspectTime)
	n.emit(Counted{Counter: counterClaimTakeovers, N: 1})
	n.claimHere(pc)
}

// askAgain resends a claim that its owner has not answered in time. The owner replies at
// once if the request is in its queue. This instance takes over from a silent owner, but
// not from a busy one: a second writer would slow down a partition that is already behind.
func (n *Node) askAgain(pc *claimWaiter) {
	if !pc.written {
		n.takeOver(pc)
		return
	}
	pc.again++
	if pc.again > 1 && n.now.Sub(n.members.heard[pc.owner]) >= againWait {
		n.takeOver(pc)
		return
	}
	pc.astray = true
	pc.forwardUntil = n.now.Add(againWait)
	n.sendClaim(pc.owner, pc.ask)
}
