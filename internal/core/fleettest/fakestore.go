package fleettest

import (
	"cmp"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// fakeValue is a stored value, its version and the watches that wait for its next change.
type fakeValue struct {
	value   []byte
	version uint64
	waiters []func()
}

// fakeStore is a linearizable store with injected faults: replies may be delayed, or lost after the
// write took effect, and writes may take effect after the reply.
type fakeStore struct {
	fleet *Fleet
	keys  map[string]*fakeValue
	Down  bool
	delay time.Duration
	// entries holds the changes of the backend servers' entries and of the poison records beside
	// them, numbered from 1.
	entries []storedChange
	// watchers are called on each of these changes.
	watchers []func()
	// lostReplyShare is the share of writes that take effect but whose reply is lost,
	// lostWriteShare the share that never take effect, and lateWriteShare the share that take
	// effect after the reply.
	lostReplyShare, lostWriteShare, lateWriteShare float64
	// registrations holds the instances' own entries by name.
	registrations map[string]registration
	lastLease     uint64
	// historyRevision is the revision of the software history, 0 if there is none.
	historyRevision uint64
	// streams holds the stored records of streams by instance and incarnation.
	streams map[string]storedStreams
	// SilencedAt is the time before which connections were opened that have gone silent since.
	SilencedAt time.Time
}

// latency returns the time until a reply: 1 to 5 ms plus the injected delay.
func (s *fakeStore) latency() time.Duration {
	return s.delay + time.Millisecond + time.Duration(s.fleet.Random.Int64N(int64(4*time.Millisecond)))
}

// value returns the stored value of a key and creates it if necessary.
func (s *fakeStore) value(key string) *fakeValue {
	v := s.keys[key]
	if v == nil {
		v = &fakeValue{}
		s.keys[key] = v
	}
	return v
}

// unreachableFrom reports whether an instance cannot reach the store.
func (s *fakeStore) unreachableFrom(m *FakeInstance) bool { return s.Down || s.fleet.PlatformCut(m) }

func (s *fakeStore) get(m *FakeInstance, e core.StoreGet) {
	call := s.begin(m, cmp.Or(e.Timeout, storeTimeout), core.StoreReplied{Op: e.Op, Status: core.StoreFailed})
	call.answer(func() core.Event {
		v := s.value(e.Key)
		r := core.StoreReplied{Op: e.Op, Status: core.StoreOK, Version: v.version, Value: v.value}
		if v.version == 0 {
			r.Status = core.StoreAbsent
		}
		return r
	})
}

// swap handles a compare-and-swap with the injected faults.
func (s *fakeStore) swap(m *FakeInstance, e core.StoreSwap) {
	f := s.fleet
	unknown := core.StoreReplied{Op: e.Op, Status: core.StoreUnknown}
	if s.unreachableFrom(m) {
		f.Reply(m, storeTimeout, unknown)
		return
	}
	delay := s.latency()
	switch p := f.Random.Float64(); {
	case p < s.lostWriteShare:
		f.Reply(m, storeTimeout, unknown)
	case p < s.lostWriteShare+s.lateWriteShare:
		f.Reply(m, storeTimeout, unknown)
		f.Schedule(delay+time.Duration(f.Random.Int64N(int64(10*time.Second))), func() { s.write(e) })
	case p < s.lostWriteShare+s.lateWriteShare+s.lostReplyShare, delay > storeTimeout:
		f.Schedule(delay, func() { s.write(e) })
		f.Reply(m, storeTimeout, unknown)
	default:
		f.Schedule(delay, func() { f.Reply(m, time.Millisecond, s.write(e)) })
	}
}

// write applies a compare-and-swap.
func (s *fakeStore) write(e core.StoreSwap) core.StoreReplied {
	if e.Key == core.SoftwareHistoryKey {
		return s.writeHistory(e)
	}
	v := s.value(e.Key)
	if v.version != e.Version {
		return core.StoreReplied{Op: e.Op, Status: core.StoreConflict}
	}
	v.value, v.version = e.Value, v.version+1
	if strings.HasPrefix(e.Key, "ebonydyke/claims") {
		s.fleet.Calls["claim-write"]++
		s.fleet.Calls["claim-bytes"] += len(e.Value)
	}
	s.notifyWaiters(v)
	return core.StoreReplied{Op: e.Op, Status: core.StoreOK, Version: v.version}
}

// notifyWaiters calls the waiters of a value.
func (s *fakeStore) notifyWaiters(v *fakeValue) {
	waiters := v.waiters
	v.waiters = nil
	for _, waiter := range waiters {
		waiter()
	}
}

// watch replies once the value changes, or without a change at the end of the hold.
func (s *fakeStore) watch(m *FakeInstance, e core.StoreWatch) {
	v := s.value(e.Key)
	reply := func(status core.StoreStatus) func() core.Event {
		return func() core.Event {
			if v.version == 0 {
				status = core.StoreAbsent
			}
			return core.StoreReplied{Op: e.Op, Status: status, Version: v.version, Value: v.value}
		}
	}
	call := s.begin(m, e.Timeout, core.StoreReplied{Op: e.Op, Status: core.StoreUnknown})
	if v.version != e.Version {
		call.answer(reply(core.StoreOK))
		return
	}
	v.waiters = append(v.waiters, func() { call.answer(reply(core.StoreOK)) })
	s.fleet.Schedule(e.Hold, func() { call.answer(reply(core.StoreUnchanged)) })
}

// fakeCall is a call of an instance. It ends with the first answer that reaches the instance, or
// at its time limit. An answer to an instance that is cut off is lost without a sign.
type fakeCall struct {
	store    *fakeStore
	instance *FakeInstance
	begunAt  time.Time
	answered bool
	ended    bool
}

// begin starts a call, which ends with the event failed at its time limit.
func (s *fakeStore) begin(m *FakeInstance, timeout time.Duration, failed core.Event) *fakeCall {
	c := &fakeCall{store: s, instance: m, begunAt: s.fleet.Now, answered: s.unreachableFrom(m)}
	s.fleet.Schedule(timeout, func() { c.end(failed) })
	return c
}

// answer sends the first answer of the call.
func (c *fakeCall) answer(event func() core.Event) {
	if c.answered {
		return
	}
	c.answered = true
	if c.store.unreachableFrom(c.instance) || c.begunAt.Before(c.store.SilencedAt) {
		return
	}
	c.store.fleet.Schedule(c.store.latency(), func() { c.end(event()) })
}

func (c *fakeCall) end(event core.Event) {
	if !c.ended {
		c.ended = true
		c.store.fleet.Reply(c.instance, time.Millisecond, event)
	}
}
