package poison

import "time"

const (
	// storedTTL is how long the store keeps a record. Those that read it keep it themselves.
	storedTTL = 10 * time.Minute
	// maxWritten is the maximum number of records in a call. The platform allows a transaction 32 keys.
	maxWritten = 32
)

// Write is a call that writes records to a store under a lease, and acquires the lease first if there is none.
type Write struct {
	Lease   uint64
	TTL     time.Duration
	Records []Record
}

// Writer decides which records are written to a store that instances share, when, and under which lease. It is not safe for
// concurrent use.
type Writer struct {
	*Outbox
	// inProgress is set while a call is in progress.
	inProgress bool
	lease      uint64
	// leaseEnd is the time from which a new lease is acquired: the records of an old one would soon be removed.
	leaseEnd time.Time
	next     time.Time
	failures int
}

// NewWriter returns a writer without records.
func NewWriter() *Writer { return &Writer{Outbox: NewOutbox()} }

// Next returns the next call, false if none is due.
func (w *Writer) Next(t *Tracker, now time.Time) (Write, bool) {
	if w.inProgress || now.Before(w.next) {
		return Write{}, false
	}
	records := w.Take(t, maxWritten, now)
	if len(records) == 0 {
		return Write{}, false
	}
	w.inProgress = true
	if now.After(w.leaseEnd) {
		w.lease = 0
	}
	return Write{Lease: w.lease, TTL: storedTTL, Records: records}, true
}

// Stored records that a call has succeeded and the lease that it used. The next one follows after delay at the earliest. It returns
// the number of records that were written.
func (w *Writer) Stored(lease uint64, now time.Time, delay time.Duration) int {
	w.end(lease, now)
	w.failures = 0
	w.next = now.Add(delay)
	return w.Written()
}

// Failed records that a call has failed and the lease that it used. The next one follows after the delay that delayAfter returns for
// the number of failures in a row. An expired lease has removed its records, and a new one is acquired with the next call.
func (w *Writer) Failed(lease uint64, expired bool, now time.Time, delayAfter func(failures int) time.Duration) {
	w.end(lease, now)
	w.failures++
	w.next = now.Add(delayAfter(w.failures))
	if expired {
		w.lease = 0
	}
	w.Outbox.Failed(now)
}

// end records the end of a call and its lease.
func (w *Writer) end(lease uint64, now time.Time) {
	w.inProgress = false
	if lease != w.lease {
		w.lease, w.leaseEnd = lease, now.Add(storedTTL/2)
	}
}
