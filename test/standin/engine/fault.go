package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/test/standin/jsonhttp"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	// Cut closes the connection after After events.
	Cut FaultKind = "cut"
	// Freeze sends nothing after After events and keeps the connection open.
	Freeze FaultKind = "freeze"
	// Skip omits the event with number After.
	Skip FaultKind = "skip"
	// Repeat sends the event with number After twice.
	Repeat FaultKind = "repeat"
	// NoEndMark ends the response with correct framing but without the end mark.
	NoEndMark FaultKind = "no-end"
	// NoResponse reads the whole request, runs it and closes the connection without a response.
	NoResponse FaultKind = "swallow"
	// DelayResponse delays the response by Delay.
	DelayResponse FaultKind = "late"
	// Refuse sends a response that states that the request was not started.
	Refuse FaultKind = "refuse"
	// Busy sends a bare 503, which leaves open whether the request was started.
	Busy FaultKind = "busy"
	// Restart closes the connection after After events and drops all streams.
	Restart FaultKind = "restart"
)

// Fault is one fault, which applies to the next responses.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	After int           `json:"after,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
	// Times is the number of responses to which the fault applies. 0 means 1.
	Times int `json:"times,omitempty"`
}

// FaultInjector holds the current fault.
type FaultInjector struct {
	mu    sync.Mutex
	fault Fault
}

// Set sets the fault for the next responses. An empty kind removes it.
func (s *FaultInjector) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Times = max(f.Times, 1)
	s.fault = f
}

// Next returns the fault for one response and counts it against Times.
func (s *FaultInjector) Next() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	s.fault.Times--
	if s.fault.Times <= 0 {
		s.fault = Fault{}
	}
	return f
}

// ServeHTTP sets the fault from the JSON body of the request.
func (s *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !jsonhttp.ReadJSON(w, r, &f) {
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFault sets the fault for the next responses. An empty kind removes it.
func (s *Server) SetFault(f Fault) { s.faults.Set(f) }

// restart drops the state that doesn't survive a restart of the process.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	for _, st := range s.streams {
		st.cancel()
	}
	s.streams = make(map[string]*stream)
	s.finishedStreams = nil
	s.cache = newPrefixCache(s.CacheChats)
}
