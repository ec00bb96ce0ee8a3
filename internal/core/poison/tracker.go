package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRecords bounds the number of records. Each request that a server held when it ended has
	// one, and each part of its prompt.
	maxRecords = 4096
	// evictedRecords is the number of records dropped at once when there are too many.
	evictedRecords = maxRecords / 8
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
	// voidedContents maps the servers whose end is held against no content, but may be against a part.
	voidedContents map[Server]time.Time
	// answers are the latest answers to requests with each part.
	answers answers
	// suspected holds the records with enough ends to be blocked, and unproven the number of parts without a proof for which the end of
	// a server counts. Both follow each change, so that a decision does not go through all records.
	suspected map[Key]*record
	unproven  map[Server]int
	// blocked holds the blocked requests. It is nil after a change that may change the decision.
	blocked map[Key]bool
	// evicted counts the records that were dropped because there were too many, and decisions how often the blocked requests were
	// determined.
	evicted, decisions int
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{
		records: make(map[Key]*record), ended: make(map[Server]time.Time),
		voided: make(map[Server]time.Time), voidedContents: make(map[Server]time.Time),
		suspected: make(map[Key]*record), unproven: make(map[Server]int), blocked: make(map[Key]bool),
	}
}

// Ended records that a server ended while it held a request, and reports whether that is new.
func (t *Tracker) Ended(content Key, server Server, now time.Time) bool {
	return content != 0 && t.add(content, 0, server, &end{at: now}, now)
}

// PartEnded records that a server ended while it held a request with a part at a position from 1. It reports whether
// other instances are to be told.
func (t *Tracker) PartEnded(part Key, position int, server Server, software string, now time.Time) bool {
	return t.add(part, position, server, &end{at: now, software: software}, now) && t.records[part].count() > 0
}

// add adds the end of a server.
func (t *Tracker) add(key Key, position int, server Server, e *end, now time.Time) bool {
	r := t.record(key)
	if r.setPosition(position) {
		t.changed(key, r)
	}
	if known := r.ends[server]; known != nil {
		if known.software == "" && e.software != "" {
			known.software = e.software
			t.changed(key, r)
		}
		return false
	}
	if !r.makeRoom(e) {
		return false
	}
	_, voided := t.voided[server]
	_, voidedContent := t.voidedContents[server]
	e.voided = voided || voidedContent && r.position == 0
	r.ends[server] = e
	if answeredAt, ok := t.answers.latest(key, e.software); ok {
		r.prove(e.software, answeredAt)
	}
	r.changedAt = later(r.changedAt, e.at)
	t.changed(key, r)
	if r.count() == MaxEnds {
		r.reachedAt = r.changedAt
	}
	if _, known := t.ended[server]; !known && !voided {
		t.ended[server] = now
	}
	t.evict(key)
	return true
}

// changed updates what is derived from a record after a change of it. It discards the decision if the change may matter to that: most
// records have too few ends for that, however many there are.
func (t *Tracker) changed(key Key, r *record) {
	wasSuspected, explained := r.count() >= MaxEnds, r.explains
	r.derive()
	suspected := r.count() >= MaxEnds
	if wasSuspected || suspected {
		t.blocked = nil
	}
	if suspected {
		t.suspected[key] = r
	} else {
		delete(t.suspected, key)
	}
	t.countUnproven(explained, r.explains)
}

// countUnproven updates the number of parts without a proof that explain the ends of servers.
func (t *Tracker) countUnproven(before, after []Server) {
	for _, server := range after {
		if slices.Contains(before, server) {
			continue
		}
		t.unproven[server]++
		if t.unproven[server] == 1 {
			t.blocked = nil
		}
	}
	for _, server := range before {
		if slices.Contains(after, server) {
			continue
		}
		t.unproven[server]--
		if t.unproven[server] == 0 {
			delete(t.unproven, server)
			t.blocked = nil
		}
	}
}

// drop forgets a record.
func (t *Tracker) drop(key Key) {
	r := t.records[key]
	clear(r.ends)
	t.changed(key, r)
	delete(t.records, key)
}

// setPosition records that the record is that of a part, and reports whether that is a change. What an earlier version had told of it
// before, as of a content, is forgotten.
func (r *record) setPosition(position int) bool {
	if position <= r.position {
		return false
	}
	if r.position == 0 {
		clear(r.ends)
	}
	r.position = position
	return true
}

// makeRoom makes room for an end, and reports whether there is some. A part that many requests share meets many ends that
// are not its doing, so that the oldest one is dropped.
func (r *record) makeRoom(e *end) bool {
	if len(r.ends) < maxServers {
		return true
	}
	if r.position == 0 {
		return false
	}
	var oldest Server
	at := e.at
	for server, known := range r.ends {
		if known.at.Before(at) || known.at.Equal(at) && oldest != (Server{}) && CompareServers(server, oldest) < 0 {
			oldest, at = server, known.at
		}
	}
	delete(r.ends, oldest)
	return oldest != (Server{})
}

func (t *Tracker) record(key Key) *record {
	r := t.records[key]
	if r == nil {
		r = &record{ends: make(map[Server]*end)}
		t.records[key] = r
	}
	return r
}

// Completed records that a server ran a request to its end, so the request does not end each
// server that runs it. It returns the contents whose records changed.
//
// If the request was blocked, the servers that ended under it are voided for all contents:
// otherwise those that merely ran beside it would be blamed in its place.
func (t *Tracker) Completed(content Key, now time.Time) []Key {
	r := t.records[content]
	if r == nil || r.count() == 0 {
		return nil
	}
	if !t.Blocked(content) {
		for _, e := range r.ends {
			e.voided = true
		}
		t.changed(content, r)
		return []Key{content}
	}
	var changed []Key
	for _, server := range sortedServers(r.ends) {
		t.voidedContents[server] = now
		changed = append(changed, t.void(server, func(r *record) bool { return r.position == 0 })...)
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// PartsAnswered records an answer to a request with the parts that began at a time. It returns the parts that are less
// suspect now, of which other instances are to be told.
func (t *Tracker) PartsAnswered(parts []Key, software string, beganAt time.Time) []Key {
	var changed []Key
	for _, part := range parts {
		t.answers.add(part, software, beganAt)
		if r := t.records[part]; r != nil && t.prove(part, r, software, beganAt) {
			changed = append(changed, part)
		}
	}
	return changed
}

// prove records an answer to a request with a part and reports whether that lowers the suspicion.
func (t *Tracker) prove(part Key, r *record, software string, at time.Time) bool {
	count, proven := r.count(), r.isProven
	if !r.prove(software, at) {
		return false
	}
	t.changed(part, r)
	return r.count() < count || r.isProven && !proven
}

// Void records that the end of a server is to be held against no request: the server did not end,
// or its end was planned. It returns the requests whose records changed, sorted.
func (t *Tracker) Void(server Server, now time.Time) []Key {
	delete(t.ended, server)
	_, voided := t.voided[server]
	t.voided[server] = now
	if voided {
		return nil // No record has taken up its end as one that counts since.
	}
	return t.void(server, func(*record) bool { return true })
}

// void voids the end of a server in the records that match, and returns those that changed, sorted.
func (t *Tracker) void(server Server, matches func(*record) bool) []Key {
	var changed []Key
	for key, r := range t.records {
		if e := r.ends[server]; e != nil && !e.voided && matches(r) {
			e.voided = true
			t.changed(key, r)
			changed = append(changed, key)
		}
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
	if r := t.records[key]; r == nil || r.count() < MaxEnds {
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

// Has reports whether there is a record of a request.
func (t *Tracker) Has(key Key) bool { return t.records[key] != nil }

// Len returns the number of records.
func (t *Tracker) Len() int { return len(t.records) }

// TakeEvicted returns the number of records dropped for lack of room since the last call.
func (t *Tracker) TakeEvicted() int {
	n := t.evicted
	t.evicted = 0
	return n
}

// TakeDecisions returns how often the blocked requests were determined since the last call.
func (t *Tracker) TakeDecisions() int {
	n := t.decisions
	t.decisions = 0
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
			t.drop(key)
		}
	}
	t.dropUnusedServers()
	for _, voided := range []map[Server]time.Time{t.voided, t.voidedContents} {
		maps.DeleteFunc(voided, func(_ Server, at time.Time) bool { return now.Sub(at) > blockedRetention })
	}
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

// evict drops records if there are too many: of those that are not blocked, the ones with the fewest
// ends, the oldest first. It never drops the record of the given key.
func (t *Tracker) evict(kept Key) {
	if len(t.records) <= maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.records), t.compareUse)
	for _, key := range keys[:evictedRecords] {
		if key != kept {
			t.drop(key)
			t.evicted++
		}
	}
}

// compareUse orders records by their use, those that are dropped first coming first.
func (t *Tracker) compareUse(a, b Key) int {
	ra, rb := t.records[a], t.records[b]
	return cmp.Or(
		cmp.Compare(min(ra.count(), MaxEnds), min(rb.count(), MaxEnds)),
		ra.lastUse().Compare(rb.lastUse()),
		cmp.Compare(a, b),
	)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortedServers(ends map[Server]*end) []Server {
	return slices.SortedFunc(maps.Keys(ends), CompareServers)
}

// CompareServers orders servers by name and incarnation.
func CompareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
