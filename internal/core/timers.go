package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/timerqueue"
)

// requestAction is what a timer of a request does when it expires.
type requestAction struct {
	request  *request
	callback func(*Node, *request)
}

// requestTimer is a timer of a request.
type requestTimer = timerqueue.Timer[requestAction]

// schedule calls act at time at unless the request has ended by then.
func (n *Node) schedule(at time.Time, r *request, act func(*Node, *request)) {
	r.timers = append(r.timers, n.timers.Add(at, requestAction{r, act}))
}

// cancelTimers cancels the timers of an ended request, so that a distant deadline does not
// keep the request in memory.
func (n *Node) cancelTimers(r *request) {
	for _, t := range r.timers {
		n.timers.Remove(t)
	}
	r.timers = nil
}

// tickTimers runs the request timers that have expired.
func (n *Node) tickTimers() {
	for t := n.timers.Expired(n.now); t != nil; t = n.timers.Expired(n.now) {
		t.Value.callback(n, t.Value.request)
	}
}
