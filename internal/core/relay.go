package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A few instances of each zone follow the store; the others hear from them. A watch
// by every instance costs a call for each change and instance: at 91 instances, half
// of what the whole fleet is worth on a calm day went into calls.

const (
	// storeSilence is how old the newest answer of the store to any instance may be,
	// as far as this one has heard, before it asks itself: a watch that waits (3.8 s)
	// and a heartbeat or two between peers. It is the last resort: an instance that
	// hears of a change too late asks sooner.
	storeSilence = 8 * time.Second
	// lagTolerance is how long a peer may be ahead before an instance asks the store
	// itself: what is passed on takes a round or two.
	lagTolerance = 1500 * time.Millisecond
	// maxDigestEntries is how many entries a digest carries, at about 70 bytes each.
	maxDigestEntries = 64
	// entriesResend is how long what was passed on counts as under way before it is
	// sent again to a peer that still claims less.
	entriesResend = 2 * time.Second
)

// followsStore tells whether this instance reads the store: it is one of its zone's
// followers, or hears of none in the fleet that can, or is behind.
func (n *Node) followsStore() bool {
	n.entries()
	if slices.Contains(n.members.watchers, n.settings.Name) || n.lagging() {
		return true
	}
	return n.now.Sub(n.storeHeardAt()) > storeSilence
}

// storeHeardAt is when the store last answered any instance, as far as known here.
func (n *Node) storeHeardAt() time.Time {
	if n.backends.heardAt.After(n.backends.othersHeardAt) {
		return n.backends.heardAt
	}
	return n.backends.othersHeardAt
}

// lagging tells whether something that a peer has known for too long has not reached
// this instance: an entry's change, or a newer configuration.
func (n *Node) lagging() bool {
	b := &n.backends
	if b.newestEntry >= b.aheadEntry && n.generation() >= b.aheadGeneration {
		b.aheadSince = time.Time{}
	}
	return !b.aheadSince.IsZero() && n.now.Sub(b.aheadSince) > lagTolerance
}

// addEntries adds the entries that changed after what the peer has.
//
// They go in the order of their revisions, with the revisions between which nothing
// is left out, so that the receiver knows how far it is complete whatever is lost.
func (n *Node) addEntries(p *peerState, d *Digest) {
	b := &n.backends
	d.EntriesUpTo, d.EntriesNewest = b.complete, b.newestEntry
	if at := n.storeHeardAt(); !at.IsZero() {
		d.StoreAge = max(time.Millisecond, n.now.Sub(at))
	}
	from := p.entriesClaimed
	if n.now.Sub(p.entriesToldAt) < entriesResend {
		from = max(from, p.entriesTold)
	}
	if b.complete <= from || !p.entriesKnown {
		return
	}
	for _, e := range b.entries {
		// Whoever has nothing yet need not hear of removals.
		if e.Revision > from && e.Revision <= b.complete && (from > 0 || e.Backend != nil) {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b BackendEntry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	d.EntriesFrom, d.EntriesTo = from, b.complete
	if len(d.Entries) > maxDigestEntries {
		d.Entries = d.Entries[:wholeRevisions(d.Entries)]
		d.EntriesTo = d.Entries[len(d.Entries)-1].Revision
	}
	p.entriesTold, p.entriesToldAt = d.EntriesTo, n.now
}

// wholeRevisions is how many entries go into a digest without parting those of one
// revision: a single change may concern several keys.
func wholeRevisions(entries []BackendEntry) int {
	end := maxDigestEntries
	for end < len(entries) && entries[end].Revision == entries[end-1].Revision {
		end++
	}
	return end
}

// peerEntries takes what a peer says of the entries.
func (n *Node) peerEntries(p *peerState, d *Digest) {
	b := &n.backends
	p.entriesClaimed, p.entriesKnown = d.EntriesUpTo, true
	if at := n.now.Add(-d.StoreAge); d.StoreAge > 0 && at.After(b.othersHeardAt) {
		b.othersHeardAt = at
	}
	n.takeEntries(d.Entries)
	if d.EntriesFrom <= b.complete {
		b.complete = max(b.complete, d.EntriesTo)
	}
	n.compareWithPeer(d)
}

// compareWithPeer notes what a peer knows that this instance does not. A peer that is
// merely further in the store's revisions, with no change of an entry between, is not
// ahead.
func (n *Node) compareWithPeer(d *Digest) {
	b := &n.backends
	if !b.aheadSince.IsZero() || d.EntriesNewest <= b.newestEntry && d.Generation <= n.generation() {
		return
	}
	b.aheadSince, b.aheadEntry, b.aheadGeneration = n.now, d.EntriesNewest, d.Generation
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
