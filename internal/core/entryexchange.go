package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/entries"
)

// The backend servers' entries are passed between instances on request. A digest states the
// revision up to which its sender has them, and a receiver that lacks some requests them from
// one sender. When each of a dozen peers sent all entries, those of a few servers that crashed
// together used up the bytes for loads for many seconds.

// entriesRequestDelay is how long an instance waits for a peer's answer before it asks another peer
// for the same entries.
const entriesRequestDelay = 300 * time.Millisecond

// versionsReadDelay is the mean delay before versions that peers leave out are read.
const versionsReadDelay = 2 * time.Second

// requestMissingEntries requests the missing entries from a peer whose digest shows that it is
// ahead.
func (n *Node) requestMissingEntries(from string, d *Digest) {
	if d.EntriesUpTo > n.backends.log.Shareable() && n.peers.entryRequests.Due(d.EntriesUpTo, n.now) {
		n.emit(SendPeer{To: from, Message: PeerMessage{EntriesWanted: &EntriesWanted{Above: n.backends.log.Complete()}}})
	}
}

// sendEntries answers a peer's request for entries.
func (n *Node) sendEntries(from string, wanted *EntriesWanted) {
	upTo := n.backends.log.Settled()
	if upTo <= wanted.Above {
		return
	}
	offer := &EntriesOffer{From: wanted.Above, To: upTo, Entries: n.entriesWithWarmUp(n.backends.log.Between(wanted.Above, upTo))}
	n.emit(SendPeer{To: from, Message: PeerMessage{EntriesOffer: offer}})
}

// entriesWithWarmUp fills in how long the servers still warm up.
func (n *Node) entriesWithWarmUp(list []entries.Entry) []entries.Entry {
	for i := range list {
		if list[i].Backend != nil {
			member := n.withWarmUp(*list[i].Backend)
			list[i].Backend = &member
		}
	}
	return list
}

// applyEntriesOffer applies the entries from a peer. The offer is complete between its two
// revisions, so it extends the range in which this instance has missed no change, whatever
// messages were lost before.
func (n *Node) applyEntriesOffer(o *EntriesOffer) {
	n.mergeEntries(n.withVersions(o.Entries))
	if o.From <= n.backends.log.Complete() {
		n.backends.log.ExtendTo(o.To)
	}
}

// withVersions fills in the versions that entries from a peer of an earlier build lack. Those of new entries are
// read from the store.
func (n *Node) withVersions(list []entries.Entry) []entries.Entry {
	for i := range list {
		backend := list[i].Backend
		if backend == nil || backend.Version != "" {
			continue
		}
		known := n.view.Get(backend.Name)
		if known == nil || known.Incarnation != backend.Incarnation || known.Version == "" {
			if list[i].Revision > n.backends.log.Revision(list[i].Name) {
				n.requestVersions()
			}
			continue
		}
		filled := *backend
		filled.Version = known.Version
		list[i].Backend = &filled
	}
	return list
}

// requestVersions schedules a read of all entries. All instances miss the version of a new server at the same time, so
// they spread their reads; streams begin elsewhere meanwhile.
func (n *Node) requestVersions() {
	if n.backends.versionsReadAt.IsZero() {
		n.backends.versionsReadAt = n.now.Add(n.spreadDelay(versionsReadDelay))
	}
}

// needsVersions reports whether the read of missing versions is due.
func (n *Node) needsVersions() bool {
	at := n.backends.versionsReadAt
	return !at.IsZero() && !n.now.Before(at)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
