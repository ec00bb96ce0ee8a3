package core

import (
	"container/heap"
	"time"
)

// due is a timer of a request.
type due struct {
	at time.Time
	// order counts timers in creation sequence. It breaks ties, so that replays are
	// deterministic.
	order   uint64
	index   int
	request *request
	act     func(*Node, *request)
}

// dueQueue is a min-heap of request timers, ordered by time.
type dueQueue struct {
	entries []*due
	order   uint64
}

// Len implements heap.Interface.
func (q *dueQueue) Len() int { return len(q.entries) }

// Less implements heap.Interface.
func (q *dueQueue) Less(i, j int) bool {
	a, b := q.entries[i], q.entries[j]
	if a.at.Equal(b.at) {
		return a.order < b.order
	}
	return a.at.Before(b.at)
}

// Swap implements heap.Interface.
func (q *dueQueue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].index, q.entries[j].index = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	d := x.(*due)
	d.index = len(q.entries)
	q.entries = append(q.entries, d)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(q.entries) - 1
	d := q.entries[last]
	q.entries[last] = nil
	q.entries = q.entries[:last]
	return d
}

// schedule calls act at time at unless the request has ended by then.
func (n *Node) schedule(at time.Time, r *request, act func(*Node, *request)) {
	n.due.order++
	d := &due{at: at, order: n.due.order, request: r, act: act}
	heap.Push(&n.due, d)
	r.due = append(r.due, d)
}

// unschedule cancels the timers of an ended request, so that a distant deadline does not
// keep the request in memory.
func (n *Node) unschedule(r *request) {
	for _, d := range r.due {
		if d.index < n.due.Len() && n.due.entries[d.index] == d {
			heap.Remove(&n.due, d.index)
		}
	}
	r.due = nil
}

// tickRequests runs the request timers that have expired.
func (n *Node) tickRequests() {
	for n.due.Len() > 0 && !n.now.Before(n.due.entries[0].at) {
		d := heap.Pop(&n.due).(*due)
		d.act(n, d.request)
	}
}
