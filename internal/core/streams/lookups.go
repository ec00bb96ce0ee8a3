package streams

import (
	"maps"
	"slices"
	"time"
)

const (
	// LookupTimeout is how long a request waits for the instances that may know where its stream began. A
	// link to them may have to be opened first.
	LookupTimeout = 300 * time.Millisecond
	// maxLookups bounds the lookups in progress, maxLookupsPerSecond those that are started, and maxWaiters
	// the requests that wait for one, so that callers who name unknown streams cannot keep the fleet busy.
	maxLookups, maxLookupsPerSecond, maxWaiters = 256, 100, 8
)

// Lookups are the streams about which an instance asks others, each with the requests W that wait for it. It is not
// safe for concurrent use.
type Lookups[W any] struct {
	byKey map[Key]*Lookup[W]
	// started counts the lookups since countedSince.
	started      int
	countedSince time.Time
}

// Lookup is one stream about which others are asked.
type Lookup[W any] struct {
	Key Key
	// Service is the service that the route has now.
	Service string
	// Waiting are the requests that wait.
	Waiting []W
	// Until is the time at which the lookup ends without all answers.
	Until time.Time
	// Vouched is set once an instance that knows all versions has answered.
	Vouched bool
	// unsent are the instances that the question could not be sent to yet, and unanswered those that have
	// not answered.
	unsent, unanswered map[string]bool
}

// NewLookups returns the state without lookups.
func NewLookups[W any]() *Lookups[W] { return &Lookups[W]{byKey: make(map[Key]*Lookup[W])} }

// Join lets a request wait for a lookup in progress. joined is false if there is none, or no room.
func (l *Lookups[W]) Join(key Key, waiter W) (joined, exists bool) {
	lookup := l.byKey[key]
	if lookup == nil {
		return false, false
	}
	if len(lookup.Waiting) >= maxWaiters {
		return false, true
	}
	lookup.Waiting = append(lookup.Waiting, waiter)
	return true, true
}

// Start starts a lookup at the given instances, or returns nil if there are too many.
func (l *Lookups[W]) Start(key Key, service string, asked []string, waiter W, now, until time.Time) *Lookup[W] {
	if now.Sub(l.countedSince) >= time.Second {
		l.countedSince, l.started = now, 0
	}
	if len(l.byKey) >= maxLookups || l.started >= maxLookupsPerSecond {
		return nil
	}
	l.started++
	lookup := &Lookup[W]{
		Key: key, Service: service, Waiting: []W{waiter}, Until: until,
		unsent: make(map[string]bool), unanswered: make(map[string]bool),
	}
	for _, name := range asked {
		lookup.unsent[name], lookup.unanswered[name] = true, true
	}
	l.byKey[key] = lookup
	return lookup
}

// Get returns a lookup in progress, or nil.
func (l *Lookups[W]) Get(key Key) *Lookup[W] { return l.byKey[key] }

// End removes a lookup.
func (l *Lookups[W]) End(key Key) { delete(l.byKey, key) }

// All returns the lookups in progress, sorted by key.
func (l *Lookups[W]) All() []*Lookup[W] {
	var list []*Lookup[W]
	for _, key := range slices.Sorted(maps.Keys(l.byKey)) {
		list = append(list, l.byKey[key])
	}
	return list
}

// Unsent returns the instances that the question could not be sent to yet, sorted.
func (l *Lookup[W]) Unsent() []string { return slices.Sorted(maps.Keys(l.unsent)) }

// Sent records that the question was sent to an instance.
func (l *Lookup[W]) Sent(name string) { delete(l.unsent, name) }

// Answer records the answer of an instance, and reports whether it was asked and has not answered before.
func (l *Lookup[W]) Answer(name string, vouches bool) bool {
	if !l.unanswered[name] {
		return false
	}
	delete(l.unanswered, name)
	l.Vouched = l.Vouched || vouches
	return true
}

// AllAnswered reports whether no answer is missing.
func (l *Lookup[W]) AllAnswered() bool { return len(l.unanswered) == 0 }
