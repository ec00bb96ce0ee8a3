package fleettest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// storedStreams are the encoded records of one process, until their lease ends.
type storedStreams struct {
	value []byte
	ends  time.Time
}

// storeStreams replaces the records of an instance's process.
func (s *fakeStore) storeStreams(m *FakeInstance, e core.StoreStreams) {
	value, err := streams.EncodeStored(e.Records)
	if err != nil {
		panic(err)
	}
	s.fleet.Calls["stored-stream-bytes"] += len(value)
	if s.fleet.Random.Float64() < s.lostWriteShare {
		s.fleet.Reply(m, e.Timeout, core.LeaseReplied{Op: e.Op, Lease: e.Lease, Status: core.StoreUnknown})
		return
	}
	key := fmt.Sprintf("%s/%d", m.Name, m.Incarnation)
	s.writeWithLease(m, core.LeaseReplied{Op: e.Op, Lease: e.Lease}, func(uint64) {
		s.streams[key] = storedStreams{value: value, ends: s.fleet.Now.Add(e.TTL)}
	})
}

// listStreams reads the records of all processes.
func (s *fakeStore) listStreams(m *FakeInstance, e core.ListStreams) {
	call := s.begin(m, e.Timeout, core.StreamsListed{Op: e.Op, Failed: true})
	call.answer(func() core.Event {
		listed := core.StreamsListed{Op: e.Op}
		for _, key := range slices.Sorted(maps.Keys(s.streams)) {
			if s.fleet.Now.After(s.streams[key].ends) {
				continue
			}
			records, err := streams.DecodeStored(s.streams[key].value)
			if err != nil {
				panic(err)
			}
			listed.Records = append(listed.Records, records...)
		}
		return listed
	})
}
