// Package gate stands before a stand-in and lets it be away, slow, or forgetful of its
// answers, for all callers or some.
package gate

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/test/standin/web"
)

// Faults are what is wrong. They are set whole.
type Faults struct {
	// Down breaks every call, and the watches that wait.
	Down bool `json:"down,omitempty"`
	// Silent leaves every call without an answer, on an open connection.
	Silent bool `json:"silent,omitempty"`
	// Busy turns every call away: with 503, or with 429 if Many is set as well.
	Busy bool `json:"busy,omitempty"`
	Many bool `json:"many,omitempty"`
	// Only limits these three to callers from these IP addresses.
	Only []string `json:"only,omitempty"`
	// Delay comes before every call is carried out, unless the faults change.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of writes that take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of writes that get no answer and take no effect.
	LoseWrites int `json:"lose_writes,omitempty"`
}

// Gate carries the faults out.
type Gate struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults change.
	changed chan struct{}
}

// New returns a gate without faults.
func New() *Gate { return &Gate{changed: make(chan struct{})} }

// SetFaults sets what is wrong, whole.
func (g *Gate) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
	close(g.changed)
	g.changed = make(chan struct{})
}

// ServeHTTP sets the faults that the body holds as JSON.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if web.Read(w, r, &f) {
		g.SetFaults(f)
	}
}

// Current returns the faults and what is closed when they change.
func (g *Gate) Current() (Faults, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults, g.changed
}

// Loses takes one of the writes whose answer is to be lost, and tells whether it
// takes effect.
func (g *Gate) Loses() (lost, takesEffect bool) {
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

// Before puts the gate before next. Calls that spared picks pass whatever the faults.
func (g *Gate) Before(next http.Handler, spared func(*http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !spared(r) {
			g.delay(r)
			f, changed := g.Current()
			if f.concerns(r) {
				turnAway(w, r, f, changed)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gate) delay(r *http.Request) {
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

// concerns tells whether the stand-in is away for a call.
func (f Faults) concerns(r *http.Request) bool {
	if !f.Down && !f.Silent && !f.Busy {
		return false
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return len(f.Only) == 0 || slices.Contains(f.Only, host)
}

// turnAway lets a call go without an answer, or with one that says so.
func turnAway(w http.ResponseWriter, r *http.Request, f Faults, changed <-chan struct{}) {
	switch {
	case f.Down:
		panic(http.ErrAbortHandler)
	case f.Silent:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case f.Many:
		web.Reply(w, http.StatusTooManyRequests, map[string]string{"error": "too many calls"})
	default:
		web.Reply(w, http.StatusServiceUnavailable, map[string]string{"error": "busy"})
	}
}
