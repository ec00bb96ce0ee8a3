// Package poison recognizes what ends each backend server that runs it: a request that its caller sends again and
// again, or a part of prompts that requests share of which no two are alike.
//
// Each instance records under which contents of requests and under which parts of prompts backend servers have ended,
// and merges the records of the others. A record only grows: an end is added once for each start of a server, and may be
// voided for good; of the answers to requests with a part, the latest counts. Merging is therefore idempotent and
// independent of the order of messages, and instances that have merged the same records reach the same decisions.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
)

// MaxEnds is the number of backend servers that may end under a content or a part before it is blocked. Its
// next run would otherwise end one more, and everything else that runs there.
const MaxEnds = 3

// Weights of the end of a server under a request. One that another blocked request explains counts
// half. If it did not count at all, one poison request among many would be sent on as long as the
// others took the blame.
const (
	unexplainedWeight = 2
	explainedWeight   = 1
)

// Key identifies the requests of one customer with the same content, or those with a part; 0 means none.
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

// End is the end of a server under a content or a part.
type End struct {
	Server
	// Software is the service and the software version of the server, "" if it is unknown.
	Software string `json:"software,omitempty"`
	// Age is the time since the end.
	Age time.Duration `json:"age,omitempty"`
}

// Record is what an instance knows about a content or a part, as it is sent to other instances.
type Record struct {
	Key Key `json:"key"`
	// Position is the position of a part in its prompts, from 1; 0 for a content.
	Position int `json:"position,omitempty"`
	// Ends are the servers that ended under it.
	Ends []End `json:"ends,omitempty"`
	// Proofs are the latest answers to requests with the part, one for each software.
	Proofs []Proof `json:"proofs,omitempty"`
	// Voided are servers whose end is no longer held against the request.
	Voided []Server `json:"voided,omitempty"`
	// Trials is the number of times that the request was sent although it was blocked.
	Trials int `json:"trials,omitempty"`
	// ChangeAge is the time since the last end or trial, and UseAge the time since the request
	// last arrived at an instance that knew of it.
	ChangeAge time.Duration `json:"change_age,omitempty"`
	UseAge    time.Duration `json:"use_age,omitempty"`
}

// Proof is a whole answer to a request with a part: the part did not end the server that gave it.
type Proof struct {
	// Software is the service and the software version of that server. The part may still end servers of others.
	Software string `json:"software,omitempty"`
	// Age is the time since the answer.
	Age time.Duration `json:"age,omitempty"`
}

// record is the state of one content or part.
type record struct {
	// position is the position of a part, 0 for a content.
	position int
	// ends holds each server that ended under it.
	ends map[Server]*end
	// proofs maps each software to the time of its latest answer to a request with the part.
	proofs map[string]time.Time
	// trials counts the times that the request was sent although it was blocked.
	trials int
	// changedAt is the time of the last end or trial, and usedAt that of the last arrival.
	changedAt, usedAt time.Time
	// reachedAt is the time of the end with which MaxEnds were reached.
	reachedAt time.Time
	// counting are the servers whose ends count, explains those of a part without a proof, and isProven is what proven returns.
	// Tracker.changed keeps them up to date.
	counting, explains []Server
	isProven           bool
}

// end is the end of a server.
type end struct {
	at       time.Time
	software string
	voided   bool
}

const (
	// proofLead is the time after an answer in which ends are not held against a part: a part that was answered a moment
	// before many servers end at once did not end them.
	proofLead = time.Second
	// proofMemory is the time before an end in which an answer makes other parts of the same requests more suspect.
	proofMemory = time.Minute
	// maxProofs is the number of versions of the software of which a record holds an answer.
	maxProofs = 4
)

// counts reports whether an end is held against the content or the part. It is not if the same software answered a
// request with the part later, or a moment before.
func (r *record) counts(e *end) bool {
	if e.voided {
		return false
	}
	at, ok := r.provenAt(e)
	return !ok || e.at.After(at.Add(proofLead))
}

// provenAt returns the time of the latest answer by the software of an end, or by any if that is unknown.
func (r *record) provenAt(e *end) (latest time.Time, ok bool) {
	if e.software != "" {
		latest, ok = r.proofs[e.software]
		return latest, ok
	}
	for _, at := range r.proofs {
		latest = later(latest, at)
	}
	return latest, len(r.proofs) > 0
}

// count returns the number of ends that count.
func (r *record) count() int { return len(r.counting) }

// derive computes what the decision needs of the record.
func (r *record) derive() {
	r.counting = r.counting[:0]
	for server, e := range r.ends {
		if r.counts(e) {
			r.counting = append(r.counting, server)
		}
	}
	r.isProven = r.proven()
	r.explains = nil
	if r.position > 0 && !r.isProven {
		r.explains = slices.Clone(r.counting)
	}
}

// proven reports whether the part was answered shortly before one of the ends that count, by the same software.
func (r *record) proven() bool {
	for _, e := range r.ends {
		at, ok := r.provenAt(e)
		if ok && r.counts(e) && e.at.Sub(at) <= proofMemory {
			return true
		}
	}
	return false
}

// prove records an answer by a software and reports whether that is news.
func (r *record) prove(software string, at time.Time) bool {
	if !at.After(r.proofs[software]) {
		return false
	}
	if r.proofs == nil {
		r.proofs = make(map[string]time.Time)
	}
	r.proofs[software] = at
	r.dropOldestProof()
	return true
}

// dropOldestProof bounds the proofs.
func (r *record) dropOldestProof() {
	if len(r.proofs) <= maxProofs {
		return
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(r.proofs)), func(a, b string) int { return r.proofs[a].Compare(r.proofs[b]) })
	delete(r.proofs, oldest)
}

// lastUse returns the time from which the record is kept.
func (r *record) lastUse() time.Time {
	if r.usedAt.After(r.changedAt) {
		return r.usedAt
	}
	return r.changedAt
}
