package soak

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

const (
	// blamingEnds is the number of servers that end under a part of prompts until the part may be blocked.
	blamingEnds = 3
	// maxBlamedShare is the share of the requests for streams that may be refused for a sound part under which as many
	// servers have ended, beside one.
	maxBlamedShare = 0.01
)

// endedServer is a backend server that has ended, and what ran there.
type endedServer struct {
	name, version string
	at            time.Duration
	// running maps the requests that the server held to the parts of their prompts.
	running map[string][]string
}

// endedRecorder records which servers ended under which requests.
type endedRecorder struct {
	mu      sync.Mutex
	servers []endedServer
	// parts maps requests to the parts of their prompts.
	parts map[string][]string
	// blamed holds the sound requests that were refused for a part under which enough servers have ended.
	blamed []string
}

func newEndedRecorder() *endedRecorder { return &endedRecorder{parts: make(map[string][]string)} }

// recordParts records the parts of the prompt of a request.
func (r *endedRecorder) recordParts(id string, parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[id] = parts
}

// begin records that the backend server holds a request. The caller calls the returned function at its end.
func (b *backend) begin(id string, parts []string) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[id] = parts
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.running, id)
	}
}

// recordEnded records that the backend server ends, unless that is recorded or it has left before.
func (b *backend) recordEnded() {
	if b.leavingAt.Load() > 0 {
		return
	}
	b.mu.Lock()
	running, recorded := maps.Clone(b.running), b.endRecorded
	b.endRecorded = true
	b.mu.Unlock()
	if recorded {
		return
	}
	r := b.world.ended
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = append(r.servers, endedServer{name: b.name, version: b.version, at: b.world.recorder.elapsed(), running: running})
}

// endsUnder returns the servers that ended while they held a request with a part that is not the last of its prompt.
func (r *endedRecorder) endsUnder(part string) []endedServer {
	var ended []endedServer
	for _, s := range r.servers {
		for _, parts := range s.running {
			if slices.Contains(parts[:max(0, len(parts)-1)], part) {
				ended = append(ended, s)
				break
			}
		}
	}
	return ended
}

// describe returns the server's end in short, with the other requests that it held.
func (s *endedServer) describe() string {
	return fmt.Sprintf("%s (%s) at %.3f with %s", s.name, s.version, s.at.Seconds(), strings.Join(slices.Sorted(maps.Keys(s.running)), " "))
}

// checkNotBlamed checks that a request is not refused for the end of servers, unless it shares a part of its prompt with
// requests under which enough of them have ended: whether that part or another request ended them may not be known yet.
func (w *World) checkNotBlamed(id string, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		w.recorder.count("refusal not read")
		return
	}
	if !strings.Contains(string(body), string(reason.PoisonRequest)) {
		return
	}
	r := w.ended
	r.mu.Lock()
	defer r.mu.Unlock()
	most, text := 0, ""
	for _, part := range r.parts[id] {
		ended := r.endsUnder(part)
		most = max(most, len(ended))
		for _, s := range ended {
			text += fmt.Sprintf("; %s: %s", part, s.describe())
		}
	}
	if most < blamingEnds {
		w.recorder.recordViolation("a request is not refused for what others did", id, resp.Status+text)
		return
	}
	r.blamed = append(r.blamed, fmt.Sprintf("%s at %.3f%s", id, w.recorder.elapsed().Seconds(), text))
}

// checkBlamed checks that few sound requests were refused for a part that others ended servers with.
func (w *World) checkBlamed() {
	r := w.ended
	r.mu.Lock()
	defer r.mu.Unlock()
	w.recorder.add("refused for a shared part", len(r.blamed))
	if allowed := 1 + int(maxBlamedShare*float64(len(r.parts))); len(r.blamed) > allowed {
		w.recorder.recordViolation("few requests are refused for what others did", "all",
			fmt.Sprintf("%d of %d: %s", len(r.blamed), len(r.parts), strings.Join(r.blamed, " | ")))
	}
}
