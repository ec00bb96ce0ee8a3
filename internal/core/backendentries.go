package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/pacing"
)

// Timing of the calls by which an instance follows the backend servers' entries in the
// platform's store.
const (
	// backendsMinBackoff and backendsMaxBackoff bound the backoff after failed calls. The
	// minimum limits eight instances to about forty calls a second in total while the store
	// rejects calls. The maximum is well below the two seconds within which entries reappear
	// after an outage.
	backendsMinBackoff = 200 * time.Millisecond
	backendsMaxBackoff = time.Second
	// lapseGracePeriod is how long an entry may be missing that disappeared during an outage
	// of the store or shortly after it. Entries expire in an outage and reappear within about
	// two seconds of its end.
	lapseGracePeriod = 1800 * time.Millisecond
	// rollbackConfirmTime is how long the store must return lower revisions than before until
	// the instance concludes that the store has lost some. A single stale answer must not
	// bring back servers that have left.
	rollbackConfirmTime = 10 * time.Second
	// lapseOutageWindow is how long after a failed call the removal of an entry may still be
	// the result of an outage.
	lapseOutageWindow = 2 * time.Second
)

// counterBadEntries counts entries of backend servers that could not be decoded.
const counterBadEntries = "bad_backend_entries"

// backendsState tracks the backend servers' entries in the store.
type backendsState struct {
	// call is the read or watch in progress, and listing reports whether it is a read.
	call    storeCall
	listing bool
	// nextPage is the key at which the list continues, listedNames holds the names listed so
	// far, and listRevision is the store's revision at the first page.
	nextPage     string
	listedNames  map[string]bool
	listRevision uint64
	// listSentAt is the time at which the first page was requested.
	listSentAt time.Time
	// relist requests a full list although a revision is known.
	relist bool
	// watchRevision is the revision from which the watch continues; 0 requests a full list.
	watchRevision uint64
	// highestRevision is the highest revision that the store has returned.
	highestRevision uint64
	log             entries.Log
	failures        int
	// nextCall is the earliest time of the next call, and pace spaces out the watches while
	// entries change.
	nextCall time.Time
	pace     pacing.Watch
	// lostHistories spaces out the lists while the store keeps losing the watches' histories.
	lostHistories pacing.Watch
	// versionsReadAt is when the entries are read because peers have sent some without the servers'
	// versions, zero if there is no need.
	versionsReadAt time.Time
	// rolledBackSince is the time at which the store began to return lower revisions than
	// before, or zero.
	rolledBackSince time.Time
}

func newBackendsState() backendsState {
	return backendsState{log: entries.New()}
}

// readingFirstBackends reports whether this instance has just started and has not finished
// its first read of the backend servers.
func (n *Node) readingFirstBackends() bool {
	return n.snapshot.FromPlatform() && n.backends.log.Complete() == 0 && n.backends.failures == 0
}

// tickBackends keeps one read or watch of the entries in progress if a service uses them and
// this instance is one of the followers, which read the store for the fleet.
func (n *Node) tickBackends() {
	b := &n.backends
	n.expireLapsed()
	if !n.usesBackendEntries() || b.call.op != 0 || n.now.Before(b.nextCall) || !n.follow.Follows() {
		return
	}
	b.call = n.newStoreCall(0)
	patience := n.follow.Patience(b.failures)
	b.watchRevision = max(b.watchRevision, b.log.Complete())
	if n.needsVersions() && b.listedNames == nil {
		b.restartList()
	}
	b.listing = b.relist || b.watchRevision == 0
	if b.listing {
		n.emit(ListBackends{Op: b.call.op, After: b.nextPage, Timeout: patience})
		return
	}
	b.call.Hold = n.follow.HoldFor(n.follow.EntriesAsOf(), n.now)
	n.emit(WatchBackends{Op: b.call.op, After: b.watchRevision, Hold: b.call.Hold, Timeout: b.call.Hold + patience})
}

// usesBackendEntries reports whether the configuration takes backend servers from their
// entries in the store. Before an instance has a configuration, it assumes so if the
// configuration comes from the platform. It then reads the entries at startup in parallel
// with the configuration instead of after it.
func (n *Node) usesBackendEntries() bool {
	if n.snapshot == nil {
		return n.settings.ConfigReadOnly
	}
	return n.snapshot.FromPlatform()
}

// backendsCallProbes reports whether the call on the entries serves as the probe of a failing
// store.
func (n *Node) backendsCallProbes() bool {
	return n.follow.Failing() && n.follow.Follows() && n.usesBackendEntries() && n.backends.failures > 0
}

// backendsRead handles the result of a read or watch of the entries.
func (n *Node) backendsRead(e BackendsRead) {
	b := &n.backends
	if e.Op != b.call.op {
		return
	}
	call := b.call
	b.call = storeCall{}
	switch {
	case e.Status == StoreHistoryLost:
		b.restartList()
		b.nextCall = n.now.Add(n.jitter(b.lostHistories.PauseAfterRepeat(n.now)))
		return
	case e.Status != StoreOK && e.Status != StoreUnchanged, n.storeRolledBack(e.Revision):
		n.backendsFailed()
		return
	}
	b.failures, b.nextCall = 0, time.Time{}
	changed := b.listing || len(e.Entries)+len(e.Poison) > 0
	n.mergeStoredPoison(e.Poison)
	n.follow.Answered(call.Call, changed, n.now)
	if b.listing {
		n.backendsListed(e, call)
		return
	}
	n.follow.EntriesShown(call.AsOf(n.now, changed))
	if changed {
		pause := n.jitter(b.pace.PauseAfterChange(n.now))
		b.nextCall = n.now.Add(n.follow.PauseFor(pause, n.follow.EntriesAsOf(), n.now))
	}
	n.mergeEntries(e.Entries)
	b.watchRevision = max(b.watchRevision, e.Revision)
	b.log.ExtendTo(b.watchRevision)
	b.highestRevision = max(b.highestRevision, e.Revision)
}

// storeRolledBack reports whether an answer has a lower revision than an earlier one. Such an
// answer is discarded. If lower revisions go on for rollbackConfirmTime, the store has lost
// changes, and the entries are read as if for the first time.
func (n *Node) storeRolledBack(revision uint64) bool {
	b := &n.backends
	if revision >= b.highestRevision {
		b.rolledBackSince = time.Time{}
		return false
	}
	if b.rolledBackSince.IsZero() {
		b.rolledBackSince = n.now
	}
	if n.now.Sub(b.rolledBackSince) >= rollbackConfirmTime {
		b.log.Reset()
		n.streams.history.Apply(n.now, nil, 0, n.streams.versions, n.streams.routeTables)
		b.restartList()
		b.highestRevision = 0
	}
	return true
}

// backendsFailed records a failed call. An interrupted list starts again from its first page,
// because the revision of the first page may be too old for a watch by then.
func (n *Node) backendsFailed() {
	b := &n.backends
	b.failures++
	n.follow.Failed(n.now)
	b.nextCall = n.now.Add(n.storeRetryDelay(backendsMinBackoff, backendsMaxBackoff, b.failures))
	if b.listing {
		b.restartList()
	}
}

// restartList requests a full list.
func (b *backendsState) restartList() {
	b.watchRevision, b.nextPage, b.listedNames, b.listRevision = 0, "", nil, 0
	b.relist = true
}

// backendsListed handles a page of the list. The pages are not a consistent snapshot: the
// watch continues from the revision of the first page and so repeats the changes made between
// pages.
func (n *Node) backendsListed(e BackendsRead, call storeCall) {
	b := &n.backends
	if b.listedNames == nil {
		b.listedNames = make(map[string]bool)
		b.listRevision, b.listSentAt = e.Revision, call.SentAt
	}
	for _, entry := range e.Entries {
		b.listedNames[entry.Name] = true
	}
	n.mergeEntries(e.Entries)
	if e.More != "" {
		b.nextPage = e.More
		return
	}
	listedAt, seen := b.listRevision, b.listedNames
	b.restartList()
	b.versionsReadAt = time.Time{}
	b.watchRevision, b.relist = listedAt, false
	b.highestRevision = max(b.highestRevision, listedAt)
	b.log.ExtendTo(listedAt)
	n.follow.EntriesShown(b.listSentAt)
	n.mergeEntries(b.log.Unlisted(seen, listedAt))
}

// mergeEntries merges the entries that are not older than the known ones.
func (n *Node) mergeEntries(list []entries.Entry) {
	var changed []string
	n.mergeHistory(list)
	for _, e := range list {
		if e.Name == entries.HistoryName {
			continue
		}
		isNew := e.Revision > n.backends.log.Revision(e.Name)
		if !n.backends.log.Put(e) {
			continue
		}
		if isNew && e.Backend != nil {
			n.observeEntry(e.Backend)
		}
		if n.mergeEntry(e) {
			changed = append(changed, e.Name)
		}
	}
	n.membersChanged(changed)
}

// mergeEntry applies an entry to the membership view and reports whether the view changed.
func (n *Node) mergeEntry(e entries.Entry) bool {
	if e.Unreadable {
		n.emit(Counted{Counter: counterBadEntries, N: 1})
	}
	switch {
	case e.Backend != nil:
		n.backends.log.Reappeared(e.Name)
		n.voidPlannedEnd(e.Backend)
		n.observeBackend(e.Backend)
		member := *e.Backend
		member.WarmUp = 0
		return n.view.Register(n.now, member)
	case !e.Unreadable && n.mayHaveLapsed(e.Name):
		n.backends.log.Lapse(e.Name, n.now.Add(lapseGracePeriod))
		return false
	default:
		return n.view.Unregister(e.Name)
	}
}

// mayHaveLapsed reports whether a removed entry may only have expired in an outage of the store.
// A server that announced that it leaves gets no grace period.
func (n *Node) mayHaveLapsed(name string) bool {
	if member := n.view.Get(name); member == nil || member.State != membership.Live {
		return false
	}
	return n.follow.FailedWithin(lapseOutageWindow, n.now)
}

// expireLapsed unregisters the servers whose entries did not reappear within the grace period.
func (n *Node) expireLapsed() {
	var changed []string
	for _, name := range n.backends.log.TakeGone(n.now) {
		if n.view.Unregister(name) {
			changed = append(changed, name)
		}
	}
	n.membersChanged(changed)
}
