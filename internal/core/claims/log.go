package claims

import "time"

// partitionLog is the known state of one partition's log: the tail and the effect of all
// records.
type partitionLog struct {
	tail Segment
	// version is the store's version of the tail's slot, 0 while the slot is absent. While
	// a tail has no records, it is not stored yet, and version is that of the slot's
	// previous content.
	version uint64
	// records holds the last record of each key. released holds the released tokens and
	// when they may be dropped.
	records  map[KeyHash]Record
	released map[uint64]uint32
	// expiries holds the expiry of each segment from oldest to the tail.
	oldest   uint64
	expiries []uint32
}

// decision is the result of checking a request against the log: a verdict, or a record to
// write.
type decision struct {
	write   bool
	record  Record
	verdict Verdict
	first   State
}

// decide returns the decision on a request.
//
// A token may claim again after its answer was lost, and its own claim is then granted
// again. It is never granted after its release, which the claimant requests once it has
// reported to its caller that the request did not run. Such a late claim can still be in
// progress at an owner that is slow or was frozen, and would block the key needlessly.
func (l *partitionLog) decide(now time.Time, req Request) decision {
	last, known := l.records[req.Key]
	known = known && !last.expired(now)
	_, released := l.released[req.Token]
	own := known && last.Token == req.Token
	next := req.record()
	switch {
	case req.Set == Claimed && released:
		return decision{verdict: Unavailable}
	case req.Set == Claimed && (!known || last.State == Released):
		return decision{write: true, record: next}
	case req.Set == Claimed && own && last.State == Claimed:
		return decision{verdict: Granted}
	case req.Set == Claimed:
		return decision{verdict: Duplicate, first: last.State}
	case released, own && last.State == Done, req.Set == Done && !own:
		return decision{verdict: Granted}
	default:
		return decision{write: true, record: next}
	}
}

// claimableAfterRelease reports whether a claim may follow the release of a token in the
// same write. Otherwise a caller that gives up and retries soon would wait for two writes,
// give up again, and in a busy partition never succeed.
//
// Records are applied in order, so the release frees the key if the last record of the key
// has the released token. That record can't change before the write, or the write fails.
func (l *partitionLog) claimableAfterRelease(now time.Time, req Request, token uint64) bool {
	if req.Set != Claimed || req.Token == token {
		return false
	}
	if _, released := l.released[req.Token]; released {
		return false
	}
	last, known := l.records[req.Key]
	return !known || last.expired(now) || last.State == Released || last.Token == token
}

// record returns the record that a request writes.
func (r Request) record() Record {
	return Record{Key: r.Key, Token: r.Token, State: r.Set, Expires: r.Expires}
}

// extendedTail returns the tail extended by records, ready to be written.
func (l *partitionLog) extendedTail(now time.Time, records []Record) Segment {
	l.dropExpired(now)
	s := Segment{Seq: l.tail.Seq, Oldest: l.oldest}
	s.Records = append(append(s.Records, l.tail.Records...), records...)
	return s
}

// setTail makes a segment that was read or written the tail.
func (l *partitionLog) setTail(s Segment, version uint64) {
	l.tail, l.version = s, version
	l.apply(s)
}

// apply adds the records of a segment that follows or extends the last one.
func (l *partitionLog) apply(s Segment) {
	if l.records == nil || len(l.expiries) == 0 {
		l.oldest = s.Seq
		l.expiries = nil
	}
	if l.records == nil {
		l.records = make(map[KeyHash]Record)
	}
	if l.released == nil {
		l.released = make(map[uint64]uint32)
	}
	for _, r := range s.Records {
		l.add(r)
	}
	i := int(s.Seq - l.oldest)
	for len(l.expiries) <= i {
		l.expiries = append(l.expiries, 0)
	}
	l.expiries[i] = s.expiry()
}

// add applies one record. A release ends only the claim of its own token.
func (l *partitionLog) add(r Record) {
	if r.State == Released {
		l.released[r.Token] = r.Expires
		if last, known := l.records[r.Key]; known && last.Token != r.Token {
			return
		}
	}
	l.records[r.Key] = r
}

// dropExpired drops expired segments from the front of the log, and expired records with
// them.
func (l *partitionLog) dropExpired(now time.Time) {
	n := 0
	for n < len(l.expiries)-1 && expired(l.expiries[n], now) {
		n++
	}
	if n == 0 {
		return
	}
	l.oldest += uint64(n)
	l.expiries = l.expiries[n:]
	for key, r := range l.records {
		if r.expired(now) {
			delete(l.records, key)
		}
	}
	for token, expires := range l.released {
		if expired(expires, now) {
			delete(l.released, token)
		}
	}
}

// segmentCount returns the number of segments known to have been written to the store.
func (l *partitionLog) segmentCount() uint64 {
	if len(l.tail.Records) == 0 {
		return l.tail.Seq
	}
	return l.tail.Seq + 1
}

// lastExpiry returns when the last of all records expires.
func (l *partitionLog) lastExpiry() time.Time {
	last := uint32(0)
	for _, e := range l.expiries {
		last = max(last, e)
	}
	return time.Unix(int64(last), 0).Add(maxClockSkew)
}
