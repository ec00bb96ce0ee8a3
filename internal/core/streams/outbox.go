package streams

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxQueuedRecords bounds the records that wait for the link to a peer, and maxQueuedTime the time for
	// which they wait.
	maxQueuedRecords, maxQueuedTime = 256, 3 * time.Second
)

// Outbox holds records for peers to which there is no link yet.
type Outbox struct {
	byPeer map[string][]queuedRecord
}

type queuedRecord struct {
	record Record
	since  time.Time
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{byPeer: make(map[string][]queuedRecord)} }

// Put queues records for a peer. Those that wait already, or find no room, are dropped.
func (o *Outbox) Put(peer string, records []Record, now time.Time) {
	for _, record := range records {
		queue := o.byPeer[peer]
		same := func(queued queuedRecord) bool { return queued.record.Key == record.Key }
		if len(queue) < maxQueuedRecords && !slices.ContainsFunc(queue, same) {
			o.byPeer[peer] = append(queue, queuedRecord{record, now})
		}
	}
}

// Take returns the records for a peer that have not waited too long, and removes all of them.
func (o *Outbox) Take(peer string, now time.Time) []Record {
	var records []Record
	for _, queued := range o.byPeer[peer] {
		if waited := now.Sub(queued.since); waited <= maxQueuedTime {
			queued.record.Keep -= waited
			records = append(records, queued.record)
		}
	}
	delete(o.byPeer, peer)
	return records
}

// Peers returns the peers for which records wait, sorted.
func (o *Outbox) Peers() []string { return slices.Sorted(maps.Keys(o.byPeer)) }

// Expire drops the records that have waited too long.
func (o *Outbox) Expire(now time.Time) {
	for peer, list := range o.byPeer {
		if list[len(list)-1].since.Before(now.Add(-maxQueuedTime)) {
			delete(o.byPeer, peer)
		}
	}
}
