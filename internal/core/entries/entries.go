// Package entries keeps the backend servers' entries in the platform's store as an instance knows
// them: the newest state of each, and up to which revision none was missed.
//
// An entry's revision only grows: an older state never replaces a newer one, whatever the order in
// which list pages, watch results and repetitions of them arrive.
package entries

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// Entry is a backend server's own entry in the platform's store, or the one that holds the software history.
type Entry struct {
	Name string `json:"name"`
	// Revision is the store's revision of the entry's last change or of its removal.
	Revision uint64 `json:"revision"`
	// Backend is nil if the entry was removed or names no backend server.
	Backend *membership.Member `json:"backend,omitempty"`
	// History is the software history, in the entry of HistoryName only.
	History *streams.History `json:"history,omitempty"`
	// Unreadable reports whether the entry has content, left by another writer, that cannot
	// be decoded.
	Unreadable bool `json:"unreadable,omitempty"`
}

// HistoryName is the name of the entry that holds the software history. No backend server has it.
const HistoryName = "/software-history"

// Removed reports whether the entry no longer exists.
func (e Entry) Removed() bool { return !e.readable() && !e.Unreadable }

// readable reports whether the entry has content that this instance understands.
func (e Entry) readable() bool { return e.Backend != nil || e.History != nil }

// Log holds the newest known entry of each name. It is not safe for concurrent use.
type Log struct {
	// byName holds the newest known entry of each name, including removed ones.
	byName map[string]Entry
	// changes counts the entries that were newer than the known ones.
	changes int
	// complete is the revision up to which no change was missed.
	complete uint64
	// newest is the highest revision of any entry.
	newest uint64
	// lapsed maps removed entries that may reappear to the time at which they count as gone.
	lapsed map[string]time.Time
}

// New returns a log without entries.
func New() Log {
	return Log{byName: make(map[string]Entry), lapsed: make(map[string]time.Time)}
}

// Revision returns the newest known revision of an entry, 0 if there is none.
func (l *Log) Revision(name string) uint64 { return l.byName[name].Revision }

// Newest returns the highest revision of any entry.
func (l *Log) Newest() uint64 { return l.newest }

// Changes returns the number of entries so far that were newer than the known ones.
func (l *Log) Changes() int { return l.changes }

// Complete returns the revision up to which no change was missed, either in this instance's own
// lists and watches or in the entries that peers passed on.
func (l *Log) Complete() uint64 { return l.complete }

// ExtendTo records that no change was missed up to a revision.
func (l *Log) ExtendTo(revision uint64) { l.complete = max(l.complete, revision) }

// Reset forgets all entries, but not those that may reappear.
func (l *Log) Reset() {
	clear(l.byName)
	l.complete, l.newest = 0, 0
}

// Put adds an entry and reports whether it is not older than the known one.
func (l *Log) Put(e Entry) bool {
	known := l.Revision(e.Name)
	if e.Revision < known {
		return false
	}
	if e.Revision > known {
		l.changes++
		l.newest = max(l.newest, e.Revision)
	}
	l.byName[e.Name] = e
	return true
}

// Conveys reports whether peers learn a backend server's state from its entry, which they can
// request. The entry does not show that the server is leaving or gone if only the server itself
// has reported that.
func (l *Log) Conveys(member membership.Member) bool {
	e, known := l.byName[member.Name]
	return known && (member.State == membership.Live || e.Backend != nil && e.Backend.State == member.State)
}

// Shareable returns the revision of the newest entry that can be sent to peers.
func (l *Log) Shareable() uint64 { return min(l.newest, l.Settled()) }

// Settled returns the revision up to which no change was missed and no entry's removal is pending.
// An entry whose lease may have lapsed only because of a store outage is not sent as removed: the
// other instances did not see the outage and would stop using a server that is about to reappear.
func (l *Log) Settled() uint64 {
	upTo := l.complete
	for name := range l.lapsed {
		upTo = min(upTo, l.byName[name].Revision-1)
	}
	return upTo
}

// Between returns the changes with revisions above the given one, up to upTo, in the order of their
// revisions.
func (l *Log) Between(revision, upTo uint64) []Entry {
	var list []Entry
	for _, e := range l.byName {
		// An instance without any entries does not need the removals.
		if e.Revision > revision && e.Revision <= upTo && (revision > 0 || e.readable()) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Unlisted returns a removal for each known entry that a full list of the given names at a revision
// leaves out.
func (l *Log) Unlisted(listed map[string]bool, revision uint64) []Entry {
	var removals []Entry
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		if e := l.byName[name]; !listed[name] && !e.Removed() && e.Revision <= revision {
			removals = append(removals, Entry{Name: name, Revision: revision})
		}
	}
	return removals
}

// Lapse records that a removed entry may reappear until a time.
func (l *Log) Lapse(name string, until time.Time) { l.lapsed[name] = until }

// Reappeared records that a lapsed entry exists again.
func (l *Log) Reappeared(name string) { delete(l.lapsed, name) }

// HasLapsed reports whether entries were removed that may reappear.
func (l *Log) HasLapsed() bool { return len(l.lapsed) > 0 }

// TakeGone returns the lapsed entries that did not reappear in time, sorted by name, and forgets that
// they lapsed.
func (l *Log) TakeGone(now time.Time) []string {
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(l.lapsed)) {
		if now.Before(l.lapsed[name]) {
			continue
		}
		delete(l.lapsed, name)
		gone = append(gone, name)
	}
	return gone
}
