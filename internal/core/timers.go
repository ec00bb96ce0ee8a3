package core

import (
	"container/heap"
	"time"
)

// requestTimer is a timer of a request.
type requestTimer struct {
	at time.Time
	// seq counts timers in creation sequence. It breaks ties, so that replays are
	// deterministic.
	seq      uint64
	index    int
	request  *request
	callback func(*Node, *request)
}

// timerQueue is a min-heap of request timers, ordered by time.
type timerQueue struct {
	entries []*requestTimer
	lastSeq uint64
}

// Len implements heap.Interface.
func (q *timerQueue) Len() int { return len(q.entries) }

// Less implements heap.Interface.
func (q *timerQueue) Less(i, j int) bool {
	a, b := q.entries[i], q.entries[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

// Swap implements heap.Interface.
func (q *timerQueue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].index, q.entries[j].index = i, j
}

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	d := x.(*requestTimer)
	d.index = len(q.entries)
	q.entries = append(q.entries, d)
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(q.entries) - 1
	d := q.entries[last]
	q.entries[last] = nil
	q.entries = q.entries[:last]
	return d
}

// schedule calls act at time at unless the request has ended by then.
func (n *Node) schedule(at time.Time, r *request, act func(*Node, *request)) {
	n.timers.lastSeq++
	d := &requestTimer{at: at, seq: n.timers.lastSeq, request: r, callback: act}
	heap.Push(&n.timers, d)
	r.timers = append(r.timers, d)
}

// cancelTimers cancels the timers of an ended request, so that a distant deadline does not
// keep the request in memory.
func (n *Node) cancelTimers(r *request) {
	for _, d := range r.timers {
		if d.index < n.timers.Len() && n.timers.entries[d.index] == d {
			heap.Remove(&n.timers, d.index)
		}
	}
	r.timers = nil
}

// tickTimers runs the request timers that have expired.
func (n *Node) tickTimers() {
	for n.timers.Len() > 0 && !n.now.Before(n.timers.entries[0].at) {
		d := heap.Pop(&n.timers).(*requestTimer)
		d.callback(n, d.request)
	}
}
