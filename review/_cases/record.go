package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each.
type record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	out    *bufio.Writer
	closed bool
	// counted holds the number of lines of each kind, and runs how often each request has run, by its Attempt-Id.
	counted, runs map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: file, out: bufio.NewWriter(file), counted: make(map[string]int), runs: make(map[string]int),
	}, nil
}

// add writes a line: the milliseconds since the start, what happened, and pairs of names and values.
func (r *record) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.counted[what]++
	var line strings.Builder
	fmt.Fprintf(&line, "%9.3f %s", float64(time.Since(r.began).Microseconds())/1000, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.out, line.String())
}

// ran counts a run of a request.
func (r *record) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// runsOf returns how often a request has run so far.
func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// count returns the number of lines of a kind.
func (r *record) count(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counted[what]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.out.Flush()
	_ = r.file.Close()
}
