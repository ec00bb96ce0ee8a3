package poison

import (
	"maps"
	"slices"
	"time"
)

// Outbox holds which records a store that instances share may lack. It is not safe for concurrent use.
type Outbox struct {
	// unstored maps the records that the store may lack to the time of their last change.
	unstored map[Key]time.Time
	// stored holds the extent of records that were read from the store or written to it.
	stored map[Key]Extent
	// writing are the records that are being written.
	writing []Record
}

// NewOutbox returns an outbox without records.
func NewOutbox() *Outbox {
	return &Outbox{unstored: make(map[Key]time.Time), stored: make(map[Key]Extent)}
}

// Changed notes that the store may lack a change of a record.
func (o *Outbox) Changed(key Key, now time.Time) { o.unstored[key] = now }

// DropOlder forgets the changes that are older than an age, as other instances have learned of them otherwise.
func (o *Outbox) DropOlder(age time.Duration, now time.Time) {
	maps.DeleteFunc(o.unstored, func(_ Key, at time.Time) bool { return now.Sub(at) > age })
}

// Take returns up to limit records to be written next, the most suspicious first. It leaves out those that the store has,
// as another instance wrote them. Written or Failed reports what became of them.
func (o *Outbox) Take(t *Tracker, limit int, now time.Time) []Record {
	maps.DeleteFunc(o.unstored, func(key Key, _ time.Time) bool {
		extent, ok := t.Extent(key)
		return !ok || o.stored[key] == extent
	})
	o.writing = nil
	for _, key := range t.Select(slices.Collect(maps.Keys(o.unstored)), limit) {
		delete(o.unstored, key)
		if record, ok := t.Record(key, now); ok {
			o.writing = append(o.writing, record)
		}
	}
	return o.writing
}

// Written records that the store has the records that were taken last, and returns their number.
func (o *Outbox) Written() int {
	o.Read(o.writing)
	return len(o.writing)
}

// Failed records that the records that were taken last are still to be written.
func (o *Outbox) Failed(now time.Time) {
	for _, record := range o.writing {
		o.unstored[record.Key] = now
	}
}

// Read records that the store has records.
func (o *Outbox) Read(records []Record) {
	for _, record := range records {
		o.stored[record.Key] = record.Extent()
	}
}

// Expire forgets what the store has of contents and parts without a record.
func (o *Outbox) Expire(t *Tracker) {
	maps.DeleteFunc(o.stored, func(key Key, _ Extent) bool {
		_, ok := t.Extent(key)
		return !ok
	})
}
