package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// Records of streams live in the memory of instances. While a service has several versions, each instance also keeps those of its
// unfinished streams in the platform's store, so that their callers can continue them after all instances have restarted.

const (
	// minStreamStoreInterval is the minimum interval between an instance's writes. streamStoreIntervalPerInstance limits their rate in a
	// larger fleet, so that all of them together make 250 a second on average.
	minStreamStoreInterval         = 250 * time.Millisecond
	streamStoreIntervalPerInstance = 4 * time.Millisecond
	// streamStoreMinBackoff and streamStoreMaxBackoff limit the delay after failed calls.
	streamStoreMinBackoff = 200 * time.Millisecond
	streamStoreMaxBackoff = 2 * time.Second
	// minStoredStreamsTimeout is the time limit of the first read. It doubles with each failed one, up to maxStoredStreamsTimeout.
	minStoredStreamsTimeout = time.Second
	maxStoredStreamsTimeout = 8 * time.Second
	// streamStoreTimeout is the time limit of a write. A later write replaces it, so that nothing is won by waiting for longer.
	streamStoreTimeout = 500 * time.Millisecond
)

// counterStoredStreams counts the calls that write or read stored records by result.
const counterStoredStreams = "stored_streams"

// StoreStreams replaces the records of this instance's unfinished streams in the platform's store. It acquires the lease first if
// there is none. LeaseReplied reports the result.
type StoreStreams struct {
	Op      OpID             `json:"op"`
	Lease   uint64           `json:"lease,omitempty"`
	TTL     time.Duration    `json:"ttl"`
	Records []streams.Record `json:"records"`
	// Timeout is the time limit of the call.
	Timeout time.Duration `json:"timeout"`
}

// EffectName implements Effect.
func (StoreStreams) EffectName() string { return "store-streams" }

// ListStreams reads the records of streams of all instances from the store. StreamsListed reports the result.
type ListStreams struct {
	Op OpID `json:"op"`
	// Timeout is the time limit of the call.
	Timeout time.Duration `json:"timeout"`
}

// EffectName implements Effect.
func (ListStreams) EffectName() string { return "list-streams" }

// StreamsListed is the result of a ListStreams.
type StreamsListed struct {
	Op      OpID             `json:"op"`
	Failed  bool             `json:"failed,omitempty"`
	Records []streams.Record `json:"records,omitempty"`
}

// EventName implements Event.
func (StreamsListed) EventName() string { return "streams-listed" }

// storedStreams is the state of the calls about stored records.
type storedStreams struct {
	writer streams.StoreWriter
	// writeOp and readOp are the calls in progress.
	writeOp, readOp OpID
	// decided is set once it is known whether the store may have records of streams that began before this instance started.
	// reading is set until they are read.
	decided, reading bool
	nextRead         time.Time
	failures         int
}

// tickStoredStreams writes and reads the stored records when it is due.
func (n *Node) tickStoredStreams() {
	if !n.usesBackendEntries() || n.snapshot == nil || n.backends.log.Complete() == 0 {
		return
	}
	n.readStoredStreams()
	n.writeStoredStreams()
}

// readStoredStreams reads the records of earlier instances once after the start, if streams may have begun at several versions.
func (n *Node) readStoredStreams() {
	s := &n.streams.stored
	if !s.decided {
		s.decided = true
		s.reading = n.streams.versions.AnyMixed() || n.anyAmbiguousRoute()
	}
	if !s.reading || s.readOp != 0 || n.now.Before(s.nextRead) {
		return
	}
	if n.now.Sub(n.startedAt) > streams.Retention {
		s.reading = false
		return
	}
	s.readOp = n.nextOp()
	n.emit(ListStreams{Op: s.readOp, Timeout: min(maxStoredStreamsTimeout, minStoredStreamsTimeout<<min(s.failures, 3))})
}

// streamsListed adds the records of earlier instances, and ends the lookups that waited for them.
func (n *Node) streamsListed(e StreamsListed) {
	s := &n.streams.stored
	if e.Op != s.readOp {
		return
	}
	s.readOp = 0
	if e.Failed {
		s.failures++
		s.nextRead = n.now.Add(n.backoffDelay(streamStoreMinBackoff, streamStoreMaxBackoff, s.failures))
		n.emit(Counted{Counter: counterStoredStreams, Label: "read-failed", N: 1})
		return
	}
	s.reading = false
	n.emit(Counted{Counter: counterStoredStreams, Label: "read", N: 1})
	for _, record := range e.Records {
		record.Uncertain = !record.Certain && n.replacedSince(record.Process)
		n.streams.registry.Learn(n.now, record)
	}
	for _, l := range n.streams.lookups.All() {
		if _, found := n.streams.registry.Get(n.now, l.Key); found {
			n.endLookup(l, "stored")
		} else if l.AllAnswered() {
			n.endLookup(l, "not-found")
		}
	}
}

// replacedSince reports whether another process may have run under the name of a process since. It may have generated events that a
// record ascribes to the one before.
func (n *Node) replacedSince(p streams.Process) bool {
	member := n.view.Get(p.Server)
	return member == nil || member.Incarnation != p.Incarnation
}

// writeStoredStreams writes the records of the unfinished streams that an instance could not continue without them.
func (n *Node) writeStoredStreams() {
	s := &n.streams
	if !s.stored.writer.Due(n.now) || !s.versions.AnyMixed() && !n.anyAmbiguousRoute() {
		return
	}
	records := s.registry.Unfinished(n.now, n.knownAsOf().Add(-streams.RegistrationLag), func(service, route string) bool {
		return s.versions.Mixed(service) || n.ambiguousRoute(route)
	})
	interval := max(minStreamStoreInterval, time.Duration(len(n.liveInstances()))*streamStoreIntervalPerInstance)
	if write, due := s.stored.writer.Next(n.now, interval, records); due {
		s.stored.writeOp = n.nextOp()
		n.emit(StoreStreams{Op: s.stored.writeOp, Lease: write.Lease, TTL: write.TTL, Records: write.Records, Timeout: streamStoreTimeout})
	}
}

// streamsStored handles the result of a StoreStreams.
func (n *Node) streamsStored(e LeaseReplied) {
	s := &n.streams.stored
	if e.Op != s.writeOp {
		return
	}
	s.writeOp = 0
	pause := n.jitter(minStreamStoreInterval)
	if e.Status == StoreOK {
		s.writer.Stored(n.now, e.Lease, pause)
		n.emit(Counted{Counter: counterStoredStreams, Label: "written", N: 1})
		return
	}
	failures := s.writer.Failed(n.now, e.Lease, e.Status == StoreAbsent)
	s.writer.Retry(n.now.Add(max(pause, n.backoffDelay(streamStoreMinBackoff, streamStoreMaxBackoff, failures))))
	n.emit(Counted{Counter: counterStoredStreams, Label: "write-failed", N: 1})
}
