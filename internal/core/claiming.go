package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
)

// Package claims holds the ledger, and which claims and claim ends are in progress; this file joins it to the node.

const (
	// claimExpiryMargin is the minimum time between the deadline of a claimed request and
	// the expiry of its claim.
	claimExpiryMargin = 5 * time.Second
	// claimLogIdleTimeout is how long the log of an unused partition stays in memory.
	claimLogIdleTimeout = time.Minute
)

// Counter names for claims.
const (
	// counterClaims counts claims by verdict.
	counterClaims = "claims"
	// counterClaimEndsDropped counts, by state, the claim ends that could not be recorded.
	// The key then stays claimed until its window is over.
	counterClaimEndsDropped = "claim_ends_dropped"
	// counterClaimTakeovers counts claims that another instance wrote because the owner of
	// the partition did not answer.
	counterClaimTakeovers = "claim_takeovers"
)

// claimTracker holds the claims that this instance has in progress.
type claimTracker struct {
	// partitions holds the partitions whose logs are in memory, by partition number.
	partitions map[int]*claims.Partition
	// calls maps the store calls in flight to their partitions.
	calls map[OpID]int
	// pending holds the requests that wait for their claims, and ends the claim ends that are not stored yet.
	pending *claims.Waiters[RequestID]
	ends    *claims.Ends
	owners  claims.Owners
}

type pendingClaim = claims.Waiter[RequestID]

func newClaimTracker() claimTracker {
	return claimTracker{
		partitions: make(map[int]*claims.Partition),
		calls:      make(map[OpID]int),
		pending:    claims.NewWaiters[RequestID](),
		ends:       claims.NewEnds(),
	}
}

// capDeadline keeps the deadline of a request before the expiry of its claim. If an
// instance is frozen after the claim and resumes when the key is free again, the deadline
// has passed and the request is not sent. One case remains: a freeze longer than the
// window between the last check of the clock and the write to the network.
func (n *Node) capDeadline(r *request) {
	window := time.Duration(n.snapshot.Claims.Window)
	if latest := n.now.Add(max(0, window-claimExpiryMargin)); r.deadline.After(latest) {
		r.deadline = latest
	}
}

// recordClaim records the idempotency key of the request before any byte of the request is
// sent. It calls claimGranted or claimRefused, either immediately or on a later event.
func (n *Node) recordClaim(r *request) {
	window := time.Duration(n.snapshot.Claims.Window)
	pc := claims.NewWaiter(r.arrived.Request, claims.Request{
		Key:     claims.HashKey(r.arrived.Customer, r.service.Name, r.arrived.Key),
		Token:   n.random.Uint64(),
		Set:     claims.Claimed,
		Expires: claims.UnixSeconds(n.now.Add(window)),
	}, n.now)
	r.claimToken, r.claimExpires = pc.Claim.Token, pc.Claim.Expires
	if !n.claims.pending.Add(pc) {
		n.refuseClaim(pc, claims.Reply{Verdict: claims.Unavailable})
		return
	}
	owner := n.partitionOwner(pc.Claim.Key.Partition())
	if owner == n.settings.Name || n.claims.owners.Suspected(owner, n.now) {
		n.claimLocally(pc)
		return
	}
	n.requestOwnerLinks()
	pc.Forward(owner, n.now)
	n.forwardClaim(pc)
}

// forwardClaim sends a claim to its owner as soon as there is a link. This instance does
// not write the claim in the meantime, since that write would compete with the owner's own
// writes.
func (n *Node) forwardClaim(pc *pendingClaim) {
	if n.peerConnectedTo(pc.Owner()) {
		pc.Sent()
		n.sendClaim(pc.Owner(), pc.Claim)
	}
}

func (n *Node) sendClaim(owner string, req claims.Request) {
	n.emit(SendPeer{To: owner, Message: PeerMessage{Claim: &req}})
}

// requestOwnerLinks requests links to the owners of all partitions, since an instance that
// makes one claim usually makes more.
func (n *Node) requestOwnerLinks() {
	if !n.claims.owners.LinksDue(n.now) {
		return
	}
	for i := range claims.Partitions {
		if owner := n.partitionOwner(i); owner != n.settings.Name {
			n.requestLink(owner)
		}
	}
}

// claimLocally queues a claim in this instance's own copy of the partition.
func (n *Node) claimLocally(pc *pendingClaim) {
	pc.WriteLocally()
	i := pc.Claim.Key.Partition()
	partition := n.claimPartition(i)
	if verdict := n.queueClaim(partition, "", pc.Claim, pc.Deadline()); verdict != claims.Granted {
		n.refuseClaim(pc, claims.Reply{Verdict: verdict})
		return
	}
	n.advancePartition(i)
}

// queueClaim adds a request to the queue of a partition. Granted means only that the
// request was added. Requests are refused while the store is unavailable, as they would
// time out in the queue.
func (n *Node) queueClaim(partition *claims.Partition, from string, req claims.Request, until time.Time) claims.Verdict {
	switch {
	case partition.InBackoff(n.now):
		return claims.Unavailable
	case !partition.Add(n.now, from, req, until):
		return claims.Full
	default:
		return claims.Granted
	}
}

// partitionOwner returns the instance that normally writes to a partition.
func (n *Node) partitionOwner(i int) string { return n.claims.owners.Of(i, n.liveInstances()) }

// claimPartition returns partition i. It creates the partition if it is not in memory.
func (n *Node) claimPartition(i int) *claims.Partition {
	partition := n.claims.partitions[i]
	if partition == nil {
		partition = claims.NewPartition(n.random)
		n.claims.partitions[i] = partition
	}
	return partition
}

// advancePartition issues the store calls that a partition requests and delivers its
// answers.
func (n *Node) advancePartition(i int) {
	for {
		partition := n.claimPartition(i)
		if call := partition.NextCall(n.now); call != nil {
			n.callClaimStore(i, call)
		}
		answers := partition.TakeAnswers()
		if len(answers) == 0 {
			return
		}
		for _, a := range answers {
			n.deliverClaimAnswer(a)
		}
	}
}

// callClaimStore issues a store call for partition i.
func (n *Node) callClaimStore(i int, call *claims.Call) {
	op := n.nextOp()
	n.claims.calls[op] = i
	key := fmt.Sprintf("ebonydyke/claims/%d/%d", i, call.Slot)
	if call.Swap {
		n.emit(StoreSwap{Op: op, Key: key, Version: call.Version, Value: call.Value})
		return
	}
	n.emit(StoreGet{Op: op, Key: key})
}

// claimStoreReplied handles the result of a store call for a partition. It reports whether
// the call was one.
func (n *Node) claimStoreReplied(e StoreReplied) bool {
	i, ok := n.claims.calls[e.Op]
	if !ok {
		return false
	}
	delete(n.claims.calls, e.Op)
	n.claimPartition(i).HandleResult(n.now, claims.Result{Status: claims.Status(e.Status), Version: e.Version, Value: e.Value})
	n.advancePartition(i)
	return true
}

// deliverClaimAnswer delivers an answer of a partition to the peer or the request that
// asked for it.
func (n *Node) deliverClaimAnswer(a claims.Answer) {
	if a.From != "" {
		n.emit(SendPeer{To: a.From, Message: PeerMessage{ClaimReply: &a.Reply}})
		return
	}
	if a.Reply.Set != claims.Claimed {
		n.claims.ends.Confirm(a.Reply)
		return
	}
	if pc := n.claims.pending.Get(a.Reply.Token); pc != nil {
		if a.WriteAttempted {
			pc.WriteAttempted()
		}
		n.completeClaim(pc, a.Reply)
	}
}

// completeClaim passes the verdict on a claim to its request.
func (n *Node) completeClaim(pc *pendingClaim, reply claims.Reply) {
	r := n.requests[pc.Of]
	if reply.Verdict != claims.Granted || r == nil {
		n.refuseClaim(pc, reply)
		return
	}
	n.claims.pending.Remove(pc)
	n.emit(Counted{Counter: counterClaims, Label: string(reply.Verdict), N: 1})
	n.claimGranted(r)
}

// refuseClaim fails a request whose claim was not granted. If the claim may still be
// stored, it is released in the background; otherwise a later request with the key would
// be refused as the duplicate of one that never ran.
func (n *Node) refuseClaim(pc *pendingClaim, reply claims.Reply) {
	n.claims.pending.Remove(pc)
	n.emit(Counted{Counter: counterClaims, Label: string(reply.Verdict), N: 1})
	if pc.NeedsRelease(reply.Verdict) {
		n.recordClaimEnd(pc.Claim, claims.Released)
	}
	if r := n.requests[pc.Of]; r != nil {
		n.claimRefused(r, reply)
	}
}

// takeOverClaim writes a claim locally because the owner of its partition could not: the
// owner may be frozen, unreachable, or in an availability zone that has lost the platform
// while this zone has not.
func (n *Node) takeOverClaim(pc *pendingClaim) {
	n.claims.owners.Suspect(pc.TakeOver(), n.now)
	n.emit(Counted{Counter: counterClaimTakeovers, N: 1})
	n.claimLocally(pc)
}

// advanceClaim sends, resends, takes over or gives up a claim that waits, as its timeouts require.
func (n *Node) advanceClaim(pc *pendingClaim) {
	switch pc.Due(n.members.peerContactAt[pc.Owner()], n.now) {
	case claims.GiveUp:
		n.refuseClaim(pc, claims.Reply{Verdict: claims.Unavailable})
	case claims.SendFirst:
		n.forwardClaim(pc)
	case claims.Resend:
		n.sendClaim(pc.Owner(), pc.Claim)
	case claims.WriteInstead:
		n.takeOverClaim(pc)
	}
}

// tickClaims handles expired timeouts and due retries of claims.
func (n *Node) tickClaims() {
	for _, token := range n.claims.pending.Tokens() {
		if pc := n.claims.pending.Get(token); pc != nil {
			n.advanceClaim(pc)
		}
	}
	n.retryClaimEnds()
	n.claims.owners.Expire(n.now)
	for _, i := range slices.Sorted(maps.Keys(n.claims.partitions)) {
		if n.claims.partitions[i].Idle(n.now, claimLogIdleTimeout) {
			delete(n.claims.partitions, i)
			continue
		}
		n.advancePartition(i)
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
	wait := claims.Timeout
	if req.Set != claims.Claimed {
		wait = claims.EndTimeout
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
		n.claims.ends.Confirm(reply)
		return
	}
	pc := n.claims.pending.Get(reply.Token)
	if pc == nil || !pc.Heeds(from, reply.Verdict) {
		return
	}
	if reply.Verdict == claims.Unavailable {
		n.takeOverClaim(pc)
		return
	}
	n.completeClaim(pc, reply)
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

// recordClaimEnd stores the end of a claim, with retries until the claim expires.
func (n *Node) recordClaimEnd(req claims.Request, state claims.State) {
	req.Set = state
	end := n.claims.ends.Add(req)
	if end == nil {
		n.emit(Counted{Counter: counterClaimEndsDropped, Label: state.String(), N: 1})
		return
	}
	n.sendClaimEnd(end)
}

// sendClaimEnd makes one attempt to record the end of a claim.
func (n *Node) sendClaimEnd(end *claims.End) {
	first, tries := end.Try()
	end.RetryAt(n.now.Add(n.backoffDelay(first, claims.EndMaxRetryDelay, tries)))
	i := end.Request.Key.Partition()
	owner := n.partitionOwner(i)
	if n.sendsEndToOwner(owner, end) {
		n.sendClaim(owner, end.Request)
		return
	}
	partition := n.claimPartition(i)
	if !partition.IsPending(end.Request.Token) && partition.Add(n.now, "", end.Request, n.now.Add(claims.EndTimeout)) {
		n.advancePartition(i)
	}
}

// sendsEndToOwner reports whether to send the end of a claim to the owner of its partition.
func (n *Node) sendsEndToOwner(owner string, end *claims.End) bool {
	if owner == n.settings.Name || n.claims.owners.Suspected(owner, n.now) || !n.peerConnectedTo(owner) {
		return false
	}
	return end.GoesToOwner(n.now.Sub(n.members.peerContactAt[owner]) < peerContactTimeout)
}

// claimEndsStored reports whether every claim end is stored.
func (n *Node) claimEndsStored() bool { return n.claims.ends.Empty() }

// retryClaimEnds retries the claim ends that are not stored yet and drops the expired ones.
func (n *Node) retryClaimEnds() {
	for _, token := range n.claims.ends.Tokens() {
		end := n.claims.ends.Get(token)
		switch {
		case end == nil:
			// An earlier iteration of this loop confirmed this end.
		case !end.Due(n.now):
		case end.Expired(n.now):
			n.claims.ends.Drop(end)
			n.emit(Counted{Counter: counterClaimEndsDropped, Label: end.Request.Set.String(), N: 1})
		default:
			n.sendClaimEnd(end)
		}
	}
}
