package core

import "time"

// claimSettleTimeout is how long a stopping instance without requests in flight keeps
// trying to record the ends of its claims, counted from closeAt.
const claimSettleTimeout = 10 * time.Second

// stopMargin is the safety margin before the kill: a request must end at least this long
// before it.
const stopMargin = 500 * time.Millisecond

// lifecycleState is the progress of this instance's graceful shutdown.
type lifecycleState struct {
	stopping bool
	closeAt  time.Time
	// killAt is when the process will be killed, zero if it will not.
	killAt  time.Time
	closed  bool
	stopped bool
}

// stopRequested begins the graceful shutdown. The instance first reports not ready and
// still accepts connections, until the load balancer sends new ones to other instances.
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

// exceedsStopGrace reports whether a request that arrives after closeAt could still be
// in flight when the process is killed. Such requests arrive on kept-alive connections.
// They are refused before they run, so that the caller can retry at another instance.
func (n *Node) exceedsStopGrace(deadline time.Time) bool {
	s := &n.lifecycle
	return !s.killAt.IsZero() && !n.now.Before(s.closeAt) && deadline.After(s.killAt.Add(-stopMargin))
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
	if len(n.requests) == 0 && (n.claimEndsStored() || !n.now.Before(s.closeAt.Add(claimSettleTimeout))) {
		s.stopped = true
		n.emit(Stopped{})
	}
}
