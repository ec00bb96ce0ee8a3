package streams

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// storedTTL is how long the store keeps the records of an instance after a lease was granted. They are written again under a new
	// one from half of it on, so that they outlive their instance by Retention.
	storedTTL = 2 * Retention
	// maxStored bounds the records of an instance that the store keeps, at some 10 to 80 bytes each. The newest are kept.
	maxStored = 512
	// maxStoreBurst is the number of writes that an instance which has written little may make in a row.
	maxStoreBurst = 2
	// keySize is the size of an encoded key, in bytes.
	keySize = 8
)

// storedGroup is the encoding of the records of one software. Processes hold those whose process is not certain.
type storedGroup struct {
	Software
	Keys      []byte          `json:"keys,omitempty"`
	Processes []storedProcess `json:"processes,omitempty"`
}

type storedProcess struct {
	Process
	Keys []byte `json:"keys"`
}

var errKeys = errors.New("streams: keys of stored records are cut off")

// EncodeStored encodes records for the store.
func EncodeStored(records []Record) ([]byte, error) {
	var list []storedGroup
	for _, record := range slices.SortedStableFunc(slices.Values(records), compareStored) {
		if n := len(list); n == 0 || list[n-1].Software != record.Software {
			list = append(list, storedGroup{Software: record.Software})
		}
		list[len(list)-1].add(&record)
	}
	value, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("streams: encode records: %w", err)
	}
	return value, nil
}

// add adds a record, of the last process if its process is not certain.
func (g *storedGroup) add(record *Record) {
	if record.Certain {
		g.Keys = binary.BigEndian.AppendUint64(g.Keys, uint64(record.Key))
		return
	}
	if n := len(g.Processes); n == 0 || g.Processes[n-1].Process != record.Process {
		g.Processes = append(g.Processes, storedProcess{Process: record.Process})
	}
	p := &g.Processes[len(g.Processes)-1]
	p.Keys = binary.BigEndian.AppendUint64(p.Keys, uint64(record.Key))
}

// compareStored orders records by software and process.
func compareStored(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Process.Server, b.Process.Server), cmp.Compare(a.Process.Incarnation, b.Process.Incarnation))
}

// DecodeStored decodes what EncodeStored has encoded. Callers may continue the streams for Retention at most.
func DecodeStored(value []byte) ([]Record, error) {
	var list []storedGroup
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("streams: decode records: %w", err)
	}
	var records []Record
	var err error
	for _, group := range list {
		if records, err = appendKeys(records, group.Keys, Record{Software: group.Software, Certain: true}); err != nil {
			return nil, err
		}
		for _, p := range group.Processes {
			if records, err = appendKeys(records, p.Keys, Record{Software: group.Software, Process: p.Process}); err != nil {
				return nil, err
			}
		}
	}
	return records, nil
}

// appendKeys appends a record for each encoded key.
func appendKeys(records []Record, keys []byte, record Record) ([]Record, error) {
	if len(keys)%keySize != 0 {
		return nil, errKeys
	}
	record.Keep = Retention
	for ; len(keys) > 0; keys = keys[keySize:] {
		record.Key = Key(binary.BigEndian.Uint64(keys))
		records = append(records, record)
	}
	return records, nil
}

// StoreWriter decides when an instance writes the records of its own unfinished streams to the store, and under which lease. Each
// write replaces the one before. It is not safe for concurrent use.
type StoreWriter struct {
	inProgress bool
	lease      uint64
	leaseEnd   time.Time
	next       time.Time
	failures   int
	// allowance is the number of writes that the rate limit allows, as of countedAt.
	allowance float64
	countedAt time.Time
	// written holds the keys of the last successful write, and pending those of the one in progress.
	written, pending []Key
}

// StoreWrite is one write.
type StoreWrite struct {
	// Lease is 0 if one must be granted first, for TTL.
	Lease   uint64
	TTL     time.Duration
	Records []Record
}

// Next returns the write that is due for the given records, sorted by key, false if there is none. Interval is the mean interval
// between the writes of an instance that has something to write all the time.
func (w *StoreWriter) Next(now time.Time, interval time.Duration, records []Record) (StoreWrite, bool) {
	keys := make([]Key, 0, len(records))
	for _, record := range records {
		keys = append(keys, record.Key)
	}
	w.count(now, interval)
	if !w.Due(now) || w.allowance < 1 || slices.Equal(keys, w.written) && (len(keys) == 0 || now.Before(w.leaseEnd)) {
		return StoreWrite{}, false
	}
	w.allowance--
	if !now.Before(w.leaseEnd) {
		w.lease = 0
	}
	w.inProgress, w.pending = true, keys
	return StoreWrite{Lease: w.lease, TTL: storedTTL, Records: records}, true
}

// count updates the allowance.
func (w *StoreWriter) count(now time.Time, interval time.Duration) {
	if w.countedAt.IsZero() {
		w.allowance = maxStoreBurst
	} else {
		w.allowance = min(maxStoreBurst, w.allowance+float64(now.Sub(w.countedAt))/float64(interval))
	}
	w.countedAt = now
}

// Due reports whether a write may begin.
func (w *StoreWriter) Due(now time.Time) bool { return !w.inProgress && !now.Before(w.next) }

// Stored records the success of the write in progress, with the lease that it used. The next one follows after delay.
func (w *StoreWriter) Stored(now time.Time, lease uint64, delay time.Duration) {
	w.end(now, lease)
	w.written, w.failures, w.next = w.pending, 0, now.Add(delay)
}

// Failed records the failure of the write in progress. It returns the number of failures in a row; Retry sets when to try again.
func (w *StoreWriter) Failed(now time.Time, lease uint64, expired bool) int {
	w.end(now, lease)
	if expired {
		w.lease, w.written = 0, nil
	}
	w.failures++
	return w.failures
}

// Retry sets the earliest time of the next write.
func (w *StoreWriter) Retry(at time.Time) { w.next = at }

func (w *StoreWriter) end(now time.Time, lease uint64) {
	w.inProgress = false
	if lease != w.lease {
		w.lease, w.leaseEnd = lease, now.Add(storedTTL/2)
	}
}
