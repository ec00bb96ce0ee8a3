package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/overload"
)

// waitsOf returns how long requests like r wait for their first bytes, nil if nothing is learned of them. Engines admit the more
// urgent requests of routes first; other servers take no priorities.
func (n *Node) waitsOf(r *request) *overload.Waits {
	if r.route == nil || r.service.Kind != config.Model {
		return nil
	}
	return &n.pool(r.service.Name).waits
}

// waitsTooLong reports whether the request's response would most likely not begin before its caller's deadline, because requests queue at
// the servers. Long waits without a queue come from servers that are silent, slow to connect to or failing; refusing requests for
// them would leave sound servers idle. A stream that is continued is always tried, because most of its work is done.
func (n *Node) waitsTooLong(r *request) bool {
	waits := n.waitsOf(r)
	if waits == nil || r.software != nil || !n.pool(r.service.Name).candidates.Queue() {
		return false
	}
	return !waits.Admit(r.policy.priority, r.deadline.Sub(n.now), n.now, n.random)
}

// recordWait records how long a request waited at its backend server until its response began.
func (n *Node) recordWait(r *request) {
	if waits := n.waitsOf(r); waits != nil && !r.responseStarted {
		waits.Record(r.policy.priority, n.now.Sub(r.sentAt), n.now)
	}
}

// waitingInterval is the interval at which the requests that still wait are taken into the averages.
const waitingInterval = 200 * time.Millisecond

// tickWaits records the requests that have waited for longer than expected and still wait. Without them an instance would
// learn of a long queue only when its first requests there have begun, or were given up.
func (n *Node) tickWaits() {
	if n.now.Sub(n.waitsRecordedAt) < waitingInterval {
		return
	}
	n.waitsRecordedAt = n.now
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		n.recordWaitInVain(n.requests[id])
	}
}

// recordWaitInVain records how long a request has waited whose response has not begun, if that is longer than expected: a caller
// that leaves early shows nothing of the engines' queues.
func (n *Node) recordWaitInVain(r *request) {
	waits := n.waitsOf(r)
	if waits == nil || !r.running || r.responseStarted {
		return
	}
	if waited := n.now.Sub(r.sentAt); waited > waits.Expected(r.policy.priority, n.now) {
		waits.Record(r.policy.priority, waited, n.now)
	}
}

// returnAfterWait returns the time after which the caller of a request that would wait too long is to return.
func (n *Node) returnAfterWait(r *request) time.Duration {
	return max(minRetryAfter, overload.ReturnAfter(r.deadline.Sub(n.now), n.random))
}
