package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late announcement of a load surge. Traffic starts in a large fleet with
// cold caches. Loads take three rounds of one second to propagate, so for three seconds all
// instances took the same engines for idle and sent their sessions there. A rise is announced
// at once; ordinary traffic is not.
func TestSurgeIsDetectedAtOnce(t *testing.T) {
	start := time.Unix(1_764_000_000, 0)
	var s surgeDetector
	require.False(t, s.detect(0, start), "no load yet")
	require.True(t, s.detect(8, start.Add(300*time.Millisecond)), "traffic starts")
	require.False(t, s.detect(40, start.Add(400*time.Millisecond)), "announced a moment ago")
	require.True(t, s.detect(60, start.Add(600*time.Millisecond)), "still rising")
	require.False(t, s.detect(69, start.Add(time.Second)), "within ordinary fluctuation")
	require.False(t, s.detect(69, start.Add(1700*time.Millisecond)), "now the baseline")
	require.False(t, s.detect(40, start.Add(2*time.Second)), "load falls")
	require.False(t, s.detect(75, start.Add(2700*time.Millisecond)), "within ordinary fluctuation over the new baseline")
	require.True(t, s.detect(90, start.Add(3*time.Second)), "another surge")
}

// In a fleet of 30 instances, the instance that aggregates the loads of an engine for its row
// receives a rise with the next ticks instead of after a round of one second.
func TestAggregatorsReceiveSurgeBeforeNextRound(t *testing.T) {
	f := newPeerFleet(t, 30, 1)
	f.run(10 * time.Second)
	for _, name := range f.names() {
		n := f.nodes[name]
		for range 40 {
			n.load.Sent("engine-0", f.now)
		}
		n.pool("model-pool").totalLoad = 40
	}
	f.run(4 * TickInterval)
	for _, name := range f.names() {
		aggregator := f.nodes[name].peers.sums.Aggregator("engine-0")
		if aggregator != name {
			require.Equal(t, 40, f.nodes[aggregator].peer(name).received.Own["engine-0"], name)
		}
	}
}
