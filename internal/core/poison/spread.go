package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HoldTime is the time for which an instance keeps to itself what a peer has blocked, where digests take several hops. What is blamed
// on a sound part that many requests share would else spread to the whole fleet ahead of the answers that clear it. So it ends at the
// first instances that know such an answer.
const HoldTime = 250 * time.Millisecond

// Change is a change of a record since peers were last told of it.
type Change struct {
	Key Key
	// From is the peer that told of it, "" if there were several or the change was observed.
	From string
	// Observed is set if this instance observed the change or read it from the store, so that no peer may know of it.
	Observed bool
}

// Spread holds the changes of records of which peers are yet to be told, and the records of which all were told. It is not safe for
// concurrent use.
type Spread struct {
	changed map[Key]Change
	// held are the changes that are told later, with the time from which they are.
	held map[Key]heldChange
	told map[Key]bool
}

type heldChange struct {
	Change
	until time.Time
}

// NewSpread returns a Spread without changes.
func NewSpread() *Spread {
	return &Spread{changed: make(map[Key]Change), held: make(map[Key]heldChange), told: make(map[Key]bool)}
}

// Observed notes a change that this instance has observed or read from the store.
func (s *Spread) Observed(key Key) { s.changed[key] = Change{Key: key, Observed: true} }

// ToldBy notes a change that a peer has told.
func (s *Spread) ToldBy(key Key, peer string) {
	known, ok := s.changed[key]
	switch {
	case !ok:
		s.changed[key] = Change{Key: key, From: peer}
	case known.From != peer:
		s.changed[key] = Change{Key: key, Observed: known.Observed}
	}
}

// Take removes the changes of which peers are to be told now and returns them, sorted. Those that peers have told, and for which hold
// returns true, are told HoldTime later.
func (s *Spread) Take(now time.Time, hold func(Key) bool) []Change {
	var due []Change
	for key, c := range s.held {
		if !now.Before(c.until) {
			due = append(due, c.Change)
			delete(s.held, key)
		}
	}
	for key, c := range s.changed {
		if c.Observed || s.told[key] || !s.hold(c, now, hold) {
			due = append(due, c)
		}
	}
	clear(s.changed)
	slices.SortFunc(due, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return due
}

// hold holds a change that a peer has told, if it is held already or is to be, and reports whether it did.
func (s *Spread) hold(c Change, now time.Time, hold func(Key) bool) bool {
	held, ok := s.held[c.Key]
	switch {
	case ok && held.From != c.From:
		held.From = ""
	case ok:
	case hold(c.Key):
		held = heldChange{c, now.Add(HoldTime)}
	default:
		return false
	}
	s.held[c.Key] = held
	return true
}

// TellAll records that all peers are told of a record. They are then told of each later change: it may clear what they blame.
func (s *Spread) TellAll(key Key) { s.told[key] = true }

// ToldAll reports whether all peers were told of a record.
func (s *Spread) ToldAll(key Key) bool { return s.told[key] }

// Expire forgets what a tracker has no record of.
func (s *Spread) Expire(t *Tracker) {
	maps.DeleteFunc(s.told, func(key Key, _ bool) bool { return !t.Has(key) })
}
