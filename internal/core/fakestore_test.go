package core_test

import (
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
	fleet *fleet
	keys  map[string]*fakeValue
	down  bool
	delay time.Duration
	// entries holds the changes of the backend servers' entries, numbered from 1.
	entries []core.BackendEntry
	// watchers are called on each change of the entries.
	watchers []func()
	// watchHold is how long a watch waits for a change, and silentCut is set if an instance that
	// is cut off learns of it at the time limit of its call only.
	watchHold time.Duration
	silentCut bool
	// lostReplyShare is the share of writes that take effect but whose reply is lost,
	// lostWriteShare the share that never take effect, and lateWriteShare the share that take
	// effect after the reply.
	lostReplyShare, lostWriteShare, lateWriteShare float64
	// registrations holds the instances' own entries by name.
	registrations map[string]registration
	lastLease     uint64
}

// latency returns the time until a reply: 1 to 5 ms plus the injected delay.
func (s *fakeStore) latency() time.Duration {
	return s.delay + time.Millisecond + time.Duration(s.fleet.random.Int64N(int64(4*time.Millisecond)))
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
func (s *fakeStore) unreachableFrom(m *fakeInstance) bool { return s.down || s.fleet.platformCut(m) }

func (s *fakeStore) get(m *fakeInstance, e core.StoreGet) {
	if s.unreachableFrom(m) {
		s.fleet.reply(m, storeTimeout, core.StoreReplied{Op: e.Op, Status: core.StoreFailed})
		return
	}
	delay := s.latency()
	if delay > storeTimeout {
		s.fleet.reply(m, storeTimeout, core.StoreReplied{Op: e.Op, Status: core.StoreUnknown})
		return
	}
	s.fleet.schedule(delay, func() {
		v := s.value(e.Key)
		r := core.StoreReplied{Op: e.Op, Status: core.StoreOK, Version: v.version, Value: v.value}
		if v.version == 0 {
			r.Status = core.StoreAbsent
		}
		s.fleet.reply(m, time.Millisecond, r)
	})
}

// swap handles a compare-and-swap with the injected faults.
func (s *fakeStore) swap(m *fakeInstance, e core.StoreSwap) {
	f := s.fleet
	unknown := core.StoreReplied{Op: e.Op, Status: core.StoreUnknown}
	if s.unreachableFrom(m) {
		f.reply(m, storeTimeout, unknown)
		return
	}
	delay := s.latency()
	switch p := f.random.Float64(); {
	case p < s.lostWriteShare:
		f.reply(m, storeTimeout, unknown)
	case p < s.lostWriteShare+s.lateWriteShare:
		f.reply(m, storeTimeout, unknown)
		f.schedule(delay+time.Duration(f.random.Int64N(int64(10*time.Second))), func() { s.write(e) })
	case p < s.lostWriteShare+s.lateWriteShare+s.lostReplyShare, delay > storeTimeout:
		f.schedule(delay, func() { s.write(e) })
		f.reply(m, storeTimeout, unknown)
	default:
		f.schedule(delay, func() { f.reply(m, time.Millisecond, s.write(e)) })
	}
}

// write applies a compare-and-swap.
func (s *fakeStore) write(e core.StoreSwap) core.StoreReplied {
	v := s.value(e.Key)
	if v.version != e.Version {
		return core.StoreReplied{Op: e.Op, Status: core.StoreConflict}
	}
	v.value, v.version = e.Value, v.version+1
	if strings.HasPrefix(e.Key, "ebonydyke/claims") {
		s.fleet.calls["claim-write"]++
		s.fleet.calls["claim-bytes"] += len(e.Value)
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

// watch replies once the value changes, or after watchHold without a change.
func (s *fakeStore) watch(m *fakeInstance, e core.StoreWatch) {
	if s.unreachableFrom(m) {
		s.fleet.reply(m, storeTimeout, core.StoreReplied{Op: e.Op, Status: core.StoreFailed})
		return
	}
	v := s.value(e.Key)
	reply := func(status core.StoreStatus) core.Event {
		if v.version == 0 {
			status = core.StoreAbsent
		}
		return core.StoreReplied{Op: e.Op, Status: status, Version: v.version, Value: v.value}
	}
	held := s.hold(m, core.StoreReplied{Op: e.Op, Status: core.StoreUnknown})
	if v.version != e.Version {
		held.answer(reply(core.StoreOK))
		return
	}
	v.waiters = append(v.waiters, func() { held.answer(reply(core.StoreOK)) })
	s.fleet.schedule(s.watchHold, func() { held.answer(reply(core.StoreUnchanged)) })
}

// heldCall is a call that the store holds. It ends with the first answer that reaches the
// instance. An answer to an instance that is cut off is lost, and the instance learns nothing
// before the call's time limit.
type heldCall struct {
	store    *fakeStore
	instance *fakeInstance
	failed   core.Event
	ended    bool
}

// hold starts a held call, which ends with the event failed at its time limit.
func (s *fakeStore) hold(m *fakeInstance, failed core.Event) *heldCall {
	held := &heldCall{store: s, instance: m}
	held.failed = failed
	s.fleet.schedule(s.watchHold+watchSlack, func() { held.end(0, failed) })
	return held
}

func (c *heldCall) answer(event core.Event) {
	switch {
	case !c.store.unreachableFrom(c.instance):
		c.end(c.store.latency(), event)
	case !c.store.silentCut:
		c.end(c.store.latency(), c.failed)
	}
}

func (c *heldCall) end(delay time.Duration, event core.Event) {
	if !c.ended {
		c.ended = true
		c.store.fleet.reply(c.instance, delay, event)
	}
}
