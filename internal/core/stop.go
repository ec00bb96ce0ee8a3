package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/startqueue"
)

// claimSettleTimeout is how long a stopping instance without requests in flight keeps
// trying to record the ends of its claims, counted from closeAt.
const claimSettleTimeout = 10 * time.Second

// stopMargin is the safety margin before the kill: a request must end at least this long
// before it.
const stopMargin = 500 * time.Millisecond

// waitSlack is the time until a tick has ended a wait that is over.
const waitSlack = 2 * TickInterval

// listenerMargin is the time before the kill at which the listener closes at the latest. It suffices to empty the accept
// queue and to answer what came from it.
const listenerMargin = stopMargin + time.Second

// lifecycleState is the progress of this instance's graceful shutdown.
type lifecycleState struct {
	stopping bool
	closeAt  time.Time
	// killAt is when the process will be killed, zero if it will not.
	killAt time.Time
	// closed is set once the listener closes, and closedAtOnce once it does so without waiting.
	closed, closedAtOnce bool
	stopped              bool
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

// exceedsStopGrace reports whether a request that is not at a backend server could still be in flight when the process
// is killed. It is refused, so that the caller can retry at another instance: from closeAt on if it arrives, on a
// kept-alive connection, and near the kill wherever it waits.
func (n *Node) exceedsStopGrace(deadline time.Time) bool {
	s := &n.lifecycle
	if s.killAt.IsZero() || !deadline.After(s.killAt.Add(-stopMargin)) {
		return false
	}
	return !n.now.Before(s.closeAt) || n.graceEnding()
}

// endsWithGrace reports whether a request that may outlast the process must not wait any longer.
func (n *Node) endsWithGrace(deadline time.Time) bool {
	return n.graceEnding() && n.exceedsStopGrace(deadline)
}

// graceEnding reports whether the process will be killed so soon that no request may wait or be sent that outlasts it.
func (n *Node) graceEnding() bool {
	return n.killedWithin(waitMargin(n.settings.DialTimeout, n.settings.StopGrace))
}

// killedWithin reports whether the process will be killed within d.
func (n *Node) killedWithin(d time.Duration) bool {
	s := &n.lifecycle
	return !s.killAt.IsZero() && !n.now.Before(s.killAt.Add(-d))
}

// waitMargin is the time before the kill from which a request that may outlast the process waits for nothing. What it
// waits for until then, the start or a connection, is over by stopMargin. A dial that may take most of the grace time is
// not waited for: it would leave no time to serve.
func waitMargin(dial, grace time.Duration) time.Duration {
	return stopMargin + waitSlack + max(startqueue.MaxWait, min(dial, grace/2))
}

// refuseWaiting ends the requests that wait for something other than a backend server.
func (n *Node) refuseWaiting() {
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		if r := n.requests[id]; r.inProgress() == 0 && n.endsWithGrace(r.deadline) {
			r.waiting = r.waitsFor()
			n.giveUp(r, reason.Stopping)
		}
	}
}

func (n *Node) tickLifecycle() {
	s := &n.lifecycle
	if !s.stopping {
		return
	}
	if n.graceEnding() {
		n.refuseWaiting()
	}
	if n.killedWithin(listenerMargin) {
		n.closeListenerAtOnce()
	}
	if s.stopped || n.now.Before(s.closeAt) {
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

// closeListenerAtOnce closes the listener, also if it still waits until no connections arrive.
func (n *Node) closeListenerAtOnce() {
	s := &n.lifecycle
	if s.closedAtOnce {
		return
	}
	s.closed, s.closedAtOnce = true, true
	n.emit(CloseListener{AtOnce: true})
}
