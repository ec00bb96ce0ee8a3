// Package timerqueue orders timers by the time at which they expire. It starts no goroutine and reads no clock:
// its owner asks for the timers that have expired.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is a timer in a queue, with what its owner does when it expires.
type Timer[T any] struct {
	Value T
	at    time.Time
	// seq counts timers in the order of creation. It breaks ties, so that replays are deterministic.
	seq   uint64
	index int
}

// Queue is a queue of timers. Its zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	timers  timerHeap[T]
	lastSeq uint64
}

// Add adds a timer that expires at the given time.
func (q *Queue[T]) Add(at time.Time, value T) *Timer[T] {
	q.lastSeq++
	t := &Timer[T]{Value: value, at: at, seq: q.lastSeq}
	heap.Push(&q.timers, t)
	return t
}

// Remove removes a timer, unless it has expired already.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t.index < len(q.timers) && q.timers[t.index] == t {
		heap.Remove(&q.timers, t.index)
	}
}

// Expired removes and returns the next timer that has expired, or nil.
func (q *Queue[T]) Expired(now time.Time) *Timer[T] {
	if len(q.timers) == 0 || now.Before(q.timers[0].at) {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer[T])
}

// timerHeap implements heap.Interface, ordered by time.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
