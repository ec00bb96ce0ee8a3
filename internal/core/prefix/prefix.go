// Package prefix remembers which backend servers have read which parts of prompts,
// as far as one instance knows from what it sent.
//
// A part that an engine has cached is not read again. The memory here is short and
// small on purpose: it only has to tell, for a request that goes to an engine which
// may lack its prompt, where the engine can copy the cached parts from.
package prefix

import "time"

const (
	// Memory is how long a part is taken for cached after it was last used. Engines
	// keep parts until others need their room; a minute is far below that, and above
	// the pauses between two uses that matter.
	Memory = time.Minute
	// MaxParts bounds the parts that are remembered, at about 150 bytes each.
	MaxParts = 4096
	// holders is how many backend servers are remembered for a part. A popular part is
	// in more caches than that, but one to copy from is enough.
	holders = 3
)

// Holders remembers who holds the parts of prompts.
type Holders struct {
	parts map[string]*part
	sweep time.Time
}

type part struct {
	// by holds the backend servers, the one that used the part last first.
	by [holders]holding
}

type holding struct {
	backend string
	at      time.Time
}

// New returns an empty memory.
func New() *Holders { return &Holders{parts: make(map[string]*part)} }

// Used notes that a backend server has read a part, or found it in its cache.
func (h *Holders) Used(id, backend string, now time.Time) {
	h.expire(now)
	p := h.parts[id]
	if p == nil {
		if len(h.parts) >= MaxParts {
			return
		}
		p = &part{}
		h.parts[id] = p
	}
	at := 0
	for at < holders-1 && p.by[at].backend != backend {
		at++
	}
	copy(p.by[1:at+1], p.by[:at])
	p.by[0] = holding{backend: backend, at: now}
}

// Holds tells whether a backend server is known to hold a part.
func (h *Holders) Holds(id, backend string, now time.Time) bool {
	p := h.parts[id]
	if p == nil {
		return false
	}
	for _, by := range p.by {
		if by.backend == backend {
			return now.Sub(by.at) <= Memory
		}
	}
	return false
}

// Each calls f for the backend servers that hold a part, the last user first, until
// f returns false.
func (h *Holders) Each(id string, now time.Time, f func(backend string) bool) {
	p := h.parts[id]
	if p == nil {
		return
	}
	for _, by := range p.by {
		if by.backend == "" || now.Sub(by.at) > Memory {
			return
		}
		if !f(by.backend) {
			return
		}
	}
}

// Forget drops a backend server whose cache is gone.
func (h *Holders) Forget(backend string) {
	for _, p := range h.parts {
		kept := 0
		for _, by := range p.by {
			if by.backend != backend {
				p.by[kept] = by
				kept++
			}
		}
		clear(p.by[kept:])
	}
}

// expire drops the parts that nobody has used for long, now and then.
func (h *Holders) expire(now time.Time) {
	if now.Before(h.sweep) {
		return
	}
	h.sweep = now.Add(Memory / 4)
	for id, p := range h.parts {
		if now.Sub(p.by[0].at) > Memory {
			delete(h.parts, id)
		}
	}
}
