package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/poison"
)

// Poison records travel over the links between instances. Instances that share nothing but the
// platform's store would each count for themselves, and each send a poison request on. So while an
// instance and one of its peers may not hear each other, it writes its records to the store. They
// are read with the backend servers' entries, which reach every instance that reaches the store
// within the operators' bound.

const (
	// separationTimeout is the silence of a peer from which records are written to the store: one
	// heartbeat and a margin. It leaves a part of the three seconds within which the operators
	// expect instances in touch to learn of an end.
	separationTimeout = heartbeatInterval + 500*time.Millisecond
	// separationWindow is the age up to which a change of a record is written once a peer turns out
	// to be silent: the digests that carried it may be lost.
	separationWindow = 2 * separationTimeout
	// minPoisonStoreInterval and poisonStoreIntervalPerInstance limit the rate of an instance's
	// calls, so that all of them together make at most 200 a second.
	minPoisonStoreInterval         = 250 * time.Millisecond
	poisonStoreIntervalPerInstance = 5 * time.Millisecond
	// maxPoisonStoreBackoff limits the delay after failed calls.
	maxPoisonStoreBackoff = 4 * time.Second
)

// labelStored counts the records that were written to the store.
const labelStored = "stored"

// States of the links to the peers as they are logged.
const (
	stateSeparated = "not heard by or hearing all peers"
	stateTogether  = "hearing all peers"
)

// StorePoison writes poison records to the platform's store under a lease, and acquires the lease
// first if there is none. LeaseReplied reports the result.
type StorePoison struct {
	Op      OpID            `json:"op"`
	Lease   uint64          `json:"lease,omitempty"`
	TTL     time.Duration   `json:"ttl"`
	Records []poison.Record `json:"records"`
}

// EffectName implements Effect.
func (StorePoison) EffectName() string { return "store-poison" }

// poisonStoreState holds which records are to be written to the store.
type poisonStoreState struct {
	// separation tells whether this instance and its peers hear each other.
	separation *poison.Separation
	// writer decides which records are written.
	writer *poison.Writer
	// call is the call in progress.
	call OpID
}

func newPoisonStoreState() poisonStoreState {
	return poisonStoreState{separation: poison.NewSeparation(separationTimeout), writer: poison.NewWriter()}
}

// poisonSource is the source of a poison record: the name of the peer that sent it, or one of the
// constants below.
type poisonSource string

const (
	// sourceSelf is what this instance observed itself.
	sourceSelf poisonSource = ""
	// sourceStore is a record that was read from the platform's store.
	sourceStore = poisonSource(SourceStore)
)

// noteUnstored notes that the store may lack a change of a record. Each instance writes what it
// observed itself. Where digests take several hops, those next to a silent peer also write what
// they learned from others that hear all of their peers.
func (n *Node) noteUnstored(from poisonSource, key poison.Key) {
	fromPeer := from != sourceSelf && from != sourceStore
	if from == sourceSelf || fromPeer && n.multiHop() && n.poison.tracker.Suspicious(key) {
		n.poison.store.writer.Changed(key, n.now)
	}
}

// tickPoisonStore writes records to the store while this instance is separated from a peer.
func (n *Node) tickPoisonStore() {
	n.updateSeparated()
	s := &n.poison.store
	if !s.separation.Separated() || !n.usesBackendEntries() {
		s.writer.DropOlder(separationWindow, n.now)
		return
	}
	if write, due := s.writer.Next(n.poison.tracker, n.now); due {
		s.call = n.nextOp()
		n.emit(StorePoison{Op: s.call, Lease: write.Lease, TTL: write.TTL, Records: write.Records})
	}
}

// updateSeparated determines whether this instance and its peers hear each other.
func (n *Node) updateSeparated() {
	links := make([]poison.Link, 0, len(n.peers.inLayout))
	for name := range n.peers.inLayout {
		if p := n.peers.byName[name]; p != nil && !p.leaving {
			links = append(links, poison.Link{Silence: n.now.Sub(p.receivedAt), HearsNotAll: p.hearsNotAll})
		}
	}
	hearsAllChanged, separatedChanged := n.poison.store.separation.Update(links)
	if hearsAllChanged {
		n.sendDigestsNow()
	}
	if separatedChanged {
		n.separationChanged()
	}
}

// separationChanged logs the change. Once this instance is separated, the latest poison records are told anew: those from which peers
// usually learn of them may be cut off, and so may a home.
func (n *Node) separationChanged() {
	if !n.poison.store.separation.Separated() {
		n.emit(StateChanged{Subject: SubjectLink, State: stateTogether})
		return
	}
	n.emit(StateChanged{Subject: SubjectLink, State: stateSeparated})
	for _, key := range n.poison.tracker.ChangedSince(n.now.Add(-separationWindow)) {
		n.poison.spread.Observed(key)
	}
}

// poisonStored handles the result of a StorePoison.
func (n *Node) poisonStored(e LeaseReplied) {
	s := &n.poison.store
	if e.Op != s.call {
		return
	}
	s.call = 0
	interval := n.poisonStoreInterval()
	if e.Status != StoreOK {
		s.writer.Failed(e.Lease, e.Status == StoreAbsent, n.now, func(failures int) time.Duration {
			return n.backoffDelay(interval, maxPoisonStoreBackoff, failures)
		})
		return
	}
	written := s.writer.Stored(e.Lease, n.now, n.jitter(interval))
	n.emit(Counted{Counter: counterPoison, Label: labelStored, N: written})
}

// poisonStoreInterval returns the minimum interval between two calls.
func (n *Node) poisonStoreInterval() time.Duration {
	return max(minPoisonStoreInterval, time.Duration(len(n.liveInstances()))*poisonStoreIntervalPerInstance)
}

// mergeStoredPoison merges the records that were read from the store.
func (n *Node) mergeStoredPoison(records []poison.Record) {
	n.poison.store.writer.Read(records)
	n.mergePoison(sourceStore, records)
}
