package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against small bodies that wait behind large ones, and against memory that is not returned.
func TestSmallBodiesDoNotWaitForLargeOnes(t *testing.T) {
	t.Parallel()
	const size = 16 << 20
	b := newBodyBudget(size)
	var large []*bodyGrant
	for range 3 {
		g := &bodyGrant{budget: b}
		require.NoError(t, g.take(4<<20))
		large = append(large, g)
	}
	refused := &bodyGrant{budget: b}
	started := time.Now()
	require.ErrorIs(t, refused.take(4<<20), errNoBodyMemory)
	require.GreaterOrEqual(t, time.Since(started), bodyWait)
	refused.release()
	started = time.Now()
	var small []*bodyGrant
	for range size / smallShare / smallBody {
		g := &bodyGrant{budget: b}
		require.NoError(t, g.take(smallBody))
		small = append(small, g)
	}
	require.Less(t, time.Since(started), bodyWait)
	require.EqualValues(t, size, b.Held())

	waited := make(chan error)
	waiting := &bodyGrant{budget: b}
	go func() { waited <- waiting.take(4 << 20) }()
	time.Sleep(50 * time.Millisecond)
	large[0].release()
	require.NoError(t, <-waited, "room in time")
	for _, g := range append(append(large[1:], small...), waiting) {
		g.release()
	}
	require.Zero(t, b.Held())
	all := &bodyGrant{budget: b}
	require.NoError(t, all.take(10*size), "a body larger than all memory for bodies takes all of it")
	require.Error(t, (&bodyGrant{budget: b}).take(4<<20))
	all.release()
	require.NoError(t, (&bodyGrant{budget: b}).take(4<<20))
}
