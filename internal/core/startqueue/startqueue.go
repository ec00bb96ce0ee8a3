// Package startqueue queues the requests that arrive before an instance can serve them. If all
// instances start together, as after a complete power loss, a refused caller would retry at
// another instance that cannot serve it yet either, and most callers retry only once.
package startqueue

import (
	"slices"
	"time"
)

const (
	// MaxWait is the maximum time that a request is queued: twice the time of a read with a
	// long configuration text over a slow link.
	MaxWait = time.Second
	// maxRequests is the maximum number of queued requests, half of the connections that an instance accepts: a
	// balancer may give it most new ones as soon as it starts. maxBytes is the maximum size in bytes of their
	// headers and bodies, a quarter of an instance's memory.
	maxRequests = 4096
	maxBytes    = 16 << 20
)

// Request is a queued request.
type Request[T any] struct {
	Value T

	size  int
	until time.Time
}

// Queue holds requests in the order of arrival. The zero value is empty.
type Queue[T any] struct {
	requests []Request[T]
	bytes    int
}

// Add queues a request of a size in bytes and reports whether it did. The request waits for at
// most half of the time until the caller's deadline, so that the caller can still retry at
// another instance. A zero deadline is none.
func (q *Queue[T]) Add(value T, size int, deadline, now time.Time) bool {
	if len(q.requests) >= maxRequests || q.bytes+size > maxBytes {
		return false
	}
	wait := MaxWait
	if !deadline.IsZero() {
		wait = min(wait, deadline.Sub(now)/2)
	}
	if wait <= 0 {
		return false
	}
	q.bytes += size
	q.requests = append(q.requests, Request[T]{Value: value, size: size, until: now.Add(wait)})
	return true
}

// Take removes the requests whose wait is over and returns them: all, or while the instance is still starting those
// that have waited long enough.
func (q *Queue[T]) Take(now time.Time, starting bool) []Request[T] {
	var taken []Request[T]
	q.requests = slices.DeleteFunc(q.requests, func(r Request[T]) bool {
		if starting && now.Before(r.until) {
			return false
		}
		q.bytes -= r.size
		taken = append(taken, r)
		return true
	})
	return taken
}

// TakeFirst removes the first request that matches and returns it, and reports whether there was one.
func (q *Queue[T]) TakeFirst(matches func(T) bool) (taken T, ok bool) {
	i := slices.IndexFunc(q.requests, func(r Request[T]) bool { return matches(r.Value) })
	if i < 0 {
		return taken, false
	}
	taken = q.requests[i].Value
	q.bytes -= q.requests[i].size
	q.requests = slices.Delete(q.requests, i, i+1)
	return taken, true
}
