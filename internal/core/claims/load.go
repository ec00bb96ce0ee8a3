package claims

import "time"

// loading is the progress of reading a log.
//
// Segment numbers increase along the ring, except for one drop right after the tail. The
// tail is therefore found by bisection: slot 0 holds segment first, and slot i belongs to
// the same lap exactly if it holds segment first + i.
type loading struct {
	first uint64
	begun bool
	// The tail is in a slot of [low, high).
	low, high int
	tail      Segment
	version   uint64
	// next is the segment to read next in phase filling.
	next uint64
	log  log
}

func (l *loading) slot(current phase) int {
	switch {
	case current == filling:
		return slotOf(l.next)
	case !l.begun:
		return 0
	default:
		return (l.low + l.high) / 2
	}
}

// Replied handles the result of the call that Step returned.
func (p *Range) Replied(now time.Time, res Result) {
	call := p.calling
	p.calling = nil
	if call == nil {
		return
	}
	if call.Swap {
		p.swapped(now, call, res)
		return
	}
	if res.Status != OK && res.Status != Absent {
		p.advancing = false
		p.failed(now)
		return
	}
	var s *Segment
	if res.Status == OK {
		decoded, err := Decode(res.Value)
		if err != nil {
			p.failed(now)
			return
		}
		s = &decoded
	}
	p.failures = 0
	switch p.phase {
	case searching:
		p.searched(now, s, res.Version)
	case filling:
		p.filled(now, s)
	case ready:
		p.read(now, s, res.Version)
	}
}

// failed applies a backoff to the next call. The jitter keeps instances from retrying at
// the same time.
func (p *Range) failed(now time.Time) {
	p.failures++
	delay := maxDelay
	if p.failures < 8 {
		delay = min(maxDelay, firstDelay<<(p.failures-1))
	}
	p.notBefore = now.Add(delay/2 + time.Duration(p.random.Int64N(int64(delay))))
	p.refuseRemote()
}

// refuseRemote refuses the claims of peers while the store fails. A peer may be in an
// availability zone that still reaches the store, and then writes the claim itself.
func (p *Range) refuseRemote() {
	var remaining []*entry
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
func (p *Range) reload(now time.Time) {
	p.notBefore = now.Add(reloadDelay)
	p.phase, p.unsure, p.advancing = unloaded, false, false
	p.unbatch()
}

// searched makes one step of the bisection.
func (p *Range) searched(now time.Time, s *Segment, version uint64) {
	l := &p.load
	if !l.begun {
		if s == nil {
			p.loaded(now, log{records: make(map[KeyHash]Record)})
			return
		}
		*l = loading{begun: true, first: s.Seq, high: Slots, tail: *s, version: version}
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
	p.phase = filling
	if l.next == l.tail.Seq {
		p.tailLoaded(now)
	}
}

// filled replays one segment before the tail. These segments are full and never written
// again; a different segment in the slot means that the log has advanced by a whole lap.
func (p *Range) filled(now time.Time, s *Segment) {
	l := &p.load
	if s == nil || s.Seq != l.next {
		p.reload(now)
		p.failed(now)
		return
	}
	l.log.apply(*s)
	l.next++
	if l.next == l.tail.Seq {
		p.tailLoaded(now)
	}
}

// tailLoaded adds the tail to the replayed log and completes the loading.
func (p *Range) tailLoaded(now time.Time) {
	p.load.log.adopt(p.load.tail, p.load.version)
	p.loaded(now, p.load.log)
}

// loaded completes the loading. If the tail was written after it was read, the first write
// fails with a conflict. Duplicates are refused only after another read of the tail.
func (p *Range) loaded(now time.Time, l log) {
	if p.log.stored() > l.stored() {
		p.lost()
	}
	p.log, p.load, p.phase = l, loading{}, ready
	p.syncedAt = now.Add(-syncAge)
	p.unsure = false
}

// lost handles a store that returned an older log than this instance has seen, so that
// claims are missing. No claim of the partition is granted here until the last claim known
// to this instance has expired. An instance that has not read the lost records can't
// detect the loss; this case is not handled.
func (p *Range) lost() {
	if until := p.log.latest(); until.After(p.distrust) {
		p.distrust = until
	}
}

// read handles a slot read in phase ready: either that of the tail, to detect changes, or
// the one after a full tail.
func (p *Range) read(now time.Time, s *Segment, version uint64) {
	if p.advancing {
		p.advancing = false
		p.advance(now, s, version)
		return
	}
	seq := p.log.tail.Seq
	switch {
	case s != nil && s.Seq == seq && version >= p.log.version:
		p.log.adopt(*s, version)
	case before(s, seq) && len(p.log.tail.Records) == 0 && version >= p.log.version:
		p.log.version = version
	default:
		if s == nil || s.Seq <= seq {
			p.lost()
		}
		p.reload(now)
		return
	}
	p.unsure, p.syncedAt = false, now
}

// before reports whether the slot of segment seq still holds the segment of the lap
// before, or nothing on the first lap.
func before(s *Segment, seq uint64) bool {
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
func (p *Range) advance(now time.Time, s *Segment, version uint64) {
	next := p.log.tail.Seq + 1
	switch {
	case s != nil && s.Seq == next:
		p.log.adopt(*s, version)
		p.syncedAt = now
	case !before(s, next):
		p.reload(now)
	case s != nil && !expired(s.expiry(), now):
		p.fullUntil = now.Add(fullDelay)
		p.refuseFull()
	default:
		p.log.adopt(Segment{Seq: next, Oldest: p.log.oldest}, version)
		p.syncedAt = now
	}
}

// swapped handles the result of a write.
func (p *Range) swapped(now time.Time, call *Call, res Result) {
	switch res.Status {
	case OK:
		p.failures = 0
		p.written(now, call, res.Version)
	case Failed:
		p.unbatch()
		p.failed(now)
	case Conflict:
		p.failures = 0
		p.unbatch()
		p.unsure = true
	default:
		// The write may have taken effect or may still do so. Reading the slot shows
		// whether it has: the requests are then found with their own tokens. If not, they
		// are written again over the same version, and the store accepts only one write
		// per version.
		p.unbatch()
		p.unsure = true
		p.failures++
	}
}

// written adds the batch to the log and grants its requests.
func (p *Range) written(now time.Time, call *Call, version uint64) {
	s, err := Decode(call.Value)
	if err != nil {
		p.reload(now)
		return
	}
	p.log.adopt(s, version)
	p.syncedAt = now
	for _, q := range p.batch {
		p.answer(q, Granted, 0)
	}
	p.batch = nil
}
