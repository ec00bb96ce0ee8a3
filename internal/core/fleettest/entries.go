package fleettest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// EngineEntry returns the entry of the engine with a number.
func EngineEntry(i int, state membership.State) *membership.Member {
	return &membership.Member{
		Name: fmt.Sprintf("engine-%d", i), Role: membership.RoleBackend, Service: "engines",
		Zone: fmt.Sprintf("zone-%d", i%3), Address: "127.0.0.1:9", Slots: 64, Version: "v1", Incarnation: 1, State: state,
	}
}

// PutEntry sets a backend server's entry, or removes it if member is nil.
func (s *fakeStore) PutEntry(name string, member *membership.Member) {
	s.addChange(storedChange{entry: entries.Entry{Name: name, Revision: s.nextRevision(), Backend: member}})
}

// storedChange is a change of a backend server's entry, or of a poison record.
type storedChange struct {
	entry  entries.Entry
	poison *poison.Record
}

// writeHistory applies a compare-and-swap of the software history, which the store keeps beside the entries.
func (s *fakeStore) writeHistory(e core.StoreSwap) core.StoreReplied {
	if s.historyRevision != e.Version {
		return core.StoreReplied{Op: e.Op, Status: core.StoreConflict}
	}
	var history streams.History
	if err := json.Unmarshal(e.Value, &history); err != nil {
		panic(err)
	}
	s.historyRevision = s.nextRevision()
	s.addChange(storedChange{entry: entries.Entry{Name: entries.HistoryName, Revision: s.historyRevision, History: &history}})
	return core.StoreReplied{Op: e.Op, Status: core.StoreOK, Version: s.historyRevision}
}

func (s *fakeStore) nextRevision() uint64 { return uint64(len(s.entries) + 1) }

func (s *fakeStore) addChange(change storedChange) {
	s.entries = append(s.entries, change)
	watchers := s.watchers
	s.watchers = nil
	for _, w := range watchers {
		w()
	}
}

func (s *fakeStore) listBackends(m *FakeInstance, e core.ListBackends) {
	call := s.begin(m, e.Timeout, core.BackendsRead{Op: e.Op, Status: core.StoreFailed})
	call.answer(func() core.Event {
		newest := make(map[string]entries.Entry)
		read := core.BackendsRead{Op: e.Op, Status: core.StoreOK, Revision: uint64(len(s.entries))}
		for _, change := range s.entries {
			if change.poison != nil {
				read.Poison = append(read.Poison, *change.poison)
				continue
			}
			newest[change.entry.Name] = change.entry
		}
		for _, name := range slices.Sorted(maps.Keys(newest)) {
			if !newest[name].Removed() {
				read.Entries = append(read.Entries, newest[name])
			}
		}
		return read
	})
}

func (s *fakeStore) watchBackends(m *FakeInstance, e core.WatchBackends) {
	call := s.begin(m, e.Timeout, core.BackendsRead{Op: e.Op, Status: core.StoreUnknown})
	answer := func() {
		call.answer(func() core.Event {
			read := core.BackendsRead{Op: e.Op, Status: core.StoreOK, Revision: uint64(len(s.entries))}
			for _, change := range s.entries[min(e.After, uint64(len(s.entries))):] {
				if change.poison != nil {
					read.Poison = append(read.Poison, *change.poison)
					continue
				}
				read.Entries = append(read.Entries, change.entry)
			}
			return read
		})
	}
	if e.After < uint64(len(s.entries)) {
		answer()
		return
	}
	s.watchers = append(s.watchers, answer)
	s.fleet.Schedule(e.Hold, answer)
}
