package claims

import "time"

// loading is the progress of reading a log.
//
// Segment numbers increase along the ring, except for one drop right after the tail. The
// tail is therefore found by bisection: slot 0 holds segment first, and slot i belongs to
// the same lap exactly if it holds segment first + i.
type loading struct {
	first   uint64
	started bool
	// The tail is in a slot of [low, high).
	low, high int
	tail      Segment
	version   uint64
	// next is the segment to read next in phase replaying.
	next uint64
	log  partitionLog
}

func (l *loading) slot(current phase) int {
	switch {
	case current == replaying:
		return slotOf(l.next)
	case !l.started:
		return 0
	default:
		return (l.low + l.high) / 2
	}
}

// HandleResult handles the result of the call that NextCall returned.
func (p *Partition) HandleResult(now time.Time, res Result) {
	call := p.inFlight
	p.inFlight = nil
	if call == nil {
		return
	}
	if call.Swap {
		p.handleSwap(now, call, res)
		return
	}
	if res.Status != OK && res.Status != Absent {
		p.advancing = false
		p.backOff(now)
		return
	}
	var s *Segment
	if res.Status == OK {
		decoded, err := Decode(res.Value)
		if err != nil {
			p.backOff(now)
			return
		}
		s = &decoded
	}
	p.failures = 0
	switch p.phase {
	case searching:
		p.bisect(now, s, res.Version)
	case replaying:
		p.replay(now, s)
	case ready:
		p.handleRead(now, s, res.Version)
	}
}

// backOff applies a backoff to the next call. The jitter keeps instances from retrying at
// the same time.
func (p *Partition) backOff(now time.Time) {
	p.failures++
	delay := maxBackoff
	if p.failures < 8 {
		delay = min(maxBackoff, minBackoff<<(p.failures-1))
	}
	p.backoffUntil = now.Add(delay/2 + time.Duration(p.random.Int64N(int64(delay))))
	p.refusePeerClaims()
}

// refusePeerClaims refuses the claims of peers while the store fails. A peer may be in an
// availability zone that still reaches the store, and then writes the claim itself.
func (p *Partition) refusePeerClaims() {
	var remaining []*queuedRequest
	for _, q := range p.queue {
		if q.req.Set == Claimed && q.from != "" {
			p.answer(q, Unavailable, 0)
		} else {
			remaining = append(remaining, q)
		}
	}
	p.queue = remaining
}

// reload restarts loading after a short delay, since the log has changed unexpectedly.
func (p *Partition) reload(now time.Time) {
	p.backoffUntil = now.Add(reloadDelay)
	p.phase, p.tailUncertain, p.advancing = unloaded, false, false
	p.requeueBatch()
}

// bisect makes one step of the bisection.
func (p *Partition) bisect(now time.Time, s *Segment, version uint64) {
	l := &p.loading
	if !l.started {
		if s == nil {
			p.finishLoading(now, partitionLog{records: make(map[KeyHash]Record)})
			return
		}
		*l = loading{started: true, first: s.Seq, high: Slots, tail: *s, version: version}
		return
	}
	mid := (l.low + l.high) / 2
	if s != nil && s.Seq == l.first+uint64(mid) {
		l.low, l.tail, l.version = mid, *s, version
	} else {
		l.high = mid
	}
	if l.high-l.low > 1 {
		return
	}
	l.next = l.tail.Oldest
	p.phase = replaying
	if l.next == l.tail.Seq {
		p.replayTail(now)
	}
}

// replay replays one segment before the tail. These segments are full and never written
// again; a different segment in the slot means that the log has advanced by a whole lap.
func (p *Partition) replay(now time.Time, s *Segment) {
	l := &p.loading
	if s == nil || s.Seq != l.next {
		p.reload(now)
		p.backOff(now)
		return
	}
	l.log.apply(*s)
	l.next++
	if l.next == l.tail.Seq {
		p.replayTail(now)
	}
}

// replayTail adds the tail to the replayed log and completes the loading.
func (p *Partition) replayTail(now time.Time) {
	p.loading.log.setTail(p.loading.tail, p.loading.version)
	p.finishLoading(now, p.loading.log)
}

// finishLoading completes the loading. If the tail was written after it was read, the
// first write fails with a conflict. Duplicates are refused only after another read of the
// tail.
func (p *Partition) finishLoading(now time.Time, l partitionLog) {
	if p.log.segmentCount() > l.segmentCount() {
		p.handleLoss()
	}
	p.log, p.loading, p.phase = l, loading{}, ready
	p.syncedAt = now.Add(-maxStateAge)
	p.tailUncertain = false
}

// handleLoss handles a store that returned an older log than this instance has seen, so
// that claims are missing. No claim of the partition is granted here until the last claim
// known to this instance has expired. An instance that has not read the lost records can't
// detect the loss; this case is not handled.
func (p *Partition) handleLoss() {
	if until := p.log.lastExpiry(); until.After(p.distrustUntil) {
		p.distrustUntil = until
	}
}

// handleRead handles a slot read in phase ready: either that of the tail, to detect
// changes, or the one after a full tail.
func (p *Partition) handleRead(now time.Time, s *Segment, version uint64) {
	if p.advancing {
		p.advancing = false
		p.advance(now, s, version)
		return
	}
	seq := p.log.tail.Seq
	switch {
	case s != nil && s.Seq == seq && version >= p.log.version:
		p.log.setTail(*s, version)
	case holdsPreviousLap(s, seq) && len(p.log.tail.Records) == 0 && version >= p.log.version:
		p.log.version = version
	default:
		if s == nil || s.Seq <= seq {
			p.handleLoss()
		}
		p.reload(now)
		return
	}
	p.tailUncertain, p.syncedAt = false, now
}

// holdsPreviousLap reports whether the slot of segment seq still holds the segment of the
// lap before, or nothing on the first lap.
func holdsPreviousLap(s *Segment, seq uint64) bool {
	if s == nil {
		return seq < Slots
	}
	return s.Seq+Slots == seq
}

// advance moves on to the segment after a full tail. The slot is free if it has not been
// written in this lap and every record of the lap before has expired.
//
// Slots are never deleted. A writer that was frozen and resumes holds an old version of a
// slot. Versions only grow, so its write fails if the slot has been written since. If a
// key were deleted and created again, its versions would restart, and the late write of a
// stale tail could succeed and undo the claims made in between.
func (p *Partition) advance(now time.Time, s *Segment, version uint64) {
	next := p.log.tail.Seq + 1
	switch {
	case s != nil && s.Seq == next:
		p.log.setTail(*s, version)
		p.syncedAt = now
	case !holdsPreviousLap(s, next):
		p.reload(now)
	case s != nil && !expired(s.expiry(), now):
		p.fullUntil = now.Add(fullCheckInterval)
		p.refuseFull()
	default:
		p.log.setTail(Segment{Seq: next, Oldest: p.log.oldest}, version)
		p.syncedAt = now
	}
}

// handleSwap handles the result of a write.
func (p *Partition) handleSwap(now time.Time, call *Call, res Result) {
	switch res.Status {
	case OK:
		p.failures = 0
		p.commitBatch(now, call, res.Version)
	case Failed:
		p.requeueBatch()
		p.backOff(now)
	case Conflict:
		p.failures = 0
		p.requeueBatch()
		p.tailUncertain = true
	default:
		// The write may have taken effect or may still do so. Reading the slot shows
		// whether it has: the requests are then found with their own tokens. If not, they
		// are written again over the same version, and the store accepts only one write
		// per version.
		p.requeueBatch()
		p.tailUncertain = true
		p.failures++
	}
}

// commitBatch adds the batch to the log and grants its requests.
func (p *Partition) commitBatch(now time.Time, call *Call, version uint64) {
	s, err := Decode(call.Value)
	if err != nil {
		p.reload(now)
		return
	}
	p.log.setTail(s, version)
	p.syncedAt = now
	for _, q := range p.batch {
		p.answer(q, Granted, 0)
	}
	p.batch = nil
}
