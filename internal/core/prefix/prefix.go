// Package prefix tracks which backend servers have which parts of prompts in their caches, based
// on the requests that one instance has sent.
//
// An engine does not process a part again while the part is in its cache. The index is small and
// its entries expire soon on purpose: it only has to find, for a request to an engine that may
// lack parts of the prompt, another engine from which these can be copied.
package prefix

import "time"

const (
	// TTL is the time for which a part is assumed to be cached after its last use. Engines
	// keep parts until they need the space for others. A minute is far shorter than that, and
	// longer than the pauses between uses that matter.
	TTL = time.Minute
	// MaxParts bounds the number of tracked parts, at about 150 bytes each.
	MaxParts = 4096
	// maxHolders is the number of backend servers tracked per part. A popular part is in more
	// caches than that, but one source to copy from is enough.
	maxHolders = 3
)

// Index tracks the backend servers that hold each part.
type Index struct {
	parts     map[string]*part
	nextSweep time.Time
}

// part holds the backend servers that have a part in their caches.
type part struct {
	// backends holds the backend servers, most recently used first.
	backends [maxHolders]holder
}

// holder is one backend server and the time of its last use of a part.
type holder struct {
	backend string
	at      time.Time
}

// New returns an empty index.
func New() *Index { return &Index{parts: make(map[string]*part)} }

// Record records that a backend server has processed a part or found it in its cache.
func (x *Index) Record(id, backend string, now time.Time) {
	x.expire(now)
	p := x.parts[id]
	if p == nil {
		if len(x.parts) >= MaxParts {
			return
		}
		p = &part{}
		x.parts[id] = p
	}
	i := 0
	for i < maxHolders-1 && p.backends[i].backend != backend {
		i++
	}
	copy(p.backends[1:i+1], p.backends[:i])
	p.backends[0] = holder{backend: backend, at: now}
}

// Holds reports whether a backend server is assumed to have a part in its cache.
func (x *Index) Holds(id, backend string, now time.Time) bool {
	p := x.parts[id]
	if p == nil {
		return false
	}
	for _, holder := range p.backends {
		if holder.backend == backend {
			return now.Sub(holder.at) <= TTL
		}
	}
	return false
}

// EachHolder calls f for the backend servers that hold a part, most recently used first, until f
// returns false.
func (x *Index) EachHolder(id string, now time.Time, f func(backend string) bool) {
	p := x.parts[id]
	if p == nil {
		return
	}
	for _, holder := range p.backends {
		if holder.backend == "" || now.Sub(holder.at) > TTL {
			return
		}
		if !f(holder.backend) {
			return
		}
	}
}

// Forget removes a backend server whose cache has been lost.
func (x *Index) Forget(backend string) {
	for _, p := range x.parts {
		kept := 0
		for _, holder := range p.backends {
			if holder.backend != backend {
				p.backends[kept] = holder
				kept++
			}
		}
		clear(p.backends[kept:])
	}
}

// expire periodically removes the parts that were not used within TTL.
func (x *Index) expire(now time.Time) {
	if now.Before(x.nextSweep) {
		return
	}
	x.nextSweep = now.Add(TTL / 4)
	for id, p := range x.parts {
		if now.Sub(p.backends[0].at) > TTL {
			delete(x.parts, id)
		}
	}
}
