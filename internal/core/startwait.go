package core

import "github.com/ebonydyke/ebonydyke/internal/core/reason"

// starting reports whether this instance is still reading its configuration or its
// backend servers for the first time, and no read has ended without them. It must not
// serve from only the first page of the list of backend servers, because it would place
// sessions on engines other than their preferred ones.
func (n *Node) starting() bool {
	if n.snapshot == nil {
		return !n.configs.readWithoutConfig
	}
	return n.readingFirstBackends() && (len(n.poolByBackend) == 0 || n.backends.listedNames != nil)
}

// waitForStart queues a request that arrives while the instance is starting, and reports
// whether it did.
func (n *Node) waitForStart(e RequestArrived) bool {
	if !n.starting() || n.graceEnding() || !n.startQueue.Add(e, e.HeaderBytes+e.BodyBytes, e.Deadline, n.now) {
		return false
	}
	n.recordWaitingCaller()
	return true
}

// releaseStartWaiters processes the queued requests whose wait is over, in the order of
// arrival. Each is served, or refused with the reason that applies now.
func (n *Node) releaseStartWaiters() {
	for _, r := range n.startQueue.Take(n.now, n.starting()) {
		n.startRequest(r.Value, r.Value.ReadAt)
	}
}

// cancelStartWaiter removes the queued request of a caller that disconnected, and reports
// whether there was one.
func (n *Node) cancelStartWaiter(id RequestID) bool {
	arrived, ok := n.startQueue.TakeFirst(func(e RequestArrived) bool { return e.Request == id })
	if !ok {
		return false
	}
	n.refuseWith(arrived, target{}, &refusal{reason: reason.CallerGone, waiting: WaitsForStart})
	return true
}
