// Package claims keeps the ledger by which a non-idempotent request with a key
// runs at most once in the whole fleet.
package claims

// KeyHash identifies one idempotency key of one customer and service.
type KeyHash struct {
	Hi uint64 `json:"hi"`
	Lo uint64 `json:"lo"`
}

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
	// Full means that the ledger has no room and nothing was written.
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
