package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// Faults are what is wrong with the platform. They are set whole by PUT /fault.
type Faults struct {
	// Down breaks every call, and the watches that wait.
	Down bool `json:"down,omitempty"`
	// Delay comes before every call is carried out, unless the faults change.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of writes that take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of writes that get no answer and take no effect.
	LoseWrites int `json:"lose_writes,omitempty"`
	// FreezeList keeps the instance list as it is, whatever is registered.
	FreezeList bool `json:"freeze_list,omitempty"`
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeList && !s.faults.FreezeList {
		s.frozen = maps.Clone(s.instances)
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore puts back the value that a key had some writes ago, as a store does that
// comes back from a copy. The version goes on.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	back, err := strconv.Atoi(r.FormValue("back"))
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(r.PathValue("key"))
	if err != nil || back < 1 || back >= len(e.history) {
		http.Error(w, "back: expected 1 up to the number of earlier writes", http.StatusBadRequest)
		return
	}
	e.set(e.history[len(e.history)-1-back])
}

// faulty carries out the faults that concern every call.
func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/fault") {
			next.ServeHTTP(w, r)
			return
		}
		f, changed := s.currentFaults()
		if f.Delay > 0 {
			select {
			case <-time.After(time.Duration(f.Delay)):
			case <-changed:
			case <-r.Context().Done():
			}
		}
		if f, _ = s.currentFaults(); f.Down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// currentFaults returns the faults and what is closed when they change.
func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// loses takes one of the writes whose answer is to be lost, and tells whether it
// takes effect. It is called with the lock held.
func (s *Server) loses() (lost, takesEffect bool) {
	switch {
	case s.faults.LoseWrites > 0:
		s.faults.LoseWrites--
		return true, false
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return true, true
	default:
		return false, true
	}
}
