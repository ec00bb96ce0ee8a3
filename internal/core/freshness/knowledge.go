package freshness

import "time"

// Proof is what a peer's digest proves: an instance with at least this generation, these entries and these evacuations has every
// change before AsOf.
type Proof struct {
	AsOf       time.Time
	Generation uint64
	Entries    uint64
	// Evacuations is the revision of the newest change of the evacuations that the peer has, 0 if it does not know them.
	Evacuations uint64
}

// CoveredBy reports whether an instance has every change of the configuration and the entries that the peer has.
func (p *Proof) CoveredBy(generation, entries uint64) bool {
	return generation >= p.Generation && entries >= p.Entries
}

// AdoptPeer records that peers prove that the instance knows all of the store as of a time.
func (t *Tracker) AdoptPeer(asOf time.Time) { t.peersAsOf = later(t.peersAsOf, asOf) }

// ConfigShown records that the instance's own calls show the configuration as of a time.
func (t *Tracker) ConfigShown(asOf time.Time) { t.configAsOf = later(t.configAsOf, asOf) }

// EntriesShown records that the instance's own calls show the backend servers' entries as of a time.
func (t *Tracker) EntriesShown(asOf time.Time) { t.entriesAsOf = later(t.entriesAsOf, asOf) }

// ConfigAsOf returns the time as of which the instance's own calls show the configuration.
func (t *Tracker) ConfigAsOf() time.Time { return t.configAsOf }

// EntriesAsOf returns the time as of which the instance's own calls show the backend servers' entries.
func (t *Tracker) EntriesAsOf() time.Time { return t.entriesAsOf }

// OwnAsOf returns the time as of which the instance's own calls show all of the store, zero if they do not.
func (t *Tracker) OwnAsOf(m Moment) time.Time {
	if m.UsesEntries && t.entriesAsOf.Before(t.configAsOf) {
		return t.entriesAsOf
	}
	return t.configAsOf
}

// KnownAsOf returns the time as of which the instance knows all of the store, zero if it does not.
func (t *Tracker) KnownAsOf(m Moment) time.Time { return later(t.OwnAsOf(m), t.peersAsOf) }

// Staleness returns the age of what the instance knows of the store. One that knows nothing yet counts from its start.
func (t *Tracker) Staleness(m Moment) time.Duration {
	return m.Now.Sub(later(t.KnownAsOf(m), m.StartedAt))
}

// NeedsProof reports whether a peer's knowledge may soon be too old, and the instance has fresher proof for it. known is the time
// as of which the peer has proven its knowledge or was sent proof, and proven the time as of which the instance's digests prove it.
func (t *Tracker) NeedsProof(known, proven, now time.Time) bool {
	return now.Sub(known) > t.relayStaleness() && proven.Sub(known) > peerLead
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
