package claims

import "time"

// log is what a range knows of its log: the tail and what all records add up to.
type log struct {
	tail Segment
	// version is the store's version of the tail's slot, 0 while the slot is absent.
	// A tail without records is not in the store yet: the version is then that of
	// what the slot held before.
	version uint64
	// records holds the last record of each key, and released the tokens that were
	// released and when that may be forgotten.
	records  map[KeyHash]Record
	released map[uint64]uint32
	// expiries are when the segments from oldest up to the tail expire.
	oldest   uint64
	expiries []uint32
}

// decision is what the log says of a request: a verdict, or a record to write.
type decision struct {
	write   bool
	record  Record
	verdict Verdict
	first   State
}

// decide tells what follows from the log for a request.
//
// The same token asks again after a lost answer, so its own claim is granted
// again; but never after its release, which the claimant asks for once it has told
// its caller that the request did not run. A claim can still be under way then at
// an owner that is slow or was frozen, and would block the key for nothing.
func (l *log) decide(now time.Time, req Request) decision {
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

// freedFor tells whether a claim may be written right behind the release of a token
// in the same write. A caller that gives up and comes back soon would otherwise wait
// for two writes, give up again, and in a busy range never get through.
//
// It holds because records are applied in their order: the release frees the key if
// the last record of it is the released token's, and whether it is cannot change
// before the write, or the write fails.
func (l *log) freedFor(now time.Time, req Request, token uint64) bool {
	if req.Set != Claimed || req.Token == token {
		return false
	}
	if _, released := l.released[req.Token]; released {
		return false
	}
	last, known := l.records[req.Key]
	return !known || last.expired(now) || last.State == Released || last.Token == token
}

// record is what a request wants written.
func (r Request) record() Record {
	return Record{Key: r.Key, Token: r.Token, State: r.Set, Expires: r.Expires}
}

// with returns the tail with more records, as it is to be written.
func (l *log) with(now time.Time, records []Record) Segment {
	l.forget(now)
	s := Segment{Seq: l.tail.Seq, Oldest: l.oldest}
	s.Records = append(append(s.Records, l.tail.Records...), records...)
	return s
}

// adopt takes a segment read from the store, or written to it, as the tail.
func (l *log) adopt(s Segment, version uint64) {
	l.tail, l.version = s, version
	l.apply(s)
}

// apply adds a segment that follows, or extends, the last one.
func (l *log) apply(s Segment) {
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
func (l *log) add(r Record) {
	if r.State == Released {
		l.released[r.Token] = r.Expires
		if last, known := l.records[r.Key]; known && last.Token != r.Token {
			return
		}
	}
	l.records[r.Key] = r
}

// forget drops what has expired from the front of the log.
func (l *log) forget(now time.Time) {
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
	for token, at := range l.released {
		if expired(at, now) {
			delete(l.released, token)
		}
	}
}

// stored is the number of segments that the store is known to have had.
func (l *log) stored() uint64 {
	if len(l.tail.Records) == 0 {
		return l.tail.Seq
	}
	return l.tail.Seq + 1
}

// latest is when the last record of all expires.
func (l *log) latest() time.Time {
	last := uint32(0)
	for _, e := range l.expiries {
		last = max(last, e)
	}
	return time.Unix(int64(last), 0).Add(clockMargin)
}
