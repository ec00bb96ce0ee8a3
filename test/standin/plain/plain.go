// Package plain stands in for a plain service, some of whose calls may not be
// repeated: it counts how often each was run.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/standin/engine"
)

// Server is one backend server of a plain service.
type Server struct {
	// Name is repeated in the answers.
	Name string

	faults engine.FaultSwitch
	mu     sync.Mutex
	runs   map[string]int
}

// ServeHTTP answers one call. Paths under /standin are the test's.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/fault":
		s.faults.ServeHTTP(w, r)
	case "/standin/runs":
		_ = json.NewEncoder(w).Encode(s.Runs())
	default:
		s.serve(w, r)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f := s.faults.Next()
	switch f.Kind {
	case engine.Refuse:
		w.Header().Set(proxy.HeaderNotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case engine.Busy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	default:
	}
	s.count(r)
	switch f.Kind {
	case engine.Swallow:
		panic(http.ErrAbortHandler)
	case engine.Late:
		time.Sleep(f.Delay)
	default:
	}
	_, _ = fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.URL.Path, s.Name)
}

// count notes a run under the idempotency key, or else the request's id.
func (s *Server) count(r *http.Request) {
	key := r.Header.Get(proxy.HeaderKey)
	if key == "" {
		key = r.Header.Get(proxy.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[key]++
}

// Runs tells how often each request was run, by key or else by id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// SetFault makes the next answers misbehave.
func (s *Server) SetFault(f engine.Fault) { s.faults.Set(f) }
