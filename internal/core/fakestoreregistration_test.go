package core_test

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

func (s *fakeStore) listInstances(m *fakeInstance, e core.ListInstances) {
	f := s.fleet
	reply := core.InstancesListed{Op: e.Op, Failed: f.listDown || f.platformCut(m), Members: f.list}
	if f.selfRegister {
		reply.Failed = s.unreachableFrom(m)
		for _, name := range slices.Sorted(maps.Keys(s.registrations)) {
			r := s.registrations[name]
			if f.now.Sub(r.at) < staleReadAge || f.now.After(r.ends.Add(staleReadAge)) {
				continue
			}
			reply.Members = append(reply.Members, r.instance)
			if name == m.name {
				reply.OwnLease = r.lease
			}
		}
	}
	f.reply(m, 5*time.Millisecond, reply)
}

func (s *fakeStore) register(m *fakeInstance, e core.Register) {
	s.writeWithLease(m, core.LeaseReplied{Op: e.Op, Lease: e.Lease}, func(lease uint64) {
		now := s.fleet.now
		s.registrations[m.name] = registration{
			instance: e.Instance, lease: lease, at: now, ends: now.Add(e.TTL), ttl: e.TTL,
		}
	})
}

// storePoison writes poison records.
func (s *fakeStore) storePoison(m *fakeInstance, e core.StorePoison) {
	s.writeWithLease(m, core.LeaseReplied{Op: e.Op, Lease: e.Lease}, func(uint64) {
		for _, record := range e.Records {
			s.addChange(storedChange{poison: &record})
		}
	})
}

// writeWithLease carries out a write under a lease, and grants the lease if the reply has none.
func (s *fakeStore) writeWithLease(m *fakeInstance, reply core.LeaseReplied, write func(lease uint64)) {
	f := s.fleet
	if s.unreachableFrom(m) {
		reply.Status = core.StoreFailed
		f.reply(m, storeTimeout, reply)
		return
	}
	f.storeCost++
	if reply.Lease == 0 {
		f.storeCost++
		s.lastLease++
		reply.Lease = s.lastLease
	}
	reply.Status = core.StoreOK
	f.schedule(s.latency(), func() {
		write(reply.Lease)
		f.reply(m, time.Millisecond, reply)
	})
}

func (s *fakeStore) renew(m *fakeInstance, e core.RenewLease) {
	f := s.fleet
	if s.unreachableFrom(m) {
		f.reply(m, storeTimeout, core.LeaseReplied{Op: e.Op, Status: core.StoreFailed, Lease: e.Lease})
		return
	}
	f.schedule(s.latency(), func() {
		r := s.registrations[m.name]
		if r.lease != e.Lease || f.now.After(r.ends) {
			f.reply(m, time.Millisecond, core.LeaseReplied{Op: e.Op, Status: core.StoreAbsent})
			return
		}
		r.ends = f.now.Add(r.ttl)
		s.registrations[m.name] = r
		f.reply(m, time.Millisecond, core.LeaseReplied{Op: e.Op, Status: core.StoreOK, Lease: e.Lease})
	})
}
