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
	"time"
)

// MaxEnds is the number of backend servers that may end under a content or a part before it is blocked. Its
// next run would otherwise end one more, and everything else that runs there.
const MaxEnds = 3

// maxProvenEnds takes the place of MaxEnds for a part that was answered shortly before: it is rather another part of the
// same requests that ends servers. Two of them leave at most twice MaxEnds-1 ends unexplained.
const maxProvenEnds = 2*(MaxEnds-1) + 1

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
	// Proof is the latest answer to a request with the part, nil if none is known.
	Proof *Proof `json:"proof,omitempty"`
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
	// proof is the latest answer to a request with the part.
	proof proof
	// trials counts the times that the request was sent although it was blocked.
	trials int
	// changedAt is the time of the last end or trial, and usedAt that of the last arrival.
	changedAt, usedAt time.Time
	// reachedAt is the time of the end with which MaxEnds were reached.
	reachedAt time.Time
}

// end is the end of a server.
type end struct {
	at       time.Time
	software string
	voided   bool
}

// proof is a Proof with its time; zero if there is none.
type proof struct {
	software string
	at       time.Time
}

const (
	// proofLead is the time after an answer in which ends are not held against a part: a part that was answered a moment
	// before many servers end at once did not end them.
	proofLead = time.Second
	// proofMemory is the time before an end in which an answer makes other parts of the same requests more suspect.
	proofMemory = time.Minute
)

// covers reports whether an answer shows that the part did not cause an end.
func (p proof) covers(e *end) bool {
	return p.appliesTo(e) && !e.at.After(p.at.Add(proofLead))
}

// appliesTo reports whether the answer came from the same software as runs on the server that ended.
func (p proof) appliesTo(e *end) bool {
	return !p.at.IsZero() && (e.software == "" || e.software == p.software)
}

// counts reports whether an end is held against the content or the part.
func (r *record) counts(e *end) bool { return !e.voided && !r.proof.covers(e) }

// count returns the number of ends that count.
func (r *record) count() int {
	n := 0
	for _, e := range r.ends {
		if r.counts(e) {
			n++
		}
	}
	return n
}

// proven reports whether the part was answered shortly before one of the ends that count.
func (r *record) proven() bool {
	for _, e := range r.ends {
		if r.counts(e) && r.proof.appliesTo(e) && e.at.Sub(r.proof.at) <= proofMemory {
			return true
		}
	}
	return false
}

// prove records an answer and reports whether that lowers the suspicion. Of answers by two versions of the software, one
// by the version on which servers ended is kept.
func (r *record) prove(p proof) bool {
	if !p.at.After(r.proof.at) || !r.appliesToAny(p) && r.appliesToAny(r.proof) {
		return false
	}
	count, proven := r.count(), r.proven()
	r.proof = p
	return r.count() < count || r.proven() && !proven
}

func (r *record) appliesToAny(p proof) bool {
	for _, e := range r.ends {
		if p.appliesTo(e) {
			return true
		}
	}
	return false
}

// lastUse returns the time from which the record is kept.
func (r *record) lastUse() time.Time {
	if r.usedAt.After(r.changedAt) {
		return r.usedAt
	}
	return r.changedAt
}
