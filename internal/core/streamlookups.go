package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// maxRecordsPerMessage bounds the records of one message.
const maxRecordsPerMessage = 128

// counterStreamLookups counts the lookups by result.
const counterStreamLookups = "stream_lookups"

// StreamOffer sends records of streams to an instance that keeps them.
type StreamOffer struct {
	Records []streams.Record `json:"records"`
}

// StreamQuestion asks an instance where a stream began.
type StreamQuestion struct {
	Key streams.Key `json:"key"`
	// Service is the service that the route of the request has now.
	Service string `json:"service"`
}

// StreamAnswer answers a StreamQuestion.
type StreamAnswer struct {
	Key streams.Key `json:"key"`
	// Record is nil if the instance has none.
	Record *streams.Record `json:"record,omitempty"`
	// Service is that of the question, and Versions are the versions of it that served lately, as far
	// as the instance knows.
	Service  string   `json:"service"`
	Versions []string `json:"versions,omitempty"`
	// Vouches is set if the instance knows all versions that served lately.
	Vouches bool `json:"vouches,omitempty"`
}

// lookupWaiter is a request that waits for a lookup.
type lookupWaiter struct {
	arrived RequestArrived
	since   time.Time
}

// streamKeepers returns the instances that keep records of streams.
func (n *Node) streamKeepers() *streams.Keepers {
	names := n.liveInstances()
	zoneOf := func(name string) string { return n.view.Get(name).Zone }
	return n.streams.directory.Keepers(names, zoneOf, len(names) <= mesh.FullMeshLimit)
}

// streamPeerConnected records whether a peer keeps records. Those that wait for its link go to others if it
// does not.
func (n *Node) streamPeerConnected(e PeerConnected) {
	s := &n.streams
	if e.NoHistory {
		s.withoutHistory[e.Peer] = true
	} else {
		delete(s.withoutHistory, e.Peer)
	}
	if e.NoStreams != s.directory.Keeps(e.Peer) {
		n.flushRecords()
		return
	}
	before := n.streamKeepers()
	s.directory.SetKeeps(e.Peer, !e.NoStreams)
	if !e.NoStreams {
		n.flushRecords()
		return
	}
	n.sendRecords(s.outbox.Take(e.Peer, n.now), func(key streams.Key) []string {
		sent := before.ToSend(key, n.mayBeLinked)
		hasIt := func(name string) bool { return slices.Contains(sent, name) }
		return slices.DeleteFunc(slices.Clone(n.keepersOf(key)), hasIt)
	})
}

// keepersOf returns the instances that the record of a stream is sent to.
func (n *Node) keepersOf(key streams.Key) []string {
	return n.streamKeepers().ToSend(key, n.mayBeLinked)
}

// mayBeLinked reports whether a link to an instance is up, or was never needed.
func (n *Node) mayBeLinked(name string) bool {
	p := n.peers.byName[name]
	return p == nil || p.connected
}

// sendRecords sends records to the instances that keep them. Without a link to one, a link is requested
// and its records wait.
func (n *Node) sendRecords(records []streams.Record, keepersOf func(streams.Key) []string) {
	if len(records) == 0 {
		return
	}
	batches := make(map[string][]streams.Record)
	for _, record := range records {
		for _, name := range keepersOf(record.Key) {
			batches[name] = append(batches[name], record)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(batches)) {
		if n.peerConnectedTo(name) {
			n.sendBatch(name, batches[name])
			continue
		}
		n.requestLink(name)
		n.streams.outbox.Put(name, batches[name], n.now)
	}
}

func (n *Node) sendBatch(peer string, records []streams.Record) {
	n.emit(Counted{Counter: counterStreamRecords, N: len(records)})
	for batch := range slices.Chunk(records, maxRecordsPerMessage) {
		n.emit(SendPeer{To: peer, Message: PeerMessage{StreamOffer: &StreamOffer{Records: batch}}})
	}
}

// flushRecords sends the queued records whose link is up, and drops those that have waited too long.
func (n *Node) flushRecords() {
	for _, name := range n.streams.outbox.Peers() {
		if n.peerConnectedTo(name) {
			n.sendBatch(name, n.streams.outbox.Take(name, n.now))
		}
	}
	n.streams.outbox.Expire(n.now)
}

// peerStreamOffer keeps the records that a peer sends.
func (n *Node) peerStreamOffer(offer *StreamOffer) {
	for _, record := range offer.Records {
		n.streams.registry.Learn(n.now, record)
	}
}

// lookUpStream asks the instances that may know where a stream began, or at least which versions have served,
// and lets the request wait. It returns false if there is none to ask, or too many requests wait.
func (n *Node) lookUpStream(key streams.Key, e RequestArrived, t target, at time.Time) bool {
	if key == 0 {
		key = streams.KeyOf("", string(e.Request))
	}
	waiter := lookupWaiter{arrived: e, since: at}
	if joined, exists := n.streams.lookups.Join(key, waiter); exists {
		return joined
	}
	asked := n.streamKeepers().ToAsk(key)
	if len(asked) == 0 && !n.streams.stored.reading {
		return false
	}
	until := n.now.Add(streams.LookupTimeout)
	if _, only := n.streams.versions.Only(t.service.Name); only {
		// Fresher knowledge of the store may arrive first.
		until = n.now.Add(n.settings.ChangeBound)
	}
	if half := n.now.Add(deadlineOf(&e, t, at).Sub(n.now) / 2); half.Before(until) {
		until = half
	}
	l := n.streams.lookups.Start(key, t.service.Name, asked, waiter, n.now, until)
	if l == nil {
		n.emit(Counted{Counter: counterStreamLookups, Label: "too-many", N: 1})
		return false
	}
	n.sendQuestion(l)
	return true
}

// sendQuestion sends the question of a lookup to the instances that have not got it and are linked.
func (n *Node) sendQuestion(l *streams.Lookup[lookupWaiter]) {
	for _, name := range l.Unsent() {
		if !n.peerConnectedTo(name) {
			n.requestLink(name)
			continue
		}
		l.Sent(name)
		n.emit(SendPeer{To: name, Message: PeerMessage{StreamQuestion: &StreamQuestion{Key: l.Key, Service: l.Service}}})
	}
}

// peerStreamQuestion answers a peer.
func (n *Node) peerStreamQuestion(from string, q *StreamQuestion) {
	answer := &StreamAnswer{Key: q.Key, Service: q.Service, Versions: n.streams.versions.Served(q.Service), Vouches: n.vouchesForVersions(q.Service)}
	if record, ok := n.streams.registry.Get(n.now, q.Key); ok {
		answer.Record = &record
	}
	n.emit(SendPeer{To: from, Message: PeerMessage{StreamAnswer: answer}})
}

// peerStreamAnswer handles a peer's answer. The first record ends the lookup.
func (n *Node) peerStreamAnswer(from string, a *StreamAnswer) {
	l := n.streams.lookups.Get(a.Key)
	if l == nil || !l.Answer(from, a.Vouches) {
		return
	}
	for _, version := range a.Versions {
		n.observeVersion(streams.Software{Service: a.Service, Version: version}, false)
	}
	if a.Record != nil && a.Record.Key == a.Key {
		n.streams.registry.Learn(n.now, *a.Record)
		n.endLookup(l, "found")
		return
	}
	_, only := n.streams.versions.Only(l.Service)
	if l.AllAnswered() && !n.streams.stored.reading && (l.Vouched || !only) {
		n.endLookup(l, "not-found")
	}
}

// tickLookups repeats the questions that could not be sent, and ends the lookups whose time is over.
func (n *Node) tickLookups() {
	for _, l := range n.streams.lookups.All() {
		if !n.now.Before(l.Until) {
			n.endLookup(l, "timed-out")
			continue
		}
		if n.lookupIsFresh(l) {
			n.endLookup(l, "fresh")
			continue
		}
		n.sendQuestion(l)
	}
}

// lookupIsFresh reports whether this instance has learnt by now that only one version has served before each of the waiting
// requests arrived.
func (n *Node) lookupIsFresh(l *streams.Lookup[lookupWaiter]) bool {
	_, only := n.streams.versions.Only(l.Service)
	if !only || n.streams.stored.reading || len(l.Waiting) == 0 {
		return false
	}
	return n.knowsVersions(l.Service, l.Waiting[len(l.Waiting)-1].since, streamView{vouched: l.Vouched})
}

// endLookup continues the requests that wait for a lookup, or refuses them. That no instance knows of another version says nothing
// unless one of them knows all: they may have started together.
func (n *Node) endLookup(l *streams.Lookup[lookupWaiter], result string) {
	n.streams.lookups.End(l.Key)
	n.emit(Counted{Counter: counterStreamLookups, Label: result, N: 1})
	for _, w := range l.Waiting {
		n.startContinuation(w.arrived, w.since, streamView{asked: true, vouched: l.Vouched, all: l.AllAnswered()})
	}
}

// cancelLookupWaiter removes the waiting request of a caller that disconnected, and reports whether there
// was one.
func (n *Node) cancelLookupWaiter(id RequestID) bool {
	for _, l := range n.streams.lookups.All() {
		i := slices.IndexFunc(l.Waiting, func(w lookupWaiter) bool { return w.arrived.Request == id })
		if i < 0 {
			continue
		}
		arrived := l.Waiting[i].arrived
		l.Waiting = slices.Delete(l.Waiting, i, i+1)
		n.refuseWith(arrived, target{}, &refusal{reason: reason.CallerGone, waiting: WaitsForLookup})
		return true
	}
	return false
}
