package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minBrittleUtilization is the share of slots that must be busy while more is offered than the servers
// can run: the operators object to refusals while under half of the slots are taken.
const minBrittleUtilization = 0.5

// Guards against servers that fail because all instances together make them reject too many requests,
// and against refusing callers while the servers have plenty of room.
func TestRejectionsOfBrittleServersAreBounded(t *testing.T) {
	for _, load := range []float64{0.7, 1.3, 2.5} {
		for _, c := range []struct {
			size           fleetSize
			service        string
			servers, slots int
		}{
			{fleetSize{7, 3}, "engines", 12, 64},
			{fleetSize{7, 3}, "portal", 3, 6},
			{fleetSize{60, 4}, "engines", 30, 12},
			{fleetSize{60, 4}, "portal", 5, 6},
		} {
			t.Run(fmt.Sprintf("%v, %d %s of %d slots, load %v", c.size, c.servers, c.service, c.slots, load), func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					requireFewFalls(t, newBrittleFleet(c.size, uint64(61+seed), c.service, c.servers, c.slots), load)
				}
			})
		}
	}
}

func requireFewFalls(t *testing.T, f *brittleFleet, load float64) {
	t.Helper()
	f.offer(load, 25*time.Second)
	f.run(5 * time.Second)
	f.brittleAt = f.now
	f.run(brittleContact)
	f.sample(15 * time.Second)
	f.run(10 * time.Second)
	t.Logf("%d falls, %d served, %d rejected, %d lost, utilization %.2f", f.falls, f.served, f.rejected, f.lost, f.utilization())
	require.LessOrEqual(t, f.falls, 2+len(f.names)/10, "servers failed because they had to reject too many requests")
	if load > 1 {
		require.GreaterOrEqual(t, f.utilization(), minBrittleUtilization)
	}
}
