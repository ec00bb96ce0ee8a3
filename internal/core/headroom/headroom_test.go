package headroom

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

var start = time.Unix(1_764_000_000, 0)

// Guards against slots that belong to two instances, and against ones that belong to none.
func TestQuotasOfAllInstancesAreTheDealtSlots(t *testing.T) {
	for _, instances := range []int{1, 3, 7, 60, 350} {
		for _, slots := range []int{1, 6, 12, 64} {
			server := Server{Hash: rendezvous.Hash(fmt.Sprint("server-", slots)), Slots: slots}
			sum := 0
			for i := range instances {
				sum += (&Service{Index: i, Instances: instances}).quota(&server)
			}
			require.LessOrEqual(t, sum, slots)
			require.GreaterOrEqual(t, float64(sum), dealtShare*float64(slots))
		}
	}
}

// Guards against servers that are flooded when they are back, because nothing was heard of them while
// they were down, and against a limit that outlives its announcements.
func TestAnnouncementHoldsUntilAnAnswerLacksIt(t *testing.T) {
	tr := New()
	require.False(t, tr.Answered("s", 0, start, start))
	require.True(t, tr.Answered("s", 5, start, start))
	now := start.Add(20 * time.Second)
	require.True(t, tr.IsLimited("s", now))
	require.False(t, tr.Answered("s", 0, start.Add(-time.Second), now), "the answer began before the announcement")
	require.True(t, tr.IsLimited("s", now))
	require.True(t, tr.Answered("s", 0, start.Add(time.Second), now))
	require.False(t, tr.IsLimited("s", now))
	tr.Answered("s", 5, now, now)
	tr.Expire(now.Add(announcementTTL))
	require.False(t, tr.IsLimited("s", now))
}

// Guards against instances that send as usual in a surge that no load report shows yet, and against
// slots that are dealt out while there is plenty of room.
func TestSlotsAreDealtOutWhenThereIsLittleRoom(t *testing.T) {
	tr := New()
	tr.Answered("s", 5, start, start)
	s := Service{Name: "s", Instances: 7, Servers: 12, Slots: 12 * 64, Load: 120, Own: 17}
	require.Equal(t, AnyFree, tr.RuleFor(&s, start))
	surge := s
	surge.Own = 60
	require.Equal(t, OwnSlots, tr.RuleFor(&surge, start))
	require.Equal(t, OwnSlots, tr.RuleFor(&s, start.Add(tightHold/2)))
	require.Equal(t, AnyFree, tr.RuleFor(&s, start.Add(tightHold)))
	tr.SeemsFull("s", start.Add(tightHold))
	require.Equal(t, OwnSlots, tr.RuleFor(&s, start.Add(tightHold)))
	full := s
	full.Load = 12 * 60
	require.Equal(t, OwnSlots, tr.RuleFor(&full, start.Add(time.Minute/2)))
}

// Guards against slots with two owners or none, where there are fewer than instances, and against owners who lend
// a slot that is in use.
func TestSlotsHaveOneOwnerWhereTheyAreFew(t *testing.T) {
	tr := New()
	tr.Answered("s", 5, start, start)
	server := Server{Hash: rendezvous.Hash("server-1"), Slots: 6}
	owners := 0
	for i := range 60 {
		s := Service{Name: "s", Index: i, Instances: 60, Servers: 5, Slots: 30}
		require.Equal(t, BorrowedSlots, tr.RuleFor(&s, start))
		owns := slices.Contains(s.Owners(&server), i)
		require.Equal(t, owns, BorrowedSlots.Permits(&server, &s))
		if !owns {
			continue
		}
		owners++
		for name, inUse := range map[string]Server{"own": {Own: 1}, "lent": {Lent: 1}} {
			inUse.Hash, inUse.Slots = server.Hash, server.Slots
			require.False(t, s.HasFreeSlot(&inUse), name)
		}
		elsewhere := Server{Hash: server.Hash, Slots: server.Slots, Own: 1, Borrowed: 1}
		require.True(t, s.HasFreeSlot(&elsewhere), "its request runs on another one's slot")
	}
	require.Equal(t, server.dealtSlots(), owners)
	require.Less(t, owners, server.Slots)
}
