package fleettest

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// tenthOfCall is the price of a lease renewal or a stale read, in calls.
const tenthOfCall = 0.1

// staleReadAge is the age of the data that a stale read returns.
const staleReadAge = 700 * time.Millisecond

// registration is an instance's entry in the fake store.
type registration struct {
	instance membership.Member
	lease    uint64
	at       time.Time
	ends     time.Time
	ttl      time.Duration
}

func (s *fakeStore) listInstances(m *FakeInstance, e core.ListInstances) {
	f := s.fleet
	reply := core.InstancesListed{Op: e.Op, Failed: f.ListDown || f.PlatformCut(m), Members: f.List}
	if f.SelfRegister {
		reply.Failed = s.unreachableFrom(m)
		for _, name := range slices.Sorted(maps.Keys(s.registrations)) {
			r := s.registrations[name]
			if f.Now.Sub(r.at) < staleReadAge || f.Now.After(r.ends.Add(staleReadAge)) {
				continue
			}
			reply.Members = append(reply.Members, r.instance)
			if name == m.Name {
				reply.OwnLease = r.lease
			}
		}
	}
	f.Reply(m, 5*time.Millisecond, reply)
}

func (s *fakeStore) register(m *FakeInstance, e core.Register) {
	s.writeWithLease(m, core.LeaseReplied{Op: e.Op, Lease: e.Lease}, func(lease uint64) {
		now := s.fleet.Now
		s.registrations[m.Name] = registration{
			instance: e.Instance, lease: lease, at: now, ends: now.Add(e.TTL), ttl: e.TTL,
		}
	})
}

// storePoison writes poison records.
func (s *fakeStore) storePoison(m *FakeInstance, e core.StorePoison) {
	s.writeWithLease(m, core.LeaseReplied{Op: e.Op, Lease: e.Lease}, func(uint64) {
		for _, record := range e.Records {
			s.addChange(storedChange{poison: &record})
		}
	})
}

// writeWithLease carries out a write under a lease, and grants the lease if the reply has none.
func (s *fakeStore) writeWithLease(m *FakeInstance, reply core.LeaseReplied, write func(lease uint64)) {
	f := s.fleet
	if s.unreachableFrom(m) {
		reply.Status = core.StoreFailed
		f.Reply(m, storeTimeout, reply)
		return
	}
	f.StoreCost++
	if reply.Lease == 0 {
		f.StoreCost++
		s.lastLease++
		reply.Lease = s.lastLease
	}
	reply.Status = core.StoreOK
	f.Schedule(s.latency(), func() {
		write(reply.Lease)
		f.Reply(m, time.Millisecond, reply)
	})
}

func (s *fakeStore) renew(m *FakeInstance, e core.RenewLease) {
	f := s.fleet
	if s.unreachableFrom(m) {
		f.Reply(m, storeTimeout, core.LeaseReplied{Op: e.Op, Status: core.StoreFailed, Lease: e.Lease})
		return
	}
	f.Schedule(s.latency(), func() {
		r := s.registrations[m.Name]
		if r.lease != e.Lease || f.Now.After(r.ends) {
			f.Reply(m, time.Millisecond, core.LeaseReplied{Op: e.Op, Status: core.StoreAbsent})
			return
		}
		r.ends = f.Now.Add(r.ttl)
		s.registrations[m.Name] = r
		f.Reply(m, time.Millisecond, core.LeaseReplied{Op: e.Op, Status: core.StoreOK, Lease: e.Lease})
	})
}
