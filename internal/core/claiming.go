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
	// claimWait is how long a request waits for its claim.
	claimWait = 3 * time.Second
	// forwardWait is how long a request waits for the owner of its partition before this
	// instance writes the claim itself. It exceeds the partition's write interval plus one
	// write, so that a busy owner is not taken for a failed one.
	forwardWait = time.Second
	// againWait is how long an owner may stay silent after a claim was resent to it.
	againWait = 500 * time.Millisecond
	// suspectTime is how long no claim is forwarded to an owner that did not answer.
	suspectTime = 10 * time.Second
	// sendMargin is the minimum time between the deadline of a claimed request and the
	// expiry of its claim.
	sendMargin = 5 * time.Second
	// maxClaimsWaiting limits the requests that wait for their claims.
	maxClaimsWaiting = 4096
	// maxClaimEnds limits the claim ends that are not stored yet.
	maxClaimEnds = 8192
	// endDelay and endMaxDelay are the first and the longest delay between two attempts to
	// record a claim end.
	endDelay = 5 * time.Second
	// endWait is how long a claim end waits in the queue of a partition.
	endWait = 15 * time.Second
	// releaseDelay is the first retry delay for a release. It is short because the caller
	// may retry soon.
	releaseDelay = time.Second
	endMaxDelay  = time.Minute
	// unloadAfter is how long the log of an unused partition stays in memory.
	unloadAfter = time.Minute
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

// claimState holds the claims that this instance has in progress.
type claimState struct {
	// ranges holds the partitions whose logs are in memory, by partition number.
	ranges map[int]*claims.Range
	// calls maps the store calls in flight to their partitions.
	calls map[OpID]int
	// waiting holds the requests that wait for their claims, by token.
	waiting map[uint64]*claimWaiter
	// ends holds the claim ends that are not stored yet, by token.
	ends map[uint64]*claimEnd
	// suspects maps each owner that did not answer to the time until which no claim is
	// forwarded to it.
	suspects map[string]time.Time
	// wantedAt is when links to the owners were last requested.
	wantedAt time.Time
	// owners caches the owner of each partition, computed from the entries in ranked.
	owners [claims.Ranges]string
	ranked []string
}

// claimWaiter is a request that waits for its claim.
type claimWaiter struct {
	request RequestID
	// ask is the claim request, and until the time at which it is given up.
	ask   claims.Request
	until time.Time
	// owner is the peer that the claim was forwarded to, or "" once this instance writes
	// the claim itself.
	owner string
	// forwardUntil is when the owner's answer is overdue, and again the number of such
	// timeouts since the claim was forwarded.
	forwardUntil time.Time
	again        int
	// written is set once the claim may be stored. astray is set once the claim was sent
	// more than once, so that it may be stored after the answer has arrived.
	written bool
	astray  bool
}

func newClaimState() claimState {
	return claimState{
		ranges:   make(map[int]*claims.Range),
		calls:    make(map[OpID]int),
		waiting:  make(map[uint64]*claimWaiter),
		ends:     make(map[uint64]*claimEnd),
		suspects: make(map[string]time.Time),
	}
}

// capDeadline keeps the deadline of a request before the expiry of its claim. If an
// instance is frozen after the claim and resumes when the key is free again, the deadline
// has passed and the request is not sent. One case remains: a freeze longer than the
// window between the last check of the clock and the write to the network.
func (n *Node) capDeadline(r *request) {
	window := time.Duration(n.snapshot.Claims.Window)
	if latest := n.now.Add(max(0, window-sendMargin)); r.deadline.After(latest) {
		r.deadline = latest
	}
}

// claim records the idempotency key of the request before any byte of the request is sent.
// It calls claimGranted or claimRefused, either immediately or on a later event.
func (n *Node) claim(r *request) {
	window := time.Duration(n.snapshot.Claims.Window)
	pc := &claimWaiter{
		request: r.arrived.Request,
		until:   n.now.Add(claimWait),
		ask: claims.Request{
			Key:     claims.Key(r.arrived.Customer, r.service.Name, r.arrived.Key),
			Token:   n.random.Uint64(),
			Set:     claims.Claimed,
			Expires: unixSeconds(n.now.Add(window)),
		},
	}
	r.claimToken, r.claimExpires = pc.ask.Token, pc.ask.Expires
	if len(n.claims.waiting) >= maxClaimsWaiting {
		n.refuseClaim(pc, claims.Reply{Verdict: claims.Unavailable})
		return
	}
	n.claims.waiting[pc.ask.Token] = pc
	owner := n.rangeOwner(pc.ask.Key.Range())
	if owner == n.settings.Name || n.suspected(owner) {
		n.claimHere(pc)
		return
	}
	n.wantOwners()
	pc.owner, pc.forwardUntil = owner, n.now.Add(forwardWait)
	n.forward(pc)
}

// forward sends a claim to its owner as soon as there is a link. This instance does not
// write the claim in the meantime, since that write would compete with the owner's own
// writes.
func (n *Node) forward(pc *claimWaiter) {
	if n.linkedTo(pc.owner) {
		pc.written = true
		n.sendClaim(pc.owner, pc.ask)
	}
}

func unixSeconds(t time.Time) uint32 {
	return uint32(min(max(0, t.Unix()), math.MaxUint32))
}

// claimHere queues a claim in this instance's own copy of the partition.
func (n *Node) claimHere(pc *claimWaiter) {
	pc.owner = ""
	i := pc.ask.Key.Range()
	partition := n.claimRange(i)
	if verdict := n.queueClaim(partition, "", pc.ask, pc.until); verdict != claims.Granted {
		n.refuseClaim(pc, claims.Reply{Verdict: verdict})
		return
	}
	n.pumpClaims(i)
}

// queueClaim adds a request to the queue of a partition. Granted means only that the
// request was added. Requests are refused while the store is unavailable, as they would
// time out in the queue.
func (n *Node) queueClaim(partition *claims.Range, from string, req claims.Request, until time.Time) claims.Verdict {
	switch {
	case partition.Away(n.now):
		return claims.Unavailable
	case !partition.Add(n.now, from, req, until):
		return claims.Full
	default:
		return claims.Granted
	}
}

// rangeOwner returns the instance that normally writes to a partition. Instances may
// temporarily disagree about the owner; several then write, and compare-and-swap decides.
func (n *Node) rangeOwner(i int) string {
	entries := n.entries()
	s := &n.claims
	if len(s.ranked) != len(entries) || &s.ranked[0] != &entries[0] {
		s.ranked = entries
		for j := range s.owners {
			s.owners[j] = rendezvous.Top(rendezvous.Hash(fmt.Sprintf("claims/%d", j)), entries, 1)[0]
		}
	}
	return s.owners[i]
}

// claimRange returns partition i. It creates the partition if it is not in memory.
func (n *Node) claimRange(i int) *claims.Range {
	partition := n.claims.ranges[i]
	if partition == nil {
		partition = claims.NewRange(n.random)
		n.claims.ranges[i] = partition
	}
	return partition
}

// pumpClaims issues the store calls that a partition requests and delivers its answers.
func (n *Node) pumpClaims(i int) {
	for {
		partition := n.claimRange(i)
		if call := partition.Step(n.now); call != nil {
			n.callClaims(i, call)
		}
		answers := partition.Take()
		if len(answers) == 0 {
			return
		}
		for _, a := range answers {
			n.claimAnswered(a)
		}
	}
}

// callClaims issues a store call for partition i.
func (n *Node) callClaims(i int, call *claims.Call) {
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
	n.claimRange(i).Replied(n.now, claims.Result{Status: claims.Status(e.Status), Version: e.Version, Value: e.Value})
	n.pumpClaims(i)
	return true
}

// claimAnswered delivers an answer of a partition to the peer or the request that asked
// for it.
func (n *Node) claimAnswered(a claims.Answer) {
	if a.From != "" {
		n.emit(SendPeer{To: a.From, Message: PeerMessage{ClaimReply: &a.Reply}})
		return
	}
	if a.Reply.Set != claims.Claimed {
		n.endAnswered(a.Reply)
		return
	}
	if pc := n.claims.waiting[a.Reply.Token]; pc != nil {
		pc.written = pc.written || a.Written
		n.claimDecided(pc, a.Reply)
	}
}

// claimDecided passes the verdict on a claim to its request.
func (n *Node) claimDecided(pc *claimWaiter, reply claims.Reply) {
	r := n.requests[pc.request]
	if reply.Verdict != claims.Granted || r == nil {
		n.refuseClaim(pc, reply)
		return
	}
	delete(n.claims.waiting, pc.ask.Token)
	n.emit(Counted{Counter: counterClaims, Label: string(reply.Verdict), N: 1})
	n.claimGranted(r)
}

// refuseClaim fails a request whose claim was not granted. If the claim may still be
// stored, it is released in the background; otherwise a later request with the key would
// be refused as the duplicate of one that never ran.
func (n *Node) refuseClaim(pc *claimWaiter, reply claims.Reply) {
	delete(n.claims.waiting, pc.ask.Token)
	n.emit(Counted{Counter: counterClaims, Label: string(reply.Verdict), N: 1})
	if pc.written && (reply.Verdict != claims.Duplicate || pc.astray) {
		n.recordEnd(pc.ask, claims.Released)
	}
	if r := n.requests[pc.request]; r != nil {
		n.claimRefused(r, reply)
	}
}

// tickClaims handles expired timeouts and due retries of claims.
func (n *Node) tickClaims() {
	for _, token := range slices.Sorted(maps.Keys(n.claims.waiting)) {
		pc := n.claims.waiting[token]
		switch {
		case pc == nil:
		case !n.now.Before(pc.until):
			// The write may be in flight, since the partition has not answered yet.
			pc.written = true
			n.refuseClaim(pc, claims.Reply{Verdict: claims.Unavailable})
		case pc.owner != "" && !n.now.Before(pc.forwardUntil):
			n.askAgain(pc)
		case pc.owner != "" && !pc.written:
			n.forward(pc)
		}
	}
	n.tickEnds()
	maps.DeleteFunc(n.claims.suspects, func(_ string, until time.Time) bool { return !n.now.Before(until) })
	for _, i := range slices.Sorted(maps.Keys(n.claims.ranges)) {
		if n.claims.ranges[i].Idle(n.now, unloadAfter) {
			delete(n.claims.ranges, i)
			continue
		}
		n.pumpClaims(i)
	}
}
