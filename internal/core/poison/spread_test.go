package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func always(Key) bool { return true }
func never(Key) bool  { return false }

// Guards against changes that are told twice or back to the only peer that knows them, and against ones that are told to nobody.
func TestSpreadTellsEachChangeOnce(t *testing.T) {
	s := NewSpread()
	s.ToldBy(3, "a")
	s.ToldBy(3, "a")
	s.ToldBy(2, "a")
	s.ToldBy(2, "b")
	s.ToldBy(1, "a")
	s.Observed(1)
	s.ToldBy(1, "a")
	require.Equal(t, []Change{{Key: 1, Observed: true}, {Key: 2}, {Key: 3, From: "a"}}, s.Take(epoch, never))
	require.Empty(t, s.Take(epoch, never))
}

// Guards against blame that spreads ahead of the answers that clear it, and against one that is held for good.
func TestSpreadHoldsWhatPeersBlame(t *testing.T) {
	s := NewSpread()
	s.Observed(1)
	s.ToldBy(2, "a")
	require.Equal(t, []Change{{Key: 1, Observed: true}}, s.Take(epoch, always), "what was observed is not held")
	s.ToldBy(2, "b")
	require.Empty(t, s.Take(epoch.Add(HoldTime/2), never), "a further change does not end the time")
	require.Equal(t, []Change{{Key: 2}}, s.Take(epoch.Add(HoldTime), always), "told by two")

	s.TellAll(3)
	s.ToldBy(3, "a")
	require.Equal(t, []Change{{Key: 3, From: "a"}}, s.Take(epoch.Add(time.Minute), always), "what all were told may be cleared now")
	s.Expire(NewTracker())
	require.False(t, s.ToldAll(3))
}
