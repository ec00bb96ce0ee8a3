// Package faultinject injects faults into the calls of a fake server: the server is unreachable,
// slow or loses responses and writes, for all callers or some.
package faultinject

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/test/standin/jsonhttp"
)

// Faults is a set of faults. A new set replaces the previous one completely.
type Faults struct {
	// Down closes the connection of every call and of the pending watches.
	Down bool `json:"down,omitempty"`
	// Silent sends no response to any new call and keeps its connection open. Pending watches
	// are closed.
	Silent bool `json:"silent,omitempty"`
	// Busy refuses every call with status 503, or with 429 if TooManyRequests is set as well.
	Busy            bool `json:"busy,omitempty"`
	TooManyRequests bool `json:"many,omitempty"`
	// OnlyFrom limits Down, Silent and Busy to callers from these IP addresses.
	OnlyFrom []string `json:"only,omitempty"`
	// Delay is the delay before each call. It ends early if the faults change.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of writes that take effect and get no response.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of writes that take no effect and get no response.
	LoseWrites int `json:"lose_writes,omitempty"`
}

// Injector injects the faults.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// New returns an injector without faults.
func New() *Injector { return &Injector{changed: make(chan struct{})} }

// SetFaults replaces all faults.
func (g *Injector) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
	close(g.changed)
	g.changed = make(chan struct{})
}

// ServeHTTP replaces all faults by those in the JSON body of the request.
func (g *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if jsonhttp.ReadJSON(w, r, &f) {
		g.SetFaults(f)
	}
}

// Current returns the faults and a channel that is closed when they change.
func (g *Injector) Current() (Faults, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults, g.changed
}

// LoseWrite reports whether the response to the next write is lost and whether the write takes
// effect. It counts the write against LoseWrites or LoseAnswers.
func (g *Injector) LoseWrite() (lost, takesEffect bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.faults.LoseWrites > 0:
		g.faults.LoseWrites--
		return true, false
	case g.faults.LoseAnswers > 0:
		g.faults.LoseAnswers--
		return true, true
	default:
		return false, true
	}
}

// Wrap returns a handler that applies the faults to each call before it passes the call to next.
// Faults don't affect the calls for which exempt returns true.
func (g *Injector) Wrap(next http.Handler, exempt func(*http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !exempt(r) {
			g.delay(r)
			f, changed := g.Current()
			if f.appliesTo(r) {
				injectFault(w, r, f, changed)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Injector) delay(r *http.Request) {
	f, changed := g.Current()
	if f.Delay <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(f.Delay)):
	case <-changed:
	case <-r.Context().Done():
	}
}

// appliesTo reports whether Down, Silent or Busy applies to a call.
func (f Faults) appliesTo(r *http.Request) bool {
	if !f.Down && !f.Silent && !f.Busy {
		return false
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return len(f.OnlyFrom) == 0 || slices.Contains(f.OnlyFrom, host)
}

// injectFault ends a call to which Down, Silent or Busy applies.
func injectFault(w http.ResponseWriter, r *http.Request, f Faults, changed <-chan struct{}) {
	switch {
	case f.Down:
		panic(http.ErrAbortHandler)
	case f.Silent:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case f.TooManyRequests:
		jsonhttp.WriteJSON(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls"})
	default:
		jsonhttp.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "busy"})
	}
}
