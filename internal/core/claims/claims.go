// Package claims keeps the ledger by which a non-idempotent request with a key
// runs at most once in the whole fleet.
//
// The ledger is a number of ranges of key hashes. Each is a log in the platform's
// store: a ring of slots, each slot one store value that holds one segment of
// records. Only the tail, the last segment, is ever written, by compare-and-swap.
// A writer knows every record that counts, or its write fails; that is what makes
// a claim exclusive, whoever writes and however late.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
)

// The shape of the ledger. It is fixed: two instances that disagreed about it
// would look for the same key in two places, and both would run the request.
const (
	// Ranges is the number of logs. Keys are spread over them by their hash.
	Ranges = 32
	// Slots is the number of store values of one log.
	Slots = 256
	// SegmentRecords is the number of records from which a segment is full. All instances must
	// agree on when a segment is full, since a full one is never written again.
	SegmentRecords = 160
)

// KeyHash identifies one idempotency key of one customer and service.
type KeyHash struct {
	Hi uint64 `json:"hi"`
	Lo uint64 `json:"lo"`
}

// Key gives the hash of a customer's idempotency key for a service. It is a
// cryptographic one, so that no caller can make its key collide with another's.
func Key(customer, service, key string) KeyHash {
	var text []byte
	for _, part := range []string{customer, service, key} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return KeyHash{Hi: binary.BigEndian.Uint64(sum[:]), Lo: binary.BigEndian.Uint64(sum[8:])}
}

// Range is the range that the key belongs to.
func (k KeyHash) Range() int { return int(k.Hi % Ranges) }

// State is what the ledger knows of a claim.
type State uint8

// The states of a claim.
const (
	// Claimed means that the request may be sent, was sent, or was lost.
	Claimed State = iota + 1
	// Done means that the request was answered.
	Done
	// Released means that the request surely did not run; the key is free again.
	Released
)

// String is the word that a duplicate's answer gives for the first request.
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

// Request asks the owner of a range for a change of one claim.
type Request struct {
	Key KeyHash `json:"key"`
	// Token identifies the attempt to claim: asking again with it is idempotent.
	Token uint64 `json:"token"`
	// Set is the state wanted: Claimed, Done or Released.
	Set State `json:"set"`
	// Expires is when the claim may be forgotten, in seconds since the Unix epoch.
	// It comes from the claimant, which sends nothing after it, and not from the
	// range's owner, whose configured window may differ for a moment.
	Expires uint32 `json:"expires"`
}

// Verdict is the answer to a Request.
type Verdict string

// The verdicts.
const (
	// Granted means that the change is in the store.
	Granted Verdict = "granted"
	// Duplicate means that another token holds the key.
	Duplicate Verdict = "duplicate"
	// Unavailable means that the change may or may not be in the store.
	Unavailable Verdict = "unavailable"
	// Queued means that the request waits at the owner: it says only that the owner
	// is alive.
	Queued Verdict = "queued"
	// Full means that the ledger or its queue has no room and nothing was written.
	Full Verdict = "full"
)

// Reply answers a Request.
type Reply struct {
	Key     KeyHash `json:"key"`
	Token   uint64  `json:"token"`
	Set     State   `json:"set"`
	Verdict Verdict `json:"verdict"`
	// First is the state of the claim that came first, on a duplicate.
	First State `json:"first,omitempty"`
}
