package prefix_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/prefix"
)

var start = time.Unix(1_800_000_000, 0)

func holdersOf(h *prefix.Index, id string, now time.Time) []string {
	var list []string
	h.EachHolder(id, now, func(backend string) bool {
		list = append(list, backend)
		return true
	})
	return list
}

// A part keeps only its most recent users, most recent first, so that popular parts stay small.
func TestMostRecentHoldersAreKept(t *testing.T) {
	h := prefix.New()
	for i, backend := range []string{"a", "b", "a", "c", "d"} {
		h.Record("p", backend, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(5 * time.Second)
	require.Equal(t, []string{"d", "c", "a"}, holdersOf(h, "p", now))
	require.True(t, h.Holds("p", "a", now))
	require.False(t, h.Holds("p", "b", now))
	require.False(t, h.Holds("q", "a", now))
	h.Forget("c")
	require.Equal(t, []string{"d", "a"}, holdersOf(h, "p", now))
}

// Parts must expire after TTL and be limited to MaxParts, or the index would grow without bound.
func TestPartsExpireAndAreBounded(t *testing.T) {
	h := prefix.New()
	h.Record("p", "a", start)
	expired := start.Add(prefix.TTL + time.Second)
	require.False(t, h.Holds("p", "a", expired))
	require.Empty(t, holdersOf(h, "p", expired))
	for i := range 2 * prefix.MaxParts {
		h.Record(fmt.Sprint(i), "a", start)
	}
	require.False(t, h.Holds(fmt.Sprint(2*prefix.MaxParts-1), "a", start), "over the bound")
	h.Record("new", "a", expired)
	require.True(t, h.Holds("new", "a", expired), "there is room once the other parts have expired")
}
