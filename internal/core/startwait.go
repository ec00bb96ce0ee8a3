package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// An instance that has just started queues requests while it reads its configuration and
// backend servers. If all instances start together, as after a complete power loss, a
// refused caller would retry at another instance that cannot serve it yet either, and most
// callers retry only once.

const (
	// maxStartWait is the maximum time that a request is queued: twice the time of a read
	// with a long configuration text over a slow link.
	maxStartWait = time.Second
	// maxStartWaiters is the maximum number of queued requests, half of the connections that an instance accepts: a
	// balancer may give it most new ones as soon as it starts. maxStartBytes is the maximum size in bytes of their
	// headers and bodies, a quarter of an instance's memory.
	maxStartWaiters = 4096
	maxStartBytes   = 16 << 20
)

// startWaiter is a request queued until this instance can serve it.
type startWaiter struct {
	arrived RequestArrived
	since   time.Time
	until   time.Time
}

// size returns the bytes that the request holds in memory.
func (w *startWaiter) size() int { return w.arrived.HeaderBytes + w.arrived.BodyBytes }

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
// whether it did. It waits for at most half of the time until the caller's deadline, so
// that the caller can still retry at another instance.
func (n *Node) waitForStart(e RequestArrived) bool {
	size := e.HeaderBytes + e.BodyBytes
	if !n.starting() || len(n.startWaiters) >= maxStartWaiters || n.startWaitingBytes+size > maxStartBytes {
		return false
	}
	wait := maxStartWait
	if !e.Deadline.IsZero() {
		wait = min(wait, e.Deadline.Sub(n.now)/2)
	}
	if wait <= 0 {
		return false
	}
	n.recordWaitingCaller()
	n.startWaitingBytes += size
	n.startWaiters = append(n.startWaiters, startWaiter{arrived: e, since: n.now, until: n.now.Add(wait)})
	return true
}

// releaseStartWaiters processes the queued requests whose wait is over, in the order of
// arrival. Each is served, or refused with the reason that applies now.
func (n *Node) releaseStartWaiters() {
	if len(n.startWaiters) == 0 {
		return
	}
	starting := n.starting()
	var released []startWaiter
	n.startWaiters = slices.DeleteFunc(n.startWaiters, func(w startWaiter) bool {
		if starting && n.now.Before(w.until) {
			return false
		}
		released = append(released, w)
		n.startWaitingBytes -= w.size()
		return true
	})
	for _, w := range released {
		n.startRequest(w.arrived, w.since)
	}
}

// cancelStartWaiter removes the queued request of a caller that disconnected, and reports
// whether there was one.
func (n *Node) cancelStartWaiter(id RequestID) bool {
	i := slices.IndexFunc(n.startWaiters, func(w startWaiter) bool { return w.arrived.Request == id })
	if i < 0 {
		return false
	}
	arrived := n.startWaiters[i].arrived
	n.startWaitingBytes -= n.startWaiters[i].size()
	n.startWaiters = slices.Delete(n.startWaiters, i, i+1)
	n.refuseWith(arrived, target{}, &refusal{reason: reason.CallerGone})
	return true
}
