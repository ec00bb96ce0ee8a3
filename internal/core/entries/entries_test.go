package entries

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

func live(name string, revision uint64) Entry {
	return Entry{Name: name, Revision: revision, Backend: &membership.Member{Name: name, State: membership.Live}}
}

// Guards against a late list page or a repeated watch result that brings back an older state.
func TestOlderEntryIsIgnored(t *testing.T) {
	l := New()
	require.True(t, l.Put(live("a", 5)))
	require.False(t, l.Put(live("a", 4)))
	require.True(t, l.Put(live("a", 5)), "the same entry again is merged again")
	require.Equal(t, 1, l.Changes())
	require.EqualValues(t, 5, l.Revision("a"))
	require.EqualValues(t, 5, l.Newest())
}

// Guards against peers that stop using a server because its entry lapsed in an outage that they did
// not see.
func TestLapsedEntryIsNotShared(t *testing.T) {
	now := time.Unix(1_764_000_000, 0)
	l := New()
	l.Put(live("a", 3))
	l.ExtendTo(3)
	l.Put(Entry{Name: "a", Revision: 7})
	l.Lapse("a", now.Add(time.Second))
	l.ExtendTo(7)
	require.EqualValues(t, 6, l.Shareable())
	require.Empty(t, l.TakeGone(now))
	require.Equal(t, []string{"a"}, l.TakeGone(now.Add(time.Second)))
	require.False(t, l.HasLapsed())
	require.EqualValues(t, 7, l.Shareable())
	require.Len(t, l.Between(3, 7), 1)
}

// Guards against a server that stays known although a full list no longer has its entry.
func TestFullListRemovesWhatItLeavesOut(t *testing.T) {
	l := New()
	l.Put(live("a", 1))
	l.Put(live("b", 2))
	l.Put(live("c", 9))
	require.Equal(t, []Entry{{Name: "a", Revision: 4}}, l.Unlisted(map[string]bool{"b": true}, 4), "c came after the list")
}
