// Package plain implements a fake backend server of a plain service. It counts the runs of each
// request, so that tests can check that a non-idempotent request ran at most once.
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
	// Name is the backend server's name. Its responses contain it.
	Name string

	faults engine.FaultInjector
	mu     sync.Mutex
	runs   map[string]int
}

// ServeHTTP handles one call. The paths under /standin control the server from a test.
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
		w.Header().Set(proxy.HeaderAnswers, r.Header.Get(proxy.HeaderRequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case engine.Busy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	default:
	}
	s.countRun(r)
	switch f.Kind {
	case engine.NoResponse:
		panic(http.ErrAbortHandler)
	case engine.DelayResponse:
		time.Sleep(f.Delay)
	default:
	}
	_, _ = fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.URL.Path, s.Name)
}

// countRun counts a run of the request by its idempotency key, or by its request ID if it has no
// key.
func (s *Server) countRun(r *http.Request) {
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

// Runs returns the number of runs of each request by its idempotency key or request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// SetFault sets the fault for the next responses.
func (s *Server) SetFault(f engine.Fault) { s.faults.Set(f) }
