package streams

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxRecords bounds the records of a registry, at about 300 bytes each. The ones that expire first
	// are dropped beyond it.
	MaxRecords = 16_384
	// maxKeep bounds the time for which a record is kept.
	maxKeep = 10 * time.Minute
	// completedKeep is the time for which a caller may continue a stream whose end its instance has sent:
	// the connection may have been lost on the way.
	completedKeep = 15 * time.Second
)

// Registry holds the records of an instance: of the streams that it began itself, and those that other
// instances have sent.
type Registry struct {
	byKey map[Key]*entry
	// own holds the keys of own records that other instances do not have yet.
	unshared map[Key]bool
	// unfinished holds the keys of own records whose callers have not got the end of the stream.
	unfinished map[Key]bool
}

type entry struct {
	record Record
	// route identifies the route of an own record.
	route string
	// recordedAt is the time at which the record was made or arrived, after the stream began.
	recordedAt time.Time
	expiresAt  time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byKey: make(map[Key]*entry), unshared: make(map[Key]bool), unfinished: make(map[Key]bool)}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.byKey) }

// Begin records a stream that this instance has begun on a route. Other instances do not have it yet.
func (r *Registry) Begin(now time.Time, record Record, route string) {
	if e := r.put(now, record); e != nil {
		e.route = route
		r.unshared[record.Key], r.unfinished[record.Key] = true, true
	}
}

// Learn records what another instance has sent.
func (r *Registry) Learn(now time.Time, record Record) { r.put(now, record) }

// put merges a record. Two requests of a customer with the same ID may have begun two streams; if
// their software differs, it cannot be told which of them the ID means.
func (r *Registry) put(now time.Time, record Record) *entry {
	if record.Key == 0 {
		return nil
	}
	record.Keep = min(max(0, record.Keep), maxKeep)
	e := r.byKey[record.Key]
	if e == nil {
		r.makeRoom(now)
		e = &entry{record: record, recordedAt: now}
		r.byKey[record.Key] = e
	}
	e.record.Uncertain = e.record.Uncertain || record.Uncertain || e.record.Software != record.Software
	if until := now.Add(record.Keep); until.After(e.expiresAt) {
		e.expiresAt = until
	}
	return e
}

// makeRoom drops the records that expire first if there are too many. An eighth goes at once, so that a
// flood does not sort them all each time.
func (r *Registry) makeRoom(now time.Time) {
	if len(r.byKey) < MaxRecords {
		return
	}
	r.Expire(now)
	if len(r.byKey) < MaxRecords {
		return
	}
	keys := make([]Key, 0, len(r.byKey))
	for key := range r.byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(r.byKey[a].expiresAt.Compare(r.byKey[b].expiresAt), cmp.Compare(a, b))
	})
	for _, key := range keys[:MaxRecords/8] {
		r.remove(key)
	}
}

func (r *Registry) remove(key Key) {
	delete(r.byKey, key)
	delete(r.unshared, key)
	delete(r.unfinished, key)
}

// Get returns the record of a stream.
func (r *Registry) Get(now time.Time, key Key) (Record, bool) {
	e := r.byKey[key]
	if e == nil || !now.Before(e.expiresAt) {
		return Record{}, false
	}
	return e.recordAt(now), true
}

func (e *entry) recordAt(now time.Time) Record {
	record := e.record
	record.Keep = e.expiresAt.Sub(now)
	return record
}

// Complete records that the end of a stream was sent to its caller.
func (r *Registry) Complete(now time.Time, key Key) {
	delete(r.unfinished, key)
	e := r.byKey[key]
	if e == nil || !r.unshared[key] {
		return
	}
	if until := now.Add(completedKeep); until.Before(e.expiresAt) {
		e.expiresAt = until
	}
}

// TakeUnshared returns the own records that the given condition selects by service and route, sorted by
// key, and counts them as shared.
func (r *Registry) TakeUnshared(now time.Time, selected func(service, route string) bool) []Record {
	var records []Record
	for key := range r.unshared {
		if e := r.byKey[key]; selected(e.record.Service, e.route) {
			records = append(records, e.recordAt(now))
		}
	}
	for _, record := range records {
		delete(r.unshared, record.Key)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// Unfinished returns the own records of unfinished streams that the given condition selects by service and route, sorted by key.
// Left out are those whose process turned out to be uncertain. It is certain if the record was made before knownAsOf: the entry of
// another process would have arrived. If there are too many for the store, the newest are returned.
func (r *Registry) Unfinished(now, knownAsOf time.Time, selected func(service, route string) bool) []Record {
	var list []*entry
	for key := range r.unfinished {
		e := r.byKey[key]
		if !e.record.Uncertain && now.Before(e.expiresAt) && selected(e.record.Service, e.route) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(b.recordedAt.Compare(a.recordedAt), cmp.Compare(a.record.Key, b.record.Key))
	})
	list = list[:min(len(list), maxStored)]
	records := make([]Record, 0, len(list))
	for _, e := range list {
		record := e.recordAt(now)
		record.Certain = record.Certain || e.recordedAt.Before(knownAsOf)
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// Replaced records that a process was replaced under its name by one of other software, some time after
// since. Streams that were begun there later may have been begun by either.
func (r *Registry) Replaced(old Process, since time.Time) {
	for _, e := range r.byKey {
		if e.record.Process == old && !e.record.Certain && e.recordedAt.After(since) {
			e.record.Uncertain = true
		}
	}
}

// Expire drops the records whose streams no caller can continue any more.
func (r *Registry) Expire(now time.Time) {
	for key, e := range r.byKey {
		if !now.Before(e.expiresAt) {
			r.remove(key)
		}
	}
}
