package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Guards against calls to the store without a pause while it answers that it has lost the history of each watch.
func TestLostHistoriesDoNotMultiplyCalls(t *testing.T) {
	const span = 20 * time.Second
	r := newNodeDriver(t, 3)
	calls, revision := 0, uint64(200)
	var firstList time.Duration
	for begun := r.now; r.now.Before(begun.Add(span)); {
		effects := r.tick()
		for _, w := range effectsOf[core.WatchBackends](effects) {
			calls++
			r.handle(core.BackendsRead{Op: w.Op, Status: core.StoreHistoryLost})
		}
		for _, l := range effectsOf[core.ListBackends](effects) {
			calls++
			if firstList == 0 {
				firstList = r.now.Sub(begun)
			}
			revision++
			r.handle(core.BackendsRead{Op: l.Op, Status: core.StoreOK, Revision: revision})
		}
	}
	require.Less(t, firstList, 500*time.Millisecond, "the first lost history is made up for at once")
	require.Less(t, calls, 60, "more than a list and a watch every 0.7 s")
}
