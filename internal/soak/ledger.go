package soak

import (
	"fmt"
	"sync"
	"time"
)

// Violation is a guarantee that did not hold.
type Violation struct {
	At      time.Duration
	Promise string
	Request string
	Detail  string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %s: request %s: %s", v.At.Seconds(), v.Promise, v.Request, v.Detail)
}

// ledger records the observations of callers and backend servers by the caller's request id.
type ledger struct {
	begun time.Time

	mu         sync.Mutex
	runs       map[string]int
	refused    map[string]string
	violations []Violation
	counts     map[string]int
}

func newLedger() *ledger {
	return &ledger{
		begun: time.Now(), runs: make(map[string]int), refused: make(map[string]string), counts: make(map[string]int),
	}
}

func (r *ledger) elapsed() time.Duration { return time.Since(r.begun) }

// ran records that a backend server started a request. once is set if the request must not
// start twice.
func (r *ledger) ran(id string, once bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.counts["runs"]++
	if once && r.runs[id] > 1 {
		r.add("at most once", id, fmt.Sprintf("began %d times", r.runs[id]))
	}
	if status := r.refused[id]; status != "" {
		r.add("a refusal is true", id, "ran after "+status)
	}
}

// saidNotRun records a response which guarantees that the request has not run and never
// will.
func (r *ledger) saidNotRun(id, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.refused[id] = status
	if r.runs[id] > 0 {
		r.add("a refusal is true", id, fmt.Sprintf("%s, and %d runs", status, r.runs[id]))
	}
}

// broken records a guarantee that did not hold.
func (r *ledger) broken(guarantee, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(guarantee, id, detail)
}

// add appends a violation. The caller holds the lock.
func (r *ledger) add(guarantee, id, detail string) {
	r.violations = append(r.violations, Violation{At: r.elapsed(), Promise: guarantee, Request: id, Detail: detail})
}

func (r *ledger) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}
