// Package prefix tracks which backend servers have which parts of prompts in their caches, based
// on the requests that one instance has sent.
//
// An engine does not process a part again while the part is in its cache. The index is small and
// its entries expire soon on purpose: it only has to find, for a request to an engine that may
// lack parts of the prompt, another engine from which these can be copied.
package prefix

import "time"

const (
	// Memory is the time for which a part is assumed to be cached after its last use. Engines
	// keep parts until they need the space for others. A minute is far shorter than that, and
	// longer than the pauses between uses that matter.
	Memory = time.Minute
	// MaxParts bounds the number of tracked parts, at about 150 bytes each.
	MaxParts = 4096
	// holders is the number of backend servers tracked per part. A popular part is in more
	// caches than that, but one source to copy from is enough.
	holders = 3
)

// Holders tracks the backend servers that hold each part.
type Holders struct {
	parts map[string]*part
	sweep time.Time
}

// part holds the backend servers that have a part in their caches.
type part struct {
	// by holds the backend servers, most recently used first.
	by [holders]holding
}

// holding is one backend server and the time of its last use of a part.
type holding struct {
	backend string
	at      time.Time
}

// New returns an empty index.
func New() *Holders { return &Holders{parts: make(map[string]*part)} }

// Used records that a backend server has processed a part or found it in its cache.
func (x *Holders) Used(id, backend string, now time.Time) {
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
	for i < holders-1 && p.by[i].backend != backend {
		i++
	}
	copy(p.by[1:i+1], p.by[:i])
	p.by[0] = holding{backend: backend, at: now}
}

// Holds reports whether a backend server is assumed to have a part in its cache.
func (x *Holders) Holds(id, backend string, now time.Time) bool {
	p := x.parts[id]
	if p == nil {
		return false
	}
	for _, holder := range p.by {
		if holder.backend == backend {
			return now.Sub(holder.at) <= Memory
		}
	}
	return false
}

// Each calls f for the backend servers that hold a part, most recently used first, until f returns
// false.
func (x *Holders) Each(id string, now time.Time, f func(backend string) bool) {
	p := x.parts[id]
	if p == nil {
		return
	}
	for _, holder := range p.by {
		if holder.backend == "" || now.Sub(holder.at) > Memory {
			return
		}
		if !f(holder.backend) {
			return
		}
	}
}

// Forget removes a backend server whose cache has been lost.
func (x *Holders) Forget(backend string) {
	for _, p := range x.parts {
		kept := 0
		for _, holder := range p.by {
			if holder.backend != backend {
				p.by[kept] = holder
				kept++
			}
		}
		clear(p.by[kept:])
	}
}

// expire periodically removes the parts that were not used within Memory.
func (x *Holders) expire(now time.Time) {
	if now.Before(x.sweep) {
		return
	}
	x.sweep = now.Add(Memory / 4)
	for id, p := range x.parts {
		if now.Sub(p.by[0].at) > Memory {
			delete(x.parts, id)
		}
	}
}
