// Package evacuation keeps the set of evacuated availability zones as an instance knows it: which zones get no new
// requests, at which revision of the store that was requested, and what share of requests a zone gets after its
// evacuation has ended.
//
// A set is replaced only by one of a newer revision, in whatever order the store's answers and the peers' messages
// arrive. If the store returns lower revisions for longer than ConfirmTime, it has lost changes, and its state is taken again.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// MaxNameBytes is the maximum length of a zone's name, in bytes.
	MaxNameBytes = 200
	// MaxZones is the maximum number of evacuated zones. It bounds the memory and the size of a digest if keys are
	// written by mistake.
	MaxZones = 1024
	// ConfirmTime is how long the store must return lower revisions than known until it counts as having lost changes. A
	// single late answer must not restore an evacuation.
	ConfirmTime = 10 * time.Second
	// peerLeadTime is by how long a peer's set may be ahead of this instance's answers while the store is well.
	peerLeadTime = 2 * time.Second
	// DistrustTime is how long after that the peers' sets of lost revisions are ignored. The peers reach the same conclusion
	// within their own bounds on the age of their knowledge and ConfirmTime.
	DistrustTime = 30 * time.Second
)

// Zone is an evacuated zone.
type Zone struct {
	Name string `json:"name"`
	// Revision is the store's revision at which the evacuation was requested.
	Revision uint64 `json:"revision"`
}

// Valid reports whether the zone has a name that can be kept, and sent to peers.
func (z Zone) Valid() bool {
	return z.Name != "" && len(z.Name) <= MaxNameBytes && utf8.ValidString(z.Name)
}

// Removal is a zone whose evacuation was withdrawn at a revision of the store.
type Removal Zone

// Read is an answer of the store.
type Read struct {
	// Revision is the store's revision at the time of the answer, or at that of the first page of a list.
	Revision uint64 `json:"revision"`
	// Complete is set if Zones are all that exist. Otherwise Zones and Removals are the changes since the revision that
	// was asked for.
	Complete bool      `json:"complete,omitempty"`
	Zones    []Zone    `json:"zones,omitempty"`
	Removals []Removal `json:"removals,omitempty"`
}

// HasChanges reports whether the answer of a watch tells of changes. A nil answer has none.
func (r *Read) HasChanges() bool { return r != nil && len(r.Zones)+len(r.Removals) > 0 }

// Result is what became of an answer of the store.
type Result struct {
	// Changes are the zones that have begun or ended to be evacuated, sorted by name.
	Changes []Change
	// Ignored is set if the answer is older than what is known. It shows nothing of the state of the store then.
	Ignored bool
	// RolledBack is set if the answer was taken because the store has lost changes.
	RolledBack bool
}

// Change is a zone whose evacuation has begun or ended.
type Change struct {
	Zone
	// Ended is set if its evacuation has ended.
	Ended bool
	// Since is when this instance learned of the evacuation.
	Since time.Time
}

// evacuated is what is known of an evacuated zone.
type evacuated struct {
	revision uint64
	// since is when this instance learned of the evacuation.
	since time.Time
}

// Set holds the evacuated zones. It is not safe for concurrent use.
type Set struct {
	zones map[string]evacuated
	// asOf is the revision of the newest change that the set includes, 0 while the set is not known.
	asOf uint64
	// highestRevision is the highest revision that the store has returned.
	highestRevision uint64
	// lowerSince is the time since which the store has returned lower revisions than known, zero if it has not.
	lowerSince time.Time
	// lostUpTo is the highest revision known when the store had lost changes. Peers' sets up to it are ignored until distrustUntil.
	lostUpTo      uint64
	distrustUntil time.Time
	// returning maps the zones to which load returns to the time when their evacuation ended.
	returning map[string]time.Time
}

// New returns a set that is not known yet.
func New() *Set {
	return &Set{zones: make(map[string]evacuated), returning: make(map[string]time.Time)}
}

// Known reports whether the set has been learned from the store or a peer.
func (s *Set) Known() bool { return s.asOf > 0 }

// AsOf returns the revision of the newest change that the set includes, 0 if the set is not known.
func (s *Set) AsOf() uint64 { return s.asOf }

// Evacuated reports whether a zone is evacuated.
func (s *Set) Evacuated(zone string) bool {
	_, evacuated := s.zones[zone]
	return evacuated
}

// Since returns when this instance learned of a zone's evacuation, zero if it is not evacuated.
func (s *Set) Since(zone string) time.Time { return s.zones[zone].since }

// Any reports whether any zone is evacuated.
func (s *Set) Any() bool { return len(s.zones) > 0 }

// Zones returns the evacuated zones, sorted by name.
func (s *Set) Zones() []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		list = append(list, Zone{Name: name, Revision: s.zones[name].revision})
	}
	return list
}

// Doubted reports whether the store's last answer was older than the set. Its next answer must be complete then.
func (s *Set) Doubted() bool { return !s.lowerSince.IsZero() }

// SuspectLoss records that another instance has concluded that the store has lost changes. The next complete answer of a
// lower revision confirms it.
func (s *Set) SuspectLoss(now time.Time) { s.lowerSince = now.Add(-ConfirmTime) }

// MergeRead merges an answer of the store.
func (s *Set) MergeRead(r Read, now time.Time) Result {
	var result Result
	if r.Revision < max(s.highestRevision, s.asOf) {
		if !s.confirmsLoss(r, now) {
			// A peer may be ahead of an answer, which is then no sign that the store went back.
			result.Ignored = r.Revision < s.highestRevision || now.Sub(s.lowerSince) >= peerLeadTime
			s.highestRevision = max(s.highestRevision, r.Revision)
			return result
		}
		s.lostUpTo, s.distrustUntil = max(s.highestRevision, s.asOf), now.Add(DistrustTime)
		s.asOf, s.highestRevision = 0, 0
		result.RolledBack = true
	}
	s.lowerSince = time.Time{}
	s.highestRevision = r.Revision
	if r.Complete {
		result.Changes = s.replaceFromStore(r, now)
	} else {
		result.Changes = s.applyChanges(r, now)
	}
	return result
}

// confirmsLoss reports whether an answer of a lower revision shows that the store has lost changes.
func (s *Set) confirmsLoss(r Read, now time.Time) bool {
	if s.lowerSince.IsZero() {
		s.lowerSince = now
	}
	return r.Complete && now.Sub(s.lowerSince) >= ConfirmTime
}

// replaceFromStore takes the complete set of an answer.
func (s *Set) replaceFromStore(r Read, now time.Time) []Change {
	changes := s.replace(r.Zones, now)
	switch {
	case s.asOf == 0, slices.ContainsFunc(changes, func(c Change) bool { return c.Ended }):
		// The revision at which an evacuation ended is not in a list.
		s.asOf = max(1, r.Revision)
	default:
		for _, z := range r.Zones {
			s.asOf = max(s.asOf, z.Revision)
		}
	}
	return changes
}

// applyChanges takes the changes of an answer that are newer than the set.
func (s *Set) applyChanges(r Read, now time.Time) []Change {
	if s.asOf == 0 {
		return nil // The changes of a set that is not known.
	}
	newest := make(map[string]Change)
	note := func(z Zone, ended bool) {
		if z.Revision > s.asOf && z.Revision >= newest[z.Name].Revision {
			newest[z.Name] = Change{Zone: z, Ended: ended}
		}
	}
	for _, z := range r.Zones {
		note(z, false)
	}
	for _, z := range r.Removals {
		note(Zone(z), true)
	}
	next := maps.Clone(s.zones)
	for name, c := range newest {
		s.asOf = max(s.asOf, c.Revision)
		if c.Ended {
			delete(next, name)
			continue
		}
		next[name] = evacuated{revision: c.Revision, since: now}
	}
	list := make([]Zone, 0, len(next))
	for name, z := range next {
		list = append(list, Zone{Name: name, Revision: z.revision})
	}
	return s.replace(list, now)
}

// MergePeer merges the complete set that a peer knew as of a revision, unless the known one is as new.
func (s *Set) MergePeer(asOf uint64, zones []Zone, now time.Time) []Change {
	if asOf <= s.asOf || asOf <= s.lostUpTo && now.Before(s.distrustUntil) {
		return nil
	}
	s.asOf = asOf
	return s.replace(zones, now)
}

// replace replaces the zones of the set, and returns the changes. Zones beyond MaxZones, by their revisions, are left out.
func (s *Set) replace(zones []Zone, now time.Time) []Change {
	zones = slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return !z.Valid() })
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	zones = zones[:min(len(zones), MaxZones)]
	next := make(map[string]evacuated, len(zones))
	var changes []Change
	for _, z := range zones {
		known, was := s.zones[z.Name]
		if !was {
			known.since = now
			changes = append(changes, Change{Zone: z, Since: now})
			delete(s.returning, z.Name)
		}
		next[z.Name] = evacuated{revision: z.Revision, since: known.since}
	}
	for name, was := range s.zones {
		if _, still := next[name]; !still {
			changes = append(changes, Change{Zone: Zone{Name: name, Revision: was.revision}, Ended: true, Since: was.since})
			s.returning[name] = now
		}
	}
	s.zones = next
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}
