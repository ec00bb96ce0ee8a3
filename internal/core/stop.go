package core

import "time"

// settleLimit bounds how long a stopping instance that has ended all its requests
// goes on trying to record the ends of their claims.
const settleLimit = 10 * time.Second

// stopReserve is the time before the kill that a stopping instance does not count on
// for a request's end.
const stopReserve = 500 * time.Millisecond

// lifecycleState is how far this instance's graceful shutdown has come.
type lifecycleState struct {
	stopping bool
	closeAt  time.Time
	// killAt is when the process is killed, zero if it is not.
	killAt  time.Time
	closed  bool
	stopped bool
}

// stopRequested begins the graceful shutdown: not ready first, so that the
// balancer sends new connections elsewhere while this instance still accepts.
func (n *Node) stopRequested() {
	if n.lifecycle.stopping {
		return
	}
	n.lifecycle.stopping = true
	n.lifecycle.closeAt = n.now.Add(n.settings.AcceptDelay)
	if n.settings.StopGrace > 0 {
		n.lifecycle.killAt = n.now.Add(n.settings.StopGrace)
	}
	n.emit(SetReady{Ready: false})
}

// tooLateFor tells whether a request that comes after the doors were to close may
// still be at work when this process is killed. A caller that keeps its connection
// open can send one at any time; it is told to go elsewhere while nothing of it has
// run.
func (n *Node) tooLateFor(deadline time.Time) bool {
	s := &n.lifecycle
	return !s.killAt.IsZero() && !n.now.Before(s.closeAt) && deadline.After(s.killAt.Add(-stopReserve))
}

func (n *Node) tickLifecycle() {
	s := &n.lifecycle
	if !s.stopping || s.stopped || n.now.Before(s.closeAt) {
		return
	}
	if !s.closed {
		s.closed = true
		n.emit(CloseListener{})
	}
	if len(n.requests) == 0 && (n.claimsSettled() || !n.now.Before(s.closeAt.Add(settleLimit))) {
		s.stopped = true
		n.emit(Stopped{})
	}
}
