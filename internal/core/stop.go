package core

import "time"

// settleLimit bounds how long a stopping instance that has ended all its requests
// goes on trying to record the ends of their claims.
const settleLimit = 10 * time.Second

// lifecycleState is how far this instance's graceful shutdown has come.
type lifecycleState struct {
	stopping bool
	closeAt  time.Time
	closed   bool
	stopped  bool
}

// stopRequested begins the graceful shutdown: not ready first, so that the
// balancer sends new connections elsewhere while this instance still accepts.
func (n *Node) stopRequested() {
	if n.lifecycle.stopping {
		return
	}
	n.lifecycle.stopping = true
	n.lifecycle.closeAt = n.now.Add(n.settings.AcceptDelay)
	n.emit(SetReady{Ready: false})
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
