package soak

import (
	"fmt"
	"sync"
	"time"
)

// Violation is a promise that did not hold.
type Violation struct {
	At      time.Duration
	Promise string
	Request string
	Detail  string
}

// String gives the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %s: request %s: %s", v.At.Seconds(), v.Promise, v.Request, v.Detail)
}

// ledger is what callers and backend servers saw, by the caller's id of a request.
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

func (l *ledger) elapsed() time.Duration { return time.Since(l.begun) }

// ran notes that a backend server began to work on a request.
func (l *ledger) ran(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.counts["runs"]++
	if once && l.runs[id] > 1 {
		l.add("at most once", id, fmt.Sprintf("began %d times", l.runs[id]))
	}
	if said := l.refused[id]; said != "" {
		l.add("a refusal is true", id, "ran after "+said)
	}
}

// saidNotRun notes an answer that promises that the request has not run and never
// will.
func (l *ledger) saidNotRun(id, said string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["refused"]++
	l.refused[id] = said
	if l.runs[id] > 0 {
		l.add("a refusal is true", id, fmt.Sprintf("%s, and %d runs", said, l.runs[id]))
	}
}

// broken notes a promise that did not hold.
func (l *ledger) broken(promise, id, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(promise, id, detail)
}

// add is called with the lock held.
func (l *ledger) add(promise, id, detail string) {
	l.violations = append(l.violations, Violation{At: l.elapsed(), Promise: promise, Request: id, Detail: detail})
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}
