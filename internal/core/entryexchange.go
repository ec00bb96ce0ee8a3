package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The backend servers' entries are passed between instances on request. A digest states the
// revision up to which its sender has them, and a receiver that lacks some requests them from
// one sender. When each of a dozen peers sent all entries, those of a few servers that crashed
// together used up the bytes for loads for many seconds.

// entriesRequestDelay is how long an instance waits for a peer's answer before it asks another peer
// for the same entries.
const entriesRequestDelay = 300 * time.Millisecond

// shareableRevision returns the revision of the newest entry that this instance can send to peers.
func (b *backendsState) shareableRevision() uint64 {
	return min(b.newestEntryRevision, b.settledRevision())
}

// settledRevision returns the revision up to which this instance has missed no change and no
// entry's removal is pending. An entry whose lease may have lapsed only because of a store
// outage is not sent as removed: the other instances did not see the outage and would stop
// using a server that is about to reappear.
func (b *backendsState) settledRevision() uint64 {
	upTo := b.completeRevision
	for name := range b.lapsed {
		upTo = min(upTo, b.entries[name].Revision-1)
	}
	return upTo
}

// changesBetween returns the changes with revisions above the given one, up to upTo, in the
// order of their revisions.
func (b *backendsState) changesBetween(revision, upTo uint64) []BackendEntry {
	var list []BackendEntry
	for _, e := range b.entries {
		// An instance without any entries does not need the removals.
		if e.Revision > revision && e.Revision <= upTo && (revision > 0 || e.Backend != nil) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b BackendEntry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// requestMissingEntries requests the missing entries from a peer whose digest shows that it is
// ahead.
func (n *Node) requestMissingEntries(from string, d *Digest) {
	if d.EntriesUpTo > n.backends.shareableRevision() && n.peers.entryRequests.Due(d.EntriesUpTo, n.now) {
		n.emit(SendPeer{To: from, Message: PeerMessage{EntriesWanted: &EntriesWanted{Above: n.backends.completeRevision}}})
	}
}

// sendEntries answers a peer's request for entries.
func (n *Node) sendEntries(from string, wanted *EntriesWanted) {
	upTo := n.backends.settledRevision()
	if upTo <= wanted.Above {
		return
	}
	offer := &EntriesOffer{From: wanted.Above, To: upTo, Entries: n.backends.changesBetween(wanted.Above, upTo)}
	n.emit(SendPeer{To: from, Message: PeerMessage{EntriesOffer: offer}})
}

// applyEntriesOffer applies the entries from a peer. The offer is complete between its two
// revisions, so it extends the range in which this instance has missed no change, whatever
// messages were lost before.
func (n *Node) applyEntriesOffer(o *EntriesOffer) {
	n.mergeEntries(o.Entries)
	if o.From <= n.backends.completeRevision {
		n.backends.completeRevision = max(n.backends.completeRevision, o.To)
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
