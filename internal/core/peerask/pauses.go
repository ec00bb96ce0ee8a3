package peerask

import (
	"maps"
	"time"
)

// Pauses holds until when an instance asks no questions about a key: a peer, a server, or a peer and a service. Its zero value is
// empty. It is not safe for concurrent use.
type Pauses[K comparable] struct{ until map[K]time.Time }

// Set starts a pause that lasts until a time, in place of an earlier one.
func (p *Pauses[K]) Set(key K, until time.Time) {
	if p.until == nil {
		p.until = make(map[K]time.Time)
	}
	p.until[key] = until
}

// Active reports whether a key is paused.
func (p *Pauses[K]) Active(key K, now time.Time) bool { return now.Before(p.until[key]) }

// Expire forgets the pauses that are over.
func (p *Pauses[K]) Expire(now time.Time) {
	maps.DeleteFunc(p.until, func(_ K, until time.Time) bool { return !now.Before(until) })
}

// Len returns the number of pauses that are kept.
func (p *Pauses[K]) Len() int { return len(p.until) }
