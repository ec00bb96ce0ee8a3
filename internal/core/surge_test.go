package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In a fleet of 30 instances, the instance that aggregates the loads of an engine for its row
// receives a rise with the next ticks instead of after a round of one second.
func TestAggregatorsReceiveSurgeBeforeNextRound(t *testing.T) {
	t.Parallel()
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
