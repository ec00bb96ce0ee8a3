// Package poison recognizes poison requests: requests that end each backend server that runs
// them and that their callers send again and again.
//
// Each instance records under which requests backend servers have ended, and merges the records
// of the others. A record only grows: an end is added once for each start of a server, and may be
// voided for good. Merging is therefore idempotent and independent of the order of messages, and
// instances that have merged the same records reach the same decisions.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"
)

// MaxEnds is the number of backend servers that may end under a request before it is blocked. Its
// next run would otherwise end one more, and everything else that runs there.
const MaxEnds = 3

// Weights of the end of a server under a request. One that another blocked request explains counts
// half. If it did not count at all, one poison request among many would be sent on as long as the
// others took the blame.
const (
	unexplainedWeight = 2
	explainedWeight   = 1
)

// Key identifies the requests of one customer with the same content; 0 means none.
type Key uint64

// String returns the key as it is logged.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// KeyOf returns the key of a customer's request with a content hash. A content of 0 has no key.
// The hash is cryptographic, so that no customer can block another customer's requests.
func KeyOf(customer string, content uint64) Key {
	if content == 0 {
		return 0
	}
	text := binary.BigEndian.AppendUint64(nil, content)
	sum := sha256.Sum256(append(text, customer...))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// PartKey returns the key of a part of prompts, which is the same for all customers: a part that ends servers ends them
// for each customer that sends it.
func PartKey(id string) Key {
	sum := sha256.Sum256([]byte(partDomain + id))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// partDomain sets the hashes of parts apart from those of contents.
const partDomain = "part\n"

// Server is one start of a backend server. The same server counts again once it has restarted.
type Server struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Record is what an instance knows about a request, as it is sent to other instances.
type Record struct {
	Key Key `json:"key"`
	// Ends are the servers that ended under the request.
	Ends []Server `json:"ends,omitempty"`
	// Voided are servers whose end is no longer held against the request.
	Voided []Server `json:"voided,omitempty"`
	// Trials is the number of times that the request was sent although it was blocked.
	Trials int `json:"trials,omitempty"`
	// ChangeAge is the time since the last end or trial, and UseAge the time since the request
	// last arrived at an instance that knew of it.
	ChangeAge time.Duration `json:"change_age,omitempty"`
	UseAge    time.Duration `json:"use_age,omitempty"`
}

// record is the state of one request.
type record struct {
	// ends maps each server that ended under the request to whether its end counts; it does not
	// once it was voided.
	ends map[Server]bool
	// trials counts the times that the request was sent although it was blocked.
	trials int
	// changedAt is the time of the last end or trial, and usedAt that of the last arrival.
	changedAt, usedAt time.Time
	// reachedAt is the time of the end with which MaxEnds were reached.
	reachedAt time.Time
}

// count returns the number of ends that count.
func (r *record) count() int {
	n := 0
	for _, counts := range r.ends {
		if counts {
			n++
		}
	}
	return n
}

// lastUse returns the time from which the record is kept.
func (r *record) lastUse() time.Time {
	if r.usedAt.After(r.changedAt) {
		return r.usedAt
	}
	return r.changedAt
}
