package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Timing of the calls by which an instance follows the backend servers' entries in the
// platform's store.
const (
	// backendsRetryDelay and backendsMaxDelay bound the backoff after failed calls. The
	// minimum limits eight instances to about forty calls a second in total while the store
	// rejects calls. The maximum is well below the two seconds within which entries reappear
	// after an outage.
	backendsRetryDelay = 200 * time.Millisecond
	backendsMaxDelay   = time.Second
	// lapseWait is the grace period of an entry that disappeared during an outage of the
	// store or shortly after it. Entries expire in an outage and reappear within about two
	// seconds of its end.
	lapseWait = 1800 * time.Millisecond
	// wentBackAfter is how long the store must return lower revisions than before until the
	// instance concludes that the store has lost some. A single stale answer must not bring
	// back servers that have left.
	wentBackAfter = 10 * time.Second
	// outageMemory is how long after a failed call the removal of an entry may still be the
	// result of an outage.
	outageMemory = 2 * time.Second
)

// counterBadEntries counts entries of backend servers that could not be decoded.
const counterBadEntries = "bad_backend_entries"

// BackendEntry is a backend server's own entry in the platform's store.
type BackendEntry struct {
	Name string `json:"name"`
	// Revision is the store's revision of the entry's last change or of its removal.
	Revision uint64 `json:"revision"`
	// Backend is nil if the entry was removed or names no backend server.
	Backend *membership.Instance `json:"backend,omitempty"`
	// Unreadable reports whether the entry has content, left by another writer, that cannot
	// be decoded.
	Unreadable bool `json:"unreadable,omitempty"`
}

// removed reports whether the entry no longer exists.
func (e BackendEntry) removed() bool { return e.Backend == nil && !e.Unreadable }

// backendsState tracks the backend servers' entries in the store.
//
// An entry's revision only grows: an older state never replaces a newer one, whatever the
// order in which list pages, watch results and repetitions of them arrive.
type backendsState struct {
	// call is the read or watch in progress, and listing reports whether it is a read.
	call    OpID
	listing bool
	// page is the key at which the list continues, seen holds the names listed so far, and
	// listedAt is the store's revision at the first page.
	page     string
	seen     map[string]bool
	listedAt uint64
	// relist requests a full list although a revision is known.
	relist bool
	// revision is the revision from which the watch continues; 0 requests a full list.
	revision uint64
	// newest is the highest revision that the store has returned.
	newest uint64
	// entries holds the newest known entry of each name, including removed ones.
	entries map[string]BackendEntry
	// changes counts the merged entries that had a newer revision than before.
	changes int
	// complete is the revision up to which no change was missed, either in this instance's
	// own lists and watches or in the entries that peers passed on.
	complete uint64
	failures int
	// next is the earliest time of the next call, and pacing spaces out the watches while
	// entries change.
	next   time.Time
	pacing watchPacing
	// newestEntry is the highest revision of any entry.
	newestEntry uint64
	// behindSince is the time at which the store began to return lower revisions than before,
	// or zero.
	behindSince time.Time
	// lapsed maps removed entries that may reappear to the time at which they count as gone.
	lapsed map[string]time.Time
}

func newBackendsState() backendsState {
	return backendsState{entries: make(map[string]BackendEntry), lapsed: make(map[string]time.Time)}
}

// tells reports whether peers learn a backend server's state from its entry, which they can
// request. The entry does not show that the server is leaving or gone if only the server
// itself has reported that.
func (b *backendsState) tells(in membership.Instance) bool {
	e, known := b.entries[in.Name]
	return known && (in.State == membership.Live || e.Backend != nil && e.Backend.State == in.State)
}

// known returns the newest known revision of a backend server's entry.
func (b *backendsState) known(name string) uint64 { return b.entries[name].Revision }

// readsFirstBackends reports whether this instance has just started and has not finished its
// first read of the backend servers.
func (n *Node) readsFirstBackends() bool {
	return n.snapshot.FromPlatform() && n.backends.complete == 0 && n.backends.failures == 0
}

// tickBackends keeps one read or watch of the entries in progress if a service uses them and
// this instance is one of the followers, which read the store for the fleet.
func (n *Node) tickBackends() {
	b := &n.backends
	n.dropLapsed()
	if !n.drawsOnEntries() || b.call != 0 || n.now.Before(b.next) || !n.follows() {
		return
	}
	b.call = n.nextOp()
	b.revision = max(b.revision, b.complete)
	b.listing = b.relist || b.revision == 0
	if b.listing {
		n.emit(ListBackends{Op: b.call, After: b.page})
		return
	}
	n.emit(WatchBackends{Op: b.call, After: b.revision})
}

// drawsOnEntries reports whether the configuration takes backend servers from their entries
// in the store. Before an instance has a configuration, it assumes so if the configuration
// comes from the platform. It then reads the entries at startup in parallel with the
// configuration instead of after it.
func (n *Node) drawsOnEntries() bool {
	if n.snapshot == nil {
		return n.settings.ConfigReadOnly
	}
	return n.snapshot.FromPlatform()
}

// backendsProbe reports whether the call on the entries serves as the probe of a failing
// store.
func (n *Node) backendsProbe() bool {
	return n.storeFails() && n.follows() && n.drawsOnEntries()
}

// backendsRead handles the result of a read or watch of the entries.
func (n *Node) backendsRead(e BackendsRead) {
	b := &n.backends
	if e.Op != b.call {
		return
	}
	b.call = 0
	switch {
	case e.Status == StoreHistoryLost:
		b.restart()
		return
	case e.Status != StoreOK && e.Status != StoreUnchanged, n.storeWentBack(e.Revision):
		n.backendsFailed()
		return
	}
	b.failures, b.next = 0, time.Time{}
	n.storeAnswered()
	if b.listing {
		n.backendsListed(e)
		return
	}
	if len(e.Entries) > 0 {
		b.next = n.now.Add(n.jitter(b.pacing.after(n.now)))
	}
	n.takeEntries(e.Entries)
	b.revision = max(b.revision, e.Revision)
	b.complete = max(b.complete, b.revision)
	b.newest = max(b.newest, e.Revision)
}

// storeWentBack reports whether an answer has a lower revision than an earlier one. Such an
// answer is discarded. If lower revisions go on for wentBackAfter, the store has lost
// changes, and the entries are read as if for the first time.
func (n *Node) storeWentBack(revision uint64) bool {
	b := &n.backends
	if revision >= b.newest {
		b.behindSince = time.Time{}
		return false
	}
	if b.behindSince.IsZero() {
		b.behindSince = n.now
	}
	if n.now.Sub(b.behindSince) >= wentBackAfter {
		clear(b.entries)
		b.restart()
		b.newest, b.complete, b.newestEntry = 0, 0, 0
	}
	return true
}

// backendsFailed records a failed call. An interrupted list starts again from its first page,
// because the revision of the first page may be too old for a watch by then.
func (n *Node) backendsFailed() {
	b := &n.backends
	b.failures++
	n.storeFailed()
	b.next = n.now.Add(n.backOff(backendsRetryDelay, backendsMaxDelay, b.failures))
	if b.listing {
		b.restart()
	}
}

// restart requests a full list.
func (b *backendsState) restart() {
	b.revision, b.page, b.seen, b.listedAt = 0, "", nil, 0
	b.relist = true
}

// backendsListed handles a page of the list. The pages are not a consistent snapshot: the
// watch continues from the revision of the first page and so repeats the changes made between
// pages.
func (n *Node) backendsListed(e BackendsRead) {
	b := &n.backends
	if b.seen == nil {
		b.seen = make(map[string]bool)
		b.listedAt = e.Revision
	}
	for _, entry := range e.Entries {
		b.seen[entry.Name] = true
	}
	n.takeEntries(e.Entries)
	if e.More != "" {
		b.page = e.More
		return
	}
	listedAt, seen := b.listedAt, b.seen
	b.restart()
	b.revision, b.relist = listedAt, false
	b.newest = max(b.newest, listedAt)
	b.complete = max(b.complete, listedAt)
	n.takeEntries(b.unlisted(seen, listedAt))
}

// unlisted returns a removal for each known entry that a full list leaves out.
func (b *backendsState) unlisted(seen map[string]bool, listedAt uint64) []BackendEntry {
	var removals []BackendEntry
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[name]; !seen[name] && !e.removed() && e.Revision <= listedAt {
			removals = append(removals, BackendEntry{Name: name, Revision: listedAt})
		}
	}
	return removals
}

// takeEntries merges the entries that are not older than the known ones.
func (n *Node) takeEntries(entries []BackendEntry) {
	var changed []string
	for _, e := range entries {
		if e.Revision < n.backends.known(e.Name) {
			continue
		}
		if e.Revision > n.backends.known(e.Name) {
			n.backends.changes++
			n.backends.newestEntry = max(n.backends.newestEntry, e.Revision)
		}
		n.backends.entries[e.Name] = e
		if n.takeEntry(e) {
			changed = append(changed, e.Name)
		}
	}
	n.membersChanged(changed)
}

// takeEntry applies an entry to the membership view and reports whether the view changed.
func (n *Node) takeEntry(e BackendEntry) bool {
	if e.Unreadable {
		n.emit(Counted{Counter: counterBadEntries, N: 1})
	}
	switch {
	case e.Backend != nil:
		delete(n.backends.lapsed, e.Name)
		return n.view.Register(n.now, *e.Backend)
	case !e.Unreadable && n.mayBeLapse(e.Name):
		n.backends.lapsed[e.Name] = n.now.Add(lapseWait)
		return false
	default:
		return n.view.Unregister(e.Name)
	}
}

// mayBeLapse reports whether a removed entry may only have expired in an outage of the store.
// A server that announced that it leaves gets no grace period.
func (n *Node) mayBeLapse(name string) bool {
	if in := n.view.Get(name); in == nil || in.State != membership.Live {
		return false
	}
	at := n.follow.failedAt
	return !at.IsZero() && n.now.Sub(at) < outageMemory
}

// dropLapsed unregisters the servers whose entries did not reappear within the grace period.
func (n *Node) dropLapsed() {
	if len(n.backends.lapsed) == 0 {
		return
	}
	var changed []string
	for _, name := range slices.Sorted(maps.Keys(n.backends.lapsed)) {
		if n.now.Before(n.backends.lapsed[name]) {
			continue
		}
		delete(n.backends.lapsed, name)
		if n.view.Unregister(name) {
			changed = append(changed, name)
		}
	}
	n.membersChanged(changed)
}
