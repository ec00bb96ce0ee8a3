package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/test/standin/web"
)

// FaultKind is a way in which an engine misbehaves.
type FaultKind string

// The faults.
const (
	// Cut closes the connection after After events.
	Cut FaultKind = "cut"
	// Freeze says nothing more after After events, and keeps the connection.
	Freeze FaultKind = "freeze"
	// Skip leaves the event with number After out.
	Skip FaultKind = "skip"
	// Repeat sends the event with number After twice.
	Repeat FaultKind = "repeat"
	// NoEnd ends the answer properly framed, but without the end mark.
	NoEnd FaultKind = "no-end"
	// Swallow reads the whole request, works on it and closes without an answer.
	Swallow FaultKind = "swallow"
	// Late answers only after Delay.
	Late FaultKind = "late"
	// Refuse says that the request was not started.
	Refuse FaultKind = "refuse"
	// Busy answers a bare 503, which says nothing of whether it started.
	Busy FaultKind = "busy"
	// Restart closes the connection after After events and forgets every stream.
	Restart FaultKind = "restart"
)

// Fault is one fault that strikes the next answers.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	After int           `json:"after,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
	// Times is the number of answers it strikes; 0 is one.
	Times int `json:"times,omitempty"`
}

// FaultSwitch holds the fault that is in force.
type FaultSwitch struct {
	mu    sync.Mutex
	fault Fault
}

// Set makes the next answers misbehave; an empty kind heals.
func (s *FaultSwitch) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Times = max(f.Times, 1)
	s.fault = f
}

// Next takes the fault of one answer.
func (s *FaultSwitch) Next() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	s.fault.Times--
	if s.fault.Times <= 0 {
		s.fault = Fault{}
	}
	return f
}

// ServeHTTP sets the fault that the body holds as JSON.
func (s *FaultSwitch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !web.Read(w, r, &f) {
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFault makes the next answers misbehave; an empty kind heals the engine.
func (s *Server) SetFault(f Fault) { s.faults.Set(f) }

// restart forgets what a new process would not know.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	for _, st := range s.streams {
		st.cancel()
	}
	s.streams = make(map[string]*stream)
	s.done = nil
	s.cache = newPrefixCache(s.CacheChats)
}
