package engine

import (
	"encoding/json"
	"net/http"
	"time"
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

// SetFault makes the next answers misbehave; an empty kind heals the engine.
func (s *Server) SetFault(f Fault) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Times = max(f.Times, 1)
	s.fault = f
}

// nextFault takes the fault of one answer.
func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Kind == "" {
		return Fault{}
	}
	f := s.fault
	s.fault.Times--
	if s.fault.Times == 0 {
		s.fault = Fault{}
	}
	return f
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// restart forgets what a new process would not know.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	for _, st := range s.streams {
		st.cancel()
	}
	s.streams = make(map[string]*stream)
	s.cache = newPrefixCache(s.CacheChats)
}
