package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRecords bounds the number of records. Each request that a server held when it ended has
	// one.
	maxRecords = 1024
	// maxServers bounds the number of servers in a record.
	maxServers = 32
	// suspectRetention is how long a request is remembered under which fewer than MaxEnds servers
	// ended.
	suspectRetention = 10 * time.Minute
	// blockedRetention is how long a blocked request is remembered after its last arrival.
	blockedRetention = time.Hour
)

// trialDelays are the times after the last end or trial at which a blocked request may be sent
// once more. The first is soon after servers that ended are back: whatever else ended them may be
// over. The second gives the operators time for a new version of the service. There is no third
// one, so that two instances that start a trial at the same time do not exceed the number of
// servers that the operators allow a blocked request.
var trialDelays = []time.Duration{10 * time.Second, 10 * time.Minute}

// Tracker holds the records of one instance. It is not safe for concurrent use.
type Tracker struct {
	records map[Key]*record
	// ended maps the servers that count in a record to the time at which their end was learned.
	ended map[Server]time.Time
	// voided maps the servers whose end is held against no request to the time at which this was
	// learned. Another instance may send a record with such an end later.
	voided map[Server]time.Time
	// blocked holds the blocked requests. It is nil after a change.
	blocked map[Key]bool
	// evicted counts the records that were dropped because there were too many.
	evicted int
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[Key]*record), ended: make(map[Server]time.Time), voided: make(map[Server]time.Time)}
}

// Ended records that a server ended while it held a request, and reports whether that is new.
func (t *Tracker) Ended(key Key, server Server, now time.Time) bool {
	return key != 0 && t.add(key, server, now, now)
}

// add adds the end of a server that happened at a time.
func (t *Tracker) add(key Key, server Server, at, now time.Time) bool {
	r := t.record(key)
	if _, known := r.ends[server]; known || len(r.ends) >= maxServers {
		return false
	}
	_, voided := t.voided[server]
	r.ends[server] = !voided
	r.changedAt = later(r.changedAt, at)
	if r.count() == MaxEnds {
		r.reachedAt = r.changedAt
	}
	if _, known := t.ended[server]; !known && !voided {
		t.ended[server] = now
	}
	t.blocked = nil
	t.evict(key)
	return true
}

func (t *Tracker) record(key Key) *record {
	r := t.records[key]
	if r == nil {
		r = &record{ends: make(map[Server]bool)}
		t.records[key] = r
	}
	return r
}

// Completed records that a server ran a request to its end, so the request does not end each
// server that runs it. It returns the requests whose records changed.
//
// If the request was blocked, the servers that ended under it are voided for all requests:
// otherwise those that merely ran beside it would be blamed in its place.
func (t *Tracker) Completed(key Key, now time.Time) []Key {
	r := t.records[key]
	if r == nil || r.count() == 0 {
		return nil
	}
	if !t.Blocked(key) {
		for server := range r.ends {
			r.ends[server] = false
		}
		t.blocked = nil
		return []Key{key}
	}
	var changed []Key
	for _, server := range sortedServers(r.ends) {
		changed = append(changed, t.Void(server, now)...)
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// Void records that the end of a server is to be held against no request: the server did not end,
// or its end was planned. It returns the requests whose records changed, sorted.
func (t *Tracker) Void(server Server, now time.Time) []Key {
	delete(t.ended, server)
	t.voided[server] = now
	var changed []Key
	for key, r := range t.records {
		if r.ends[server] {
			r.ends[server] = false
			changed = append(changed, key)
		}
	}
	if len(changed) > 0 {
		t.blocked = nil
	}
	slices.Sort(changed)
	return changed
}

// EndedAt returns the time at which this instance learned of the end of a server that counts in a
// record.
func (t *Tracker) EndedAt(server Server) (time.Time, bool) {
	at, ok := t.ended[server]
	return at, ok
}

// Trial records that a blocked request is sent once more.
func (t *Tracker) Trial(key Key, now time.Time) {
	r := t.record(key)
	r.trials++
	r.changedAt = now
}

// TrialDue returns the time from which a blocked request may be sent once more, and its delay after
// the last end or trial. It reports whether the request may be sent at all.
func (t *Tracker) TrialDue(key Key) (due time.Time, delay time.Duration, ok bool) {
	r := t.records[key]
	if r == nil || r.trials >= len(trialDelays) {
		return time.Time{}, 0, false
	}
	delay = trialDelays[r.trials]
	return r.changedAt.Add(delay), delay, true
}

// Used records the arrival of a request, so that its record is kept. Without a record it has no
// effect.
func (t *Tracker) Used(key Key, now time.Time) {
	if r := t.records[key]; r != nil {
		r.usedAt = now
	}
}

// Blocked reports whether a request is blocked.
func (t *Tracker) Blocked(key Key) bool {
	if t.records[key] == nil {
		return false
	}
	t.solve()
	return t.blocked[key]
}

// BlockedKeys returns the blocked requests, sorted.
func (t *Tracker) BlockedKeys() []Key {
	t.solve()
	return slices.Sorted(maps.Keys(t.blocked))
}

// Len returns the number of records.
func (t *Tracker) Len() int { return len(t.records) }

// TakeEvicted returns the number of records dropped for lack of room since the last call.
func (t *Tracker) TakeEvicted() int {
	n := t.evicted
	t.evicted = 0
	return n
}

// Expire forgets the requests that have not been seen for long.
func (t *Tracker) Expire(now time.Time) {
	for key, r := range t.records {
		retention, since := suspectRetention, r.changedAt
		if t.Blocked(key) {
			retention, since = blockedRetention, r.lastUse()
		}
		if now.Sub(since) > retention {
			delete(t.records, key)
		}
	}
	t.blocked = nil
	t.dropUnusedServers()
	maps.DeleteFunc(t.voided, func(_ Server, at time.Time) bool { return now.Sub(at) > blockedRetention })
}

// dropUnusedServers forgets the servers that no record holds.
func (t *Tracker) dropUnusedServers() {
	used := make(map[Server]bool)
	for _, r := range t.records {
		for server := range r.ends {
			used[server] = true
		}
	}
	maps.DeleteFunc(t.ended, func(server Server, _ time.Time) bool { return !used[server] })
}

// evict drops a record if there are too many: of those that are not blocked, one with the fewest
// ends, the oldest first. It never drops the record of the given key.
func (t *Tracker) evict(kept Key) {
	if len(t.records) <= maxRecords {
		return
	}
	var victim Key
	for key, r := range t.records {
		if key != kept && (victim == 0 || t.lessUseful(key, r, victim)) {
			victim = key
		}
	}
	delete(t.records, victim)
	t.blocked = nil
	t.evicted++
}

// lessUseful reports whether a record is to be dropped before that of another key.
func (t *Tracker) lessUseful(key Key, r *record, other Key) bool {
	o := t.records[other]
	return cmp.Or(
		cmp.Compare(min(r.count(), MaxEnds), min(o.count(), MaxEnds)),
		r.lastUse().Compare(o.lastUse()),
		cmp.Compare(key, other),
	) < 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortedServers(ends map[Server]bool) []Server {
	return slices.SortedFunc(maps.Keys(ends), CompareServers)
}

// CompareServers orders servers by name and incarnation.
func CompareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
