// Package claims implements the ledger of idempotency keys. It ensures that a
// non-idempotent request with a key runs at most once in the whole fleet.
//
// The ledger is partitioned by key hash. Each partition is a log in the platform's store:
// a ring of slots, where each slot is one store value that holds one segment of records.
// Only the tail, the last segment, is written, by compare-and-swap. A write succeeds only
// if its writer has read every valid record. This makes a claim exclusive, whichever
// instance writes it and however late.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fixed dimensions of the ledger. If two instances used different values, they would look
// up the same key in different places, and both would run the request.
const (
	// Partitions is the number of partitions. Keys are assigned to them by hash.
	Partitions = 32
	// Slots is the number of store values of one partition.
	Slots = 256
	// SegmentRecords is the number of records at which a segment is full. All instances
	// must use the same value, since a full segment is never written again.
	SegmentRecords = 160
)

// KeyHash identifies one idempotency key of one customer and service.
type KeyHash struct {
	Hi uint64 `json:"hi"`
	Lo uint64 `json:"lo"`
}

// HashKey returns the hash of a customer's idempotency key for a service. The hash is
// cryptographic so that no caller can make its key collide with another caller's.
func HashKey(customer, service, key string) KeyHash {
	var text []byte
	for _, part := range []string{customer, service, key} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return KeyHash{Hi: binary.BigEndian.Uint64(sum[:]), Lo: binary.BigEndian.Uint64(sum[8:])}
}

// Partition returns the partition of the key.
func (k KeyHash) Partition() int { return int(k.Hi % Partitions) }

// State is the state of a claim in the ledger.
type State uint8

// The states of a claim.
const (
	// Claimed means that the request may be about to be sent, may have been sent, or was
	// lost.
	Claimed State = iota + 1
	// Done means that the request was answered.
	Done
	// Released means that the request certainly did not run; the key is free again.
	Released
)

// String returns the state as reported to the caller of a duplicate request.
func (s State) String() string {
	switch s {
	case Claimed:
		return "in-progress-or-lost"
	case Done:
		return "answered"
	case Released:
		return "released"
	default:
		return "unknown"
	}
}

// Request asks the owner of a partition to change one claim.
type Request struct {
	Key KeyHash `json:"key"`
	// Token identifies the claim attempt. Repeating a request with the same token is
	// idempotent.
	Token uint64 `json:"token"`
	// Set is the requested state: Claimed, Done or Released.
	Set State `json:"set"`
	// Expires is when the claim may be dropped, in seconds since the Unix epoch. It comes
	// from the claimant, which sends nothing after it, and not from the partition's owner,
	// whose configured window may differ for a moment.
	Expires uint32 `json:"expires"`
}

// Verdict is the answer to a Request.
type Verdict string

// The verdicts.
const (
	// Granted means that the change is stored.
	Granted Verdict = "granted"
	// Duplicate means that another token holds the key.
	Duplicate Verdict = "duplicate"
	// Unavailable means that the change may or may not be stored.
	Unavailable Verdict = "unavailable"
	// Queued means that the request is in the owner's queue. It shows only that the owner
	// is alive.
	Queued Verdict = "queued"
	// Full means that the ledger or the queue is full and nothing was written.
	Full Verdict = "full"
)

// Reply answers a Request.
type Reply struct {
	Key     KeyHash `json:"key"`
	Token   uint64  `json:"token"`
	Set     State   `json:"set"`
	Verdict Verdict `json:"verdict"`
	// First is the state of the claim that already holds the key, if this one is a
	// duplicate.
	First State `json:"first,omitempty"`
}
