package core

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// Timeouts, delays and limits for claims.
const (
	// claimTimeout is how long a request waits for its claim.
	claimTimeout = 3 * time.Second
	// claimForwardTimeout is how long a request waits for the owner of its partition
	// before this instance writes the claim itself. It exceeds the partition's write
	// interval plus one write, so that a busy owner is not taken for a failed one.
	claimForwardTimeout = time.Second
	// claimResendTimeout is how long an owner may stay silent after a claim was resent to
	// it.
	claimResendTimeout = 500 * time.Millisecond
	// ownerSuspectTimeout is how long no claim is forwarded to an owner that did not
	// answer.
	ownerSuspectTimeout = 10 * time.Second
	// claimExpiryMargin is the minimum time between the deadline of a claimed request and
	// the expiry of its claim.
	claimExpiryMargin = 5 * time.Second
	// maxPendingClaims limits the requests that wait for their claims.
	maxPendingClaims = 4096
	// maxPendingClaimEnds limits the claim ends that are not stored yet.
	maxPendingClaimEnds = 8192
	// claimEndRetryDelay and claimEndMaxRetryDelay are the first and the longest delay
	// between two attempts to record a claim end.
	claimEndRetryDelay = 5 * time.Second
	// claimEndTimeout is how long a claim end waits in the queue of a partition.
	claimEndTimeout = 15 * time.Second
	// claimReleaseRetryDelay is the first retry delay for a release. It is short because
	// the caller may retry soon.
	claimReleaseRetryDelay = time.Second
	claimEndMaxRetryDelay  = time.Minute
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
	// pending holds the requests that wait for their claims, by token.
	pending map[uint64]*pendingClaim
	// ends holds the claim ends that are not stored yet, by token.
	ends map[uint64]*claimEnd
	// suspects maps each owner that did not answer to the time until which no claim is
	// forwarded to it.
	suspects map[string]time.Time
	// linksRequestedAt is when links to the owners were last requested.
	linksRequestedAt time.Time
	// owners caches the owner of each partition, computed from ownerEntries, the entry
	// instances.
	owners       [claims.Partitions]string
	ownerEntries []string
}

// pendingClaim is a request that waits for its claim.
type pendingClaim struct {
	request RequestID
	// req is the claim request, and deadline the time at which it is given up.
	req      claims.Request
	deadline time.Time
	// owner is the peer that the claim was forwarded to, or "" once this instance writes
	// the claim itself.
	owner string
	// forwardDeadline is when the owner's answer is overdue, and forwardTimeouts the
	// number of times that it was.
	forwardDeadline time.Time
	forwardTimeouts int
	// mayBeStored is set once the claim may be stored. mayBeStoredLate is set once the
	// claim was sent more than once, so that it may be stored after the answer has
	// arrived.
	mayBeStored     bool
	mayBeStoredLate bool
}

func newClaimTracker() claimTracker {
	return claimTracker{
		partitions: make(map[int]*claims.Partition),
		calls:      make(map[OpID]int),
		pending:    make(map[uint64]*pendingClaim),
		ends:       make(map[uint64]*claimEnd),
		suspects:   make(map[string]time.Time),
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
	pc := &pendingClaim{
		request:  r.arrived.Request,
		deadline: n.now.Add(claimTimeout),
		req: claims.Request{
			Key:     claims.HashKey(r.arrived.Customer, r.service.Name, r.arrived.Key),
			Token:   n.random.Uint64(),
			Set:     claims.Claimed,
			Expires: unixSeconds(n.now.Add(window)),
		},
	}
	r.claimToken, r.claimExpires = pc.req.Token, pc.req.Expires
	if len(n.claims.pending) >= maxPendingClaims {
		n.refuseClaim(pc, claims.Reply{Verdict: claims.Unavailable})
		return
	}
	n.claims.pending[pc.req.Token] = pc
	owner := n.partitionOwner(pc.req.Key.Partition())
	if owner == n.settings.Name || n.ownerSuspected(owner) {
		n.claimLocally(pc)
		return
	}
	n.requestOwnerLinks()
	pc.owner, pc.forwardDeadline = owner, n.now.Add(claimForwardTimeout)
	n.forwardClaim(pc)
}

// forwardClaim sends a claim to its owner as soon as there is a link. This instance does
// not write the claim in the meantime, since that write would compete with the owner's own
// writes.
func (n *Node) forwardClaim(pc *pendingClaim) {
	if n.peerConnectedTo(pc.owner) {
		pc.mayBeStored = true
		n.sendClaim(pc.owner, pc.req)
	}
}

func unixSeconds(t time.Time) uint32 {
	return uint32(min(max(0, t.Unix()), math.MaxUint32))
}

// claimLocally queues a claim in this instance's own copy of the partition.
func (n *Node) claimLocally(pc *pendingClaim) {
	pc.owner = ""
	i := pc.req.Key.Partition()
	partition := n.claimPartition(i)
	if verdict := n.queueClaim(partition, "", pc.req, pc.deadline); verdict != claims.Granted {
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

// partitionOwner returns the instance that normally writes to a partition. Instances may
// temporarily disagree about the owner; several then write, and compare-and-swap decides.
func (n *Node) partitionOwner(i int) string {
	entries := n.liveInstances()
	s := &n.claims
	if len(s.ownerEntries) != len(entries) || &s.ownerEntries[0] != &entries[0] {
		s.ownerEntries = entries
		for j := range s.owners {
			s.owners[j] = rendezvous.Top(rendezvous.Hash(fmt.Sprintf("claims/%d", j)), entries, 1)[0]
		}
	}
	return s.owners[i]
}

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
		n.confirmClaimEnd(a.Reply)
		return
	}
	if pc := n.claims.pending[a.Reply.Token]; pc != nil {
		pc.mayBeStored = pc.mayBeStored || a.WriteAttempted
		n.completeClaim(pc, a.Reply)
	}
}

// completeClaim passes the verdict on a claim to its request.
func (n *Node) completeClaim(pc *pendingClaim, reply claims.Reply) {
	r := n.requests[pc.request]
	if reply.Verdict != claims.Granted || r == nil {
		n.refuseClaim(pc, reply)
		return
	}
	delete(n.claims.pending, pc.req.Token)
	n.emit(Counted{Counter: counterClaims, Label: string(reply.Verdict), N: 1})
	n.claimGranted(r)
}

// refuseClaim fails a request whose claim was not granted. If the claim may still be
// stored, it is released in the background; otherwise a later request with the key would
// be refused as the duplicate of one that never ran.
func (n *Node) refuseClaim(pc *pendingClaim, reply claims.Reply) {
	delete(n.claims.pending, pc.req.Token)
	n.emit(Counted{Counter: counterClaims, Label: string(reply.Verdict), N: 1})
	if pc.mayBeStored && (reply.Verdict != claims.Duplicate || pc.mayBeStoredLate) {
		n.recordClaimEnd(pc.req, claims.Released)
	}
	if r := n.requests[pc.request]; r != nil {
		n.claimRefused(r, reply)
	}
}

// tickClaims handles expired timeouts and due retries of claims.
func (n *Node) tickClaims() {
	for _, token := range slices.Sorted(maps.Keys(n.claims.pending)) {
		pc := n.claims.pending[token]
		switch {
		case pc == nil:
		case !n.now.Before(pc.deadline):
			// The write may be in flight, since the partition has not answered yet.
			pc.mayBeStored = true
			n.refuseClaim(pc, claims.Reply{Verdict: claims.Unavailable})
		case pc.owner != "" && !n.now.Before(pc.forwardDeadline):
			n.resendClaim(pc)
		case pc.owner != "" && !pc.mayBeStored:
			n.forwardClaim(pc)
		}
	}
	n.retryClaimEnds()
	maps.DeleteFunc(n.claims.suspects, func(_ string, until time.Time) bool { return !n.now.Before(until) })
	for _, i := range slices.Sorted(maps.Keys(n.claims.partitions)) {
		if n.claims.partitions[i].Idle(n.now, claimLogIdleTimeout) {
			delete(n.claims.partitions, i)
			continue
		}
		n.advancePartition(i)
	}
}
