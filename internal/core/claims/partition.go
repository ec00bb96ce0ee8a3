package claims

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Write rate, limits and delays of one partition.
const (
	// fleetWriteRate is the number of writes a second that all partitions together may make
	// while all of them are busy.
	fleetWriteRate = 80
	// WriteInterval is the mean time between the writes of a busy partition. Claims that
	// arrive in between are written together.
	WriteInterval = Partitions * time.Second / fleetWriteRate
	// writeBurst is the number of writes that an idle partition may make at once, so that
	// the few claims of a lightly loaded fleet do not wait for the write interval.
	writeBurst = 6
	// doneBatchDelay is how long a Done record waits to be written together with other
	// records.
	doneBatchDelay = 2 * time.Second
	// maxBatch is the maximum number of records in one write. The last write of a segment
	// may exceed SegmentRecords by up to this number, so that filling a segment exactly
	// needs no short write.
	maxBatch = 256
	// maxQueue limits the requests that wait in one partition.
	maxQueue = 1024
	// minBackoff and maxBackoff are the first and the longest backoff after failed calls.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// reloadDelay limits how often a log that changes while it is loaded is loaded again.
	reloadDelay = 100 * time.Millisecond
	// fullCheckInterval is how long a full ledger is not checked again.
	fullCheckInterval = time.Second
	// maxStateAge is the maximum age of the state on which a request is answered without a
	// write, such as a duplicate. In the meantime, another writer may have released the
	// key. Claims are granted only on the newest state.
	maxStateAge = time.Second
)

// Status is the result of a store call. Its values are those of core.StoreStatus.
type Status string

// Results of a store call.
const (
	// OK means that a read found the key or that a write took effect.
	OK Status = "ok"
	// Conflict means that the version differed and nothing was written.
	Conflict Status = "conflict"
	// Absent means that the key does not exist.
	Absent Status = "absent"
	// Failed means that the call certainly took no effect.
	Failed Status = "failed"
	// Unknown means that a write may have taken effect or may still do so.
	Unknown Status = "unknown"
)

// Call is a store call that a partition requests.
type Call struct {
	Slot int
	// Swap writes Value if the slot has Version. Without it, the slot is read.
	Swap    bool
	Version uint64
	Value   []byte
}

// Result is the result of a Call.
type Result struct {
	Status  Status
	Version uint64
	Value   []byte
}

// Answer is the answer to one request that was added to a partition.
type Answer struct {
	// From is the sender that was passed to Add.
	From  string
	Reply Reply
	// WriteAttempted means that the request was part of at least one write, so that it may
	// be stored whatever the verdict.
	WriteAttempted bool
}

// queuedRequest is a request in the queue or in the batch.
type queuedRequest struct {
	from           string
	req            Request
	added          time.Time
	until          time.Time
	writeAttempted bool
}

// phase is the loading phase of a partition.
type phase uint8

const (
	// unloaded partitions have read nothing of their log.
	unloaded phase = iota
	// searching partitions look for the tail by bisection of the ring.
	searching
	// replaying partitions read the segments before the tail.
	replaying
	// ready partitions have loaded the log up to the tail.
	ready
)

// Partition grants and refuses the claims on the keys of one partition, based on its log.
//
// Any number of instances may write to the same partition at once. Routing the requests to
// one owner only reduces the number of writes.
type Partition struct {
	random  *rand.Rand
	phase   phase
	loading loading
	log     partitionLog
	queue   []*queuedRequest
	batch   []*queuedRequest
	answers []Answer
	// inFlight is the call in flight; there is at most one.
	inFlight *Call
	// tailUncertain is set while the stored tail may differ from the known one.
	tailUncertain bool
	// advancing is set while the slot after a full tail is being read.
	advancing bool
	// syncedAt is when the known log was last equal to the stored one.
	syncedAt time.Time
	// nextWrite is when the next write is due under the write rate, and backoffUntil when
	// the backoff after a failed call ends.
	nextWrite    time.Time
	backoffUntil time.Time
	failures     int
	fullUntil    time.Time
	// distrustUntil is the time until which no claim is granted, after the store lost
	// records.
	distrustUntil time.Time
	lastUsed      time.Time
}

// NewPartition returns a partition that has not loaded its log yet.
func NewPartition(random *rand.Rand) *Partition { return &Partition{random: random} }

// Add queues a request. TakeAnswers returns its answer, which is Unavailable if there is
// no other by the time until. Add returns false if the queue is full.
func (p *Partition) Add(now time.Time, from string, req Request, until time.Time) bool {
	p.lastUsed = now
	if len(p.queue) >= maxQueue {
		return false
	}
	p.queue = append(p.queue, &queuedRequest{from: from, req: req, added: now, until: until})
	return true
}

// IsPending reports whether a request with the token is waiting.
func (p *Partition) IsPending(token uint64) bool {
	hasToken := func(q *queuedRequest) bool { return q.req.Token == token }
	return slices.ContainsFunc(p.queue, hasToken) || slices.ContainsFunc(p.batch, hasToken)
}

// InBackoff reports whether the store calls of this partition are in backoff after
// failures, so that a claim would time out in the queue.
func (p *Partition) InBackoff(now time.Time) bool {
	return p.failures > 0 && now.Before(p.backoffUntil)
}

// Idle reports whether no request is waiting and none was added for the duration unused.
// The log may then be dropped from memory and loaded again later.
func (p *Partition) Idle(now time.Time, unused time.Duration) bool {
	waits := p.inFlight != nil || len(p.queue) > 0 || len(p.batch) > 0
	return !waits && now.Sub(p.lastUsed) > unused && !now.Before(p.distrustUntil)
}

// TakeAnswers returns the answers given since it was last called.
func (p *Partition) TakeAnswers() []Answer {
	answers := p.answers
	p.answers = nil
	return answers
}

// NextCall returns the next store call to make, or nil if there is none now. The caller
// must pass its result to HandleResult.
func (p *Partition) NextCall(now time.Time) *Call {
	if p.inFlight != nil {
		return nil
	}
	p.expireRequests(now)
	if len(p.queue) == 0 || now.Before(p.backoffUntil) {
		return nil
	}
	switch p.phase {
	case unloaded:
		p.loading = loading{}
		p.phase = searching
		p.inFlight = &Call{Slot: 0}
	case searching, replaying:
		p.inFlight = &Call{Slot: p.loading.slot(p.phase)}
	case ready:
		p.inFlight = p.nextReadyCall(now)
	}
	return p.inFlight
}

// nextReadyCall returns the next call of a partition in phase ready.
func (p *Partition) nextReadyCall(now time.Time) *Call {
	if p.tailUncertain {
		return &Call{Slot: p.log.tail.slot()}
	}
	if p.log.tail.full() {
		if now.Before(p.fullUntil) {
			p.refuseFull()
			return nil
		}
		p.advancing = true
		return &Call{Slot: slotOf(p.log.tail.Seq + 1)}
	}
	records, urgent, stale := p.buildBatch(now)
	if stale {
		return &Call{Slot: p.log.tail.slot()}
	}
	if len(records) == 0 || !urgent || !p.allowWrite(now) {
		p.requeueBatch()
		return nil
	}
	for _, q := range p.batch {
		q.writeAttempted = true
	}
	segment := p.log.extendedTail(now, records)
	return &Call{Slot: segment.slot(), Swap: true, Version: p.log.version, Value: segment.Encode()}
}

// allowWrite reports whether the write rate permits a write now, and counts the write if
// so.
func (p *Partition) allowWrite(now time.Time) bool {
	if now.Before(p.nextWrite.Add(-writeBurst * WriteInterval)) {
		return false
	}
	if p.nextWrite.Before(now) {
		p.nextWrite = now
	}
	p.nextWrite = p.nextWrite.Add(WriteInterval)
	return true
}

// buildBatch answers the requests that need no write and moves those that need one to the
// batch. stale means that a request would have been answered on state that may be out of
// date.
func (p *Partition) buildBatch(now time.Time) (records []Record, urgent, stale bool) {
	claimed := make(map[KeyHash]bool)
	released := make(map[KeyHash]uint64)
	var remaining []*queuedRequest
	for _, q := range p.queue {
		if claimed[q.req.Key] || len(p.batch) == maxBatch {
			remaining = append(remaining, q)
			continue
		}
		d := p.log.decide(now, q.req)
		if token, ok := released[q.req.Key]; ok {
			if !p.log.claimableAfterRelease(now, q.req, token) {
				remaining = append(remaining, q)
				continue
			}
			d = decision{write: true, record: q.req.record()}
		}
		switch {
		case d.write && q.req.Set == Claimed && now.Before(p.distrustUntil):
			p.answer(q, Unavailable, 0)
		case d.write:
			if q.req.Set == Released {
				released[q.req.Key] = q.req.Token
			} else {
				claimed[q.req.Key] = true
			}
			p.batch = append(p.batch, q)
			records = append(records, d.record)
			urgent = urgent || q.req.Set != Done || now.Sub(q.added) >= doneBatchDelay
		case now.Sub(p.syncedAt) >= maxStateAge && (d.verdict != Granted || q.req.Set != Claimed):
			stale = true
			remaining = append(remaining, q)
		default:
			p.answer(q, d.verdict, d.first)
		}
	}
	p.queue = remaining
	if stale {
		p.requeueBatch()
	}
	return records, urgent, stale
}

// requeueBatch moves the batch back to the head of the queue.
func (p *Partition) requeueBatch() {
	if len(p.batch) == 0 {
		return
	}
	p.queue = append(p.batch, p.queue...)
	p.batch = nil
}

// expireRequests answers the requests that have waited too long as unavailable.
func (p *Partition) expireRequests(now time.Time) {
	remaining := p.queue[:0]
	for _, q := range p.queue {
		if now.Before(q.until) {
			remaining = append(remaining, q)
			continue
		}
		p.answer(q, Unavailable, 0)
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
}

// refuseFull refuses the queued claims while the ledger is full. Claim ends stay in the
// queue.
func (p *Partition) refuseFull() {
	var remaining []*queuedRequest
	for _, q := range p.queue {
		if q.req.Set == Claimed {
			p.answer(q, Full, 0)
		} else {
			remaining = append(remaining, q)
		}
	}
	p.queue = remaining
}

func (p *Partition) answer(q *queuedRequest, v Verdict, first State) {
	p.answers = append(p.answers, Answer{
		From:           q.from,
		Reply:          Reply{Key: q.req.Key, Token: q.req.Token, Set: q.req.Set, Verdict: v, First: first},
		WriteAttempted: q.writeAttempted,
	})
}
