package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

const (
	// collectorInterval is the interval at which the collector is adapted to the number of instances.
	collectorInterval = 5 * time.Second
	// minHeapGrowth and maxHeapGrowth bound the growth of the heap from one collection to the next, in percent of what is in use.
	minHeapGrowth, maxHeapGrowth = 100, 300
	// growthNumerator and growthDenominator give the growth for each instance of the fleet.
	growthNumerator, growthDenominator = 2, 3
)

// heapGrowth returns the growth of the heap from one collection to the next, in percent of what is in use. Messages of other instances
// allocate most of what is collected, and a collection takes time in proportion to what is in use. So the heap may grow more in a large
// fleet, whose collections would else take a large part of the processor time, and little in a small one.
func heapGrowth(instances int) int {
	return min(minHeapGrowth+instances*growthNumerator/growthDenominator, maxHeapGrowth)
}

// adaptCollector adapts the collector to the number of instances until ctx ends.
func adaptCollector(ctx context.Context, loop *Loop) error {
	ticker := time.NewTicker(collectorInterval)
	defer ticker.Stop()
	for growth := minHeapGrowth; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		instances, err := Inspect(ctx, loop, (*core.Node).InstanceCount)
		if err != nil {
			return err
		}
		if wanted := heapGrowth(instances); wanted != growth {
			growth = wanted
			debug.SetGCPercent(growth)
		}
	}
}
