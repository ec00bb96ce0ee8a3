package soak

import (
	"fmt"
	"sync"
	"time"
)

// Violation is a guarantee that did not hold.
type Violation struct {
	At        time.Duration
	Guarantee string
	Request   string
	Detail    string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %s: request %s: %s", v.At.Seconds(), v.Guarantee, v.Request, v.Detail)
}

// recorder records the observations of callers and backend servers by the caller's request id.
type recorder struct {
	startedAt time.Time

	mu         sync.Mutex
	runs       map[string]int
	refused    map[string]string
	violations []Violation
	counts     map[string]int
}

func newRecorder() *recorder {
	return &recorder{
		startedAt: time.Now(), runs: make(map[string]int), refused: make(map[string]string), counts: make(map[string]int),
	}
}

func (r *recorder) elapsed() time.Duration { return time.Since(r.startedAt) }

// recordRun records that a backend server started a request. once is set if the request must
// not start twice.
func (r *recorder) recordRun(id string, once bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.counts["runs"]++
	if once && r.runs[id] > 1 {
		r.addViolation("at most once", id, fmt.Sprintf("began %d times", r.runs[id]))
	}
	if status := r.refused[id]; status != "" {
		r.addViolation("a refusal is true", id, "ran after "+status)
	}
}

// recordRefusal records a response which guarantees that the request has not run and never
// will.
func (r *recorder) recordRefusal(id, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.refused[id] = status
	if r.runs[id] > 0 {
		r.addViolation("a refusal is true", id, fmt.Sprintf("%s, and %d runs", status, r.runs[id]))
	}
}

// recordViolation records a guarantee that did not hold.
func (r *recorder) recordViolation(guarantee, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(guarantee, id, detail)
}

// recordViolationAt records a guarantee that did not hold at a time before now.
func (r *recorder) recordViolationAt(at time.Duration, guarantee, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{At: at, Guarantee: guarantee, Request: id, Detail: detail})
}

// addViolation appends a violation. The caller holds the lock.
func (r *recorder) addViolation(guarantee, id, detail string) {
	r.violations = append(r.violations, Violation{At: r.elapsed(), Guarantee: guarantee, Request: id, Detail: detail})
}

func (r *recorder) count(name string) { r.add(name, 1) }

// add adds to a count.
func (r *recorder) add(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += n
}
