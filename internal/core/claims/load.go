package claims

import "time"

// loading is how far the reading of a log has come.
//
// Segments lie in the ring in rising order with one step down after the tail, so
// the tail is found by bisection: slot 0 holds segment first, and slot i belongs to
// the same lap exactly if it holds segment first + i.
type loading struct {
	first uint64
	begun bool
	// The tail lies in [low, high).
	low, high int
	tail      Segment
	version   uint64
	// next is the segment to read while filling.
	next uint64
	log  log
}

func (l *loading) slot(p phase) int {
	switch {
	case p == filling:
		return slotOf(l.next)
	case !l.begun:
		return 0
	default:
		return (l.low + l.high) / 2
	}
}

// Replied takes the end of the call that Step returned.
func (r *Range) Replied(now time.Time, res Result) {
	call := r.calling
	r.calling = nil
	if call == nil {
		return
	}
	if call.Swap {
		r.swapped(now, call, res)
		return
	}
	if res.Status != OK && res.Status != Absent {
		r.advancing = false
		r.failed(now)
		return
	}
	var s *Segment
	if res.Status == OK {
		decoded, err := Decode(res.Value)
		if err != nil {
			r.failed(now)
			return
		}
		s = &decoded
	}
	r.failures = 0
	switch r.phase {
	case searching:
		r.searched(now, s, res.Version)
	case filling:
		r.filled(now, s)
	case ready:
		r.read(now, s, res.Version)
	}
}

// failed delays the next call. Spread keeps instances from coming back together.
func (r *Range) failed(now time.Time) {
	r.failures++
	delay := maxDelay
	if r.failures < 8 {
		delay = min(maxDelay, firstDelay<<(r.failures-1))
	}
	r.notBefore = now.Add(delay/2 + time.Duration(r.random.Int64N(int64(delay))))
	r.refuseRemote()
}

// refuseRemote answers the claims of peers while the store fails: the one who asked
// may stand in an availability zone that still reaches it, and writes itself.
func (r *Range) refuseRemote() {
	var rest []*entry
	for _, e := range r.queue {
		if e.req.Set == Claimed && e.from != "" {
			r.answer(e, Unavailable, 0)
		} else {
			rest = append(rest, e)
		}
	}
	r.queue = rest
}

// reload starts over a little later, since the log is not as it was thought to be.
func (r *Range) reload(now time.Time) {
	r.notBefore = now.Add(reloadDelay)
	r.phase, r.unsure, r.advancing = unloaded, false, false
	r.unbatch()
}

// searched takes one step of the bisection.
func (r *Range) searched(now time.Time, s *Segment, version uint64) {
	l := &r.load
	if !l.begun {
		if s == nil {
			r.loaded(now, log{records: make(map[KeyHash]Record)})
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
	r.phase = filling
	if l.next == l.tail.Seq {
		r.tailLoaded(now)
	}
}

// filled takes one segment before the tail. These are full and never written
// again; another one in the slot means that the log has moved on by a whole lap.
func (r *Range) filled(now time.Time, s *Segment) {
	l := &r.load
	if s == nil || s.Seq != l.next {
		r.reload(now)
		r.failed(now)
		return
	}
	l.log.apply(*s)
	l.next++
	if l.next == l.tail.Seq {
		r.tailLoaded(now)
	}
}

func (r *Range) tailLoaded(now time.Time) {
	r.load.log.adopt(r.load.tail, r.load.version)
	r.loaded(now, r.load.log)
}

// loaded ends the loading. A tail that has been written since it was read shows by
// the conflict of the first write; duplicates are refused after another look.
func (r *Range) loaded(now time.Time, l log) {
	if r.log.stored() > l.stored() {
		r.lost()
	}
	r.log, r.load, r.phase = l, loading{}, ready
	r.syncedAt = now.Add(-syncAge)
	r.unsure = false
}

// lost notes that the store came back with an older log than this instance has
// seen: claims are missing from it. Until the last that this instance knows of has
// expired, no claim of the range is granted here. An instance that had not read
// the lost records cannot know; that is left open.
func (r *Range) lost() {
	if until := r.log.latest(); until.After(r.distrust) {
		r.distrust = until
	}
}

// read takes a slot that a ready range has read: that of the tail, to see whether
// it changed, or the one after a full tail.
func (r *Range) read(now time.Time, s *Segment, version uint64) {
	if r.advancing {
		r.advancing = false
		r.advance(now, s, version)
		return
	}
	seq := r.log.tail.Seq
	switch {
	case s != nil && s.Seq == seq && version >= r.log.version:
		r.log.adopt(*s, version)
	case before(s, seq) && len(r.log.tail.Records) == 0 && version >= r.log.version:
		r.log.version = version
	default:
		if s == nil || s.Seq <= seq {
			r.lost()
		}
		r.reload(now)
		return
	}
	r.unsure, r.syncedAt = false, now
}

// before tells whether the slot of segment seq holds what it held before it.
func before(s *Segment, seq uint64) bool {
	if s == nil {
		return seq < Slots
	}
	return s.Seq+Slots == seq
}

// advance goes on to the segment after a full tail. The slot is free if nobody has
// used it in this lap and every record of the lap before has expired.
//
// Slots are never deleted. A writer that was frozen and wakes holds the version of
// a slot as it was; versions only grow, so its write fails once anyone has written
// there. A deleted and created key would begin its versions anew, and the late
// write of a stale tail could then succeed and undo the claims in between.
func (r *Range) advance(now time.Time, s *Segment, version uint64) {
	next := r.log.tail.Seq + 1
	switch {
	case s != nil && s.Seq == next:
		r.log.adopt(*s, version)
		r.syncedAt = now
	case !before(s, next):
		r.reload(now)
	case s != nil && !expired(s.expiry(), now):
		r.fullUntil = now.Add(fullDelay)
		r.refuseFull()
	default:
		r.log.adopt(Segment{Seq: next, Oldest: r.log.oldest}, version)
		r.syncedAt = now
	}
}

// swapped takes the end of a write.
func (r *Range) swapped(now time.Time, call *Call, res Result) {
	switch res.Status {
	case OK:
		r.failures = 0
		r.written(now, call, res.Version)
	case Failed:
		r.unbatch()
		r.failed(now)
	case Conflict:
		r.failures = 0
		r.unbatch()
		r.unsure = true
	default:
		// The write may have taken effect, or may yet. Reading the slot tells if it
		// has: the requests then find their own tokens. If not, they are written
		// again over the same version, of which the store lets one write pass.
		r.unbatch()
		r.unsure = true
		r.failures++
	}
}

// written makes the batch part of the log and answers it.
func (r *Range) written(now time.Time, call *Call, version uint64) {
	s, err := Decode(call.Value)
	if err != nil {
		r.reload(now)
		return
	}
	r.log.adopt(s, version)
	r.syncedAt = now
	for _, e := range r.batch {
		r.answer(e, Granted, 0)
	}
	r.batch = nil
}
