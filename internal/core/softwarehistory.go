package core

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// This file keeps the software history in the platform's store up to date, and reads what the store tells of it. It is read with
// the backend servers' entries, so that an instance that has just started knows the versions that have left when it knows those
// that serve.

// SoftwareHistoryKey is the key of the software history, as StoreSwap names it.
const SoftwareHistoryKey = "software-history"

const (
	// historyWriters is the number of instances of which each writes a change historyWriteStagger after the one before, unless the
	// store has it by then. The others write last.
	historyWriters      = 8
	historyWriteStagger = 200 * time.Millisecond
	// historyMinBackoff and historyMaxBackoff limit the delay after failed writes.
	historyMinBackoff = 200 * time.Millisecond
	historyMaxBackoff = 2 * time.Second
)

// counterHistoryWrites counts the writes of the software history by result.
const counterHistoryWrites = "software_history_writes"

// historyWrite is the write of the software history.
type historyWrite struct {
	// op is the write in progress, and next what it writes.
	op   OpID
	next streams.History
	// dueAt is the time from which the next write may begin, zero if there is nothing to write.
	dueAt    time.Time
	failures int
}

// mergeHistory applies the software history among the entries.
func (n *Node) mergeHistory(list []entries.Entry) {
	for _, e := range list {
		if e.Name == entries.HistoryName {
			n.applyHistory(e)
		}
	}
}

func (n *Node) applyHistory(e entries.Entry) {
	s := &n.streams
	known := n.backends.log.Revision(e.Name)
	// A peer of an earlier build passes the entry on without the history, which is read from the store then.
	if e.Revision < known || e.Revision == known && (e.History == nil || s.history.Current()) {
		return
	}
	n.backends.log.Put(e)
	revision := e.Revision
	switch {
	case e.Unreadable:
		n.emit(Counted{Counter: counterBadEntries, N: 1})
	case e.History == nil:
		revision = 0
		n.requestVersions()
	}
	before := s.versions.MixedServices()
	s.history.Apply(n.now, e.History, revision, s.versions, s.routeTables)
	for _, service := range s.versions.MixedServices() {
		if !slices.Contains(before, service) {
			n.emit(StateChanged{Subject: SubjectService, Name: service, Names: s.versions.Served(service), State: "versions", Cause: "software history"})
		}
	}
}

// tickHistory writes the software history if the store lacks a version that serves, or still has one that has not served for long.
func (n *Node) tickHistory() {
	s := &n.streams
	w := &s.historyWrite
	if w.op != 0 || !n.mayWriteHistory() {
		return
	}
	next, differs := s.history.Next(n.now, s.versions, s.routeTables)
	switch {
	case !differs:
		w.dueAt = time.Time{}
		return
	case w.dueAt.IsZero():
		w.dueAt = n.now.Add(n.historyWriteDelay())
	}
	if n.now.Before(w.dueAt) {
		return
	}
	value, err := json.Marshal(&next)
	if err != nil {
		n.emit(Counted{Counter: counterHistoryWrites, Label: "invalid", N: 1})
		w.dueAt = n.now.Add(historyMaxBackoff)
		return
	}
	w.op, w.next = n.nextOp(), next
	n.emit(StoreSwap{Op: w.op, Key: SoftwareHistoryKey, Version: s.history.Revision(), Value: value})
}

// mayWriteHistory reports whether this instance knows enough to write the history. Where the store has none, callers may still
// continue streams that instances of an earlier build have begun: then it is written once such streams have ended, or if nothing
// shows that there was a fleet before.
func (n *Node) mayWriteHistory() bool {
	if !n.usesBackendEntries() || n.snapshot == nil || !n.streams.resumable || n.backends.log.Complete() == 0 || n.outdatedStore() {
		return false
	}
	age := n.now.Sub(n.startedAt)
	switch {
	case n.streams.history.Known() || age >= settledAfter:
		return true
	case age < n.settings.ChangeBound, n.streams.unknownContinued:
		return false
	}
	for name := range n.peers.inLayout {
		p := n.peers.byName[name]
		if p == nil || !p.connected || n.streams.withoutHistory[name] {
			return false
		}
	}
	return true
}

// historyWriteDelay returns the delay after which this instance writes a change. It depends on the instance's rank, so that one
// write suffices as a rule.
func (n *Node) historyWriteDelay() time.Duration {
	writers := rendezvous.Top(rendezvous.Hash(SoftwareHistoryKey), n.liveInstances(), historyWriters)
	rank := slices.Index(writers, n.settings.Name)
	if rank < 0 {
		rank = historyWriters
	}
	return time.Duration(rank) * historyWriteStagger
}

// historyWritten handles the result of a write. After a conflict the store has what another instance wrote, which arrives with the
// entries.
func (n *Node) historyWritten(e StoreReplied) {
	w := &n.streams.historyWrite
	w.op = 0
	switch e.Status {
	case StoreOK:
		w.failures, w.dueAt = 0, time.Time{}
		n.emit(Counted{Counter: counterHistoryWrites, Label: "written", N: 1})
		written := w.next
		n.mergeEntries([]entries.Entry{{Name: entries.HistoryName, Revision: e.Version, History: &written}})
	case StoreConflict:
		w.dueAt = n.now.Add(n.jitter(n.settings.ChangeBound))
		n.emit(Counted{Counter: counterHistoryWrites, Label: "conflict", N: 1})
	default:
		w.failures++
		w.dueAt = n.now.Add(n.backoffDelay(historyMinBackoff, historyMaxBackoff, w.failures))
		n.emit(Counted{Counter: counterHistoryWrites, Label: "failed", N: 1})
	}
}

// unrecordedVersions returns the versions of a service at which no stream may begin yet if there are others, because the store
// does not tell of them: if all instances ended now, the next ones would not know that they served.
func (n *Node) unrecordedVersions(service string) []string {
	if !n.streams.history.Covers(service) {
		return nil
	}
	return slices.DeleteFunc(n.streams.versions.Served(service), func(version string) bool {
		return n.streams.history.Has(streams.Software{Service: service, Version: version})
	})
}

// ambiguousRoute reports whether streams of a route may have begun at more than one service lately.
func (n *Node) ambiguousRoute(route string) bool {
	s := &n.streams
	return s.routes.Ambiguous(n.now, route) || s.history.TableReplaced(s.routeTable)
}

// anyAmbiguousRoute reports whether any route may be ambiguous.
func (n *Node) anyAmbiguousRoute() bool {
	return n.streams.routes.AnyAmbiguous() || n.streams.history.TableReplaced(n.streams.routeTable)
}
