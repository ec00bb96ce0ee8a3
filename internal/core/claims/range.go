package claims

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pace and bounds of one range.
const (
	// fleetWrites is the number of writes a second that all ranges together may
	// cost the store while every one of them is busy.
	fleetWrites = 80
	// WriteInterval is the mean time between the writes of a busy range: claims that
	// arrive in between are written together.
	WriteInterval = Ranges * time.Second / fleetWrites
	// writeBurst is the number of writes that a range which has been quiet may make
	// ahead of its pace, so that the few claims of a quiet fleet do not wait for it.
	writeBurst = 6
	// doneDelay is how long the record that a request was answered waits for other
	// records to be written with.
	doneDelay = 2 * time.Second
	// maxBatch is the number of records of one write. The last write of a segment may
	// go beyond SegmentRecords by as many, so that a full one needs no short write.
	maxBatch = 256
	// maxQueue bounds the requests that wait in one range.
	maxQueue = 1024
	// firstDelay and maxDelay bound the back-off after failed calls.
	firstDelay = 200 * time.Millisecond
	maxDelay   = 5 * time.Second
	// reloadDelay keeps a log that changes while it is read from being read without
	// end.
	reloadDelay = 100 * time.Millisecond
	// fullDelay is how long a full ledger is not asked again.
	fullDelay = time.Second
	// syncAge is how old the knowledge of the log may be on which a request is
	// answered without a write, such as a duplicate that is refused: meanwhile another
	// writer may have released the key. A claim is granted on none but the newest.
	syncAge = time.Second
)

// Status says how a call on the store ended, in the words of the core's events.
type Status string

// The ends of a call.
const (
	// OK means that a read found the key or a write took effect.
	OK Status = "ok"
	// Conflict means that the version differed and nothing was written.
	Conflict Status = "conflict"
	// Absent means that the key does not exist.
	Absent Status = "absent"
	// Failed means that the call surely took no effect.
	Failed Status = "failed"
	// Unknown means that a write may have taken effect, or may yet.
	Unknown Status = "unknown"
)

// Call is a call on the store that a range wants made.
type Call struct {
	Slot int
	// Swap writes Value over Version; otherwise the slot is read.
	Swap    bool
	Version uint64
	Value   []byte
}

// Result is the end of a Call.
type Result struct {
	Status  Status
	Version uint64
	Value   []byte
}

// Answer is the answer to one request that was added to a range.
type Answer struct {
	// From is what Add was given.
	From  string
	Reply Reply
	// Written says that the request was part of a write at some time, so that it
	// may be in the store whatever the verdict.
	Written bool
}

// entry is a request that waits.
type entry struct {
	from    string
	req     Request
	added   time.Time
	until   time.Time
	written bool
}

// phase is what a range does next.
type phase uint8

const (
	// unloaded ranges know nothing of their log.
	unloaded phase = iota
	// searching ranges look for the tail by bisection of the ring.
	searching
	// filling ranges read the segments before the tail.
	filling
	// ready ranges know the log up to the tail.
	ready
)

// Range decides about the keys of one range from what its log says.
//
// Any number of instances may work on the same range at once; the one that the
// fleet takes for its owner only saves the others' writes.
type Range struct {
	random  *rand.Rand
	phase   phase
	load    loading
	log     log
	queue   []*entry
	batch   []*entry
	answers []Answer
	// calling is the call under way; at most one is.
	calling *Call
	// unsure is set while the tail in the store may differ from the one known.
	unsure bool
	// advancing is set while the slot after a full tail is read.
	advancing bool
	syncedAt  time.Time
	nextWrite time.Time
	notBefore time.Time
	failures  int
	fullUntil time.Time
	// distrust is until when no claim is granted, after the store lost records.
	distrust time.Time
	usedAt   time.Time
}

// NewRange returns a range that has not read its log yet.
func NewRange(random *rand.Rand) *Range { return &Range{random: random} }

// Add queues a request; it is answered by Take, as unavailable if nothing else is
// known at the time until. It returns false if the queue is full.
func (r *Range) Add(now time.Time, from string, req Request, until time.Time) bool {
	r.usedAt = now
	if len(r.queue) >= maxQueue {
		return false
	}
	r.queue = append(r.queue, &entry{from: from, req: req, added: now, until: until})
	return true
}

// Waits tells whether a request of a token waits already.
func (r *Range) Waits(token uint64) bool {
	same := func(e *entry) bool { return e.req.Token == token }
	return slices.ContainsFunc(r.queue, same) || slices.ContainsFunc(r.batch, same)
}

// Away tells whether the store does not answer for this range, so that a claim
// would wait in vain.
func (r *Range) Away(now time.Time) bool { return r.failures > 0 && now.Before(r.notBefore) }

// Idle tells whether nothing waits and nothing has been asked for a time, so that
// the log may be dropped from memory and read again later.
func (r *Range) Idle(now time.Time, unused time.Duration) bool {
	waits := r.calling != nil || len(r.queue) > 0 || len(r.batch) > 0
	return !waits && now.Sub(r.usedAt) > unused && !now.Before(r.distrust)
}

// Take returns the answers since it was last called.
func (r *Range) Take() []Answer {
	answers := r.answers
	r.answers = nil
	return answers
}

// Step returns the next call to make, or nil if there is none now. Its end must
// be told by Replied.
func (r *Range) Step(now time.Time) *Call {
	if r.calling != nil {
		return nil
	}
	r.expire(now)
	if len(r.queue) == 0 || now.Before(r.notBefore) {
		return nil
	}
	switch r.phase {
	case unloaded:
		r.load = loading{}
		r.phase = searching
		r.calling = &Call{Slot: 0}
	case searching, filling:
		r.calling = &Call{Slot: r.load.slot(r.phase)}
	case ready:
		r.calling = r.work(now)
	}
	return r.calling
}

// work gives the next call of a range that knows its log.
func (r *Range) work(now time.Time) *Call {
	if r.unsure {
		return &Call{Slot: r.log.tail.slot()}
	}
	if r.log.tail.full() {
		if now.Before(r.fullUntil) {
			r.refuseFull()
			return nil
		}
		r.advancing = true
		return &Call{Slot: slotOf(r.log.tail.Seq + 1)}
	}
	records, urgent, stale := r.decide(now)
	if stale {
		return &Call{Slot: r.log.tail.slot()}
	}
	if len(records) == 0 || !urgent || !r.paced(now) {
		r.unbatch()
		return nil
	}
	for _, e := range r.batch {
		e.written = true
	}
	segment := r.log.with(now, records)
	return &Call{Slot: segment.slot(), Swap: true, Version: r.log.version, Value: segment.Encode()}
}

// paced takes a write from the pace of the range and tells whether it had one.
func (r *Range) paced(now time.Time) bool {
	if now.Before(r.nextWrite.Add(-writeBurst * WriteInterval)) {
		return false
	}
	if r.nextWrite.Before(now) {
		r.nextWrite = now
	}
	r.nextWrite = r.nextWrite.Add(WriteInterval)
	return true
}

// decide answers what needs no write and moves to the batch what does. Stale says
// that something would be answered on knowledge that may be out of date.
func (r *Range) decide(now time.Time) (records []Record, urgent, stale bool) {
	taken := make(map[KeyHash]bool)
	freed := make(map[KeyHash]uint64)
	var rest []*entry
	for _, e := range r.queue {
		if taken[e.req.Key] || len(r.batch) == maxBatch {
			rest = append(rest, e)
			continue
		}
		d := r.log.decide(now, e.req)
		if token, ok := freed[e.req.Key]; ok {
			if !r.log.freedFor(now, e.req, token) {
				rest = append(rest, e)
				continue
			}
			d = decision{write: true, record: e.req.record()}
		}
		switch {
		case d.write && e.req.Set == Claimed && now.Before(r.distrust):
			r.answer(e, Unavailable, 0)
		case d.write:
			if e.req.Set == Released {
				freed[e.req.Key] = e.req.Token
			} else {
				taken[e.req.Key] = true
			}
			r.batch = append(r.batch, e)
			records = append(records, d.record)
			urgent = urgent || e.req.Set != Done || now.Sub(e.added) >= doneDelay
		case now.Sub(r.syncedAt) >= syncAge && (d.verdict != Granted || e.req.Set != Claimed):
			stale = true
			rest = append(rest, e)
		default:
			r.answer(e, d.verdict, d.first)
		}
	}
	r.queue = rest
	if stale {
		r.unbatch()
	}
	return records, urgent, stale
}

// unbatch puts the batch back to the head of the queue.
func (r *Range) unbatch() {
	if len(r.batch) == 0 {
		return
	}
	r.queue = append(r.batch, r.queue...)
	r.batch = nil
}

// expire gives up the requests that have waited long enough.
func (r *Range) expire(now time.Time) {
	rest := r.queue[:0]
	for _, e := range r.queue {
		if now.Before(e.until) {
			rest = append(rest, e)
			continue
		}
		r.answer(e, Unavailable, 0)
	}
	clear(r.queue[len(rest):])
	r.queue = rest
}

// refuseFull answers the claims while the ledger has no room; ends of claims wait.
func (r *Range) refuseFull() {
	var rest []*entry
	for _, e := range r.queue {
		if e.req.Set == Claimed {
			r.answer(e, Full, 0)
		} else {
			rest = append(rest, e)
		}
	}
	r.queue = rest
}

func (r *Range) answer(e *entry, v Verdict, first State) {
	r.answers = append(r.answers, Answer{
		From:    e.from,
		Reply:   Reply{Key: e.req.Key, Token: e.req.Token, Set: e.req.Set, Verdict: v, First: first},
		Written: e.written,
	})
}
