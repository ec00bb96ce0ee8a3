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

// brittleCase is a fleet and a service that is brittle.
type brittleCase struct {
	size           fleetSize
	service        string
	servers, slots int
}

func (c brittleCase) String() string {
	return fmt.Sprintf("%v, %d %s of %d slots", c.size, c.servers, c.service, c.slots)
}

// fewSlots is a service with fewer slots than there are instances.
var fewSlots = brittleCase{fleetSize{60, 4}, "portal", 5, 6}

var brittleLoads = []float64{0.7, 1.3, 2.5}

// Guards against servers that fail because all instances together make them reject too many requests,
// and against refusing callers while the servers have plenty of room.
func TestRejectionsOfBrittleServersAreBounded(t *testing.T) {
	for _, load := range brittleLoads {
		for _, c := range []brittleCase{
			{fleetSize{7, 3}, "engines", 12, 64},
			{fleetSize{7, 3}, "portal", 3, 6},
			{fleetSize{60, 4}, "engines", 30, 12},
			fewSlots,
		} {
			t.Run(fmt.Sprintf("%v, load %v", c, load), func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					f := runBrittle(t, c, uint64(61+seed), load)
					require.LessOrEqual(t, f.falls, 2+len(f.names)/10, "servers failed because they had to reject too many requests")
					if c != fewSlots {
						requireUsed(t, f, load)
					}
				}
			})
		}
	}
}

// Guards against refusing callers while servers with fewer slots than there are instances have room.
func TestFewSlotsOfBrittleServersAreUsed(t *testing.T) {
	for _, load := range brittleLoads {
		t.Run(fmt.Sprintf("%v, load %v", fewSlots, load), func(t *testing.T) {
			t.Parallel()
			requireUsed(t, runBrittle(t, fewSlots, 61, load), load)
		})
	}
}

// requireUsed checks that the servers' slots are used while more is offered than they can run.
func requireUsed(t *testing.T, f *brittleFleet, load float64) {
	t.Helper()
	if load > 1 {
		require.GreaterOrEqual(t, f.utilization(), minBrittleUtilization)
	}
}

// runBrittle offers a load to a service that becomes brittle.
func runBrittle(t *testing.T, c brittleCase, seed uint64, load float64) *brittleFleet {
	t.Helper()
	f := newBrittleFleet(c.size, seed, c.service, c.servers, c.slots)
	f.offer(load, 25*time.Second)
	f.run(5 * time.Second)
	f.brittleAt = f.now
	f.run(brittleContact)
	f.sample(15 * time.Second)
	f.run(10 * time.Second)
	t.Logf("%d falls, %d served, %d rejected, %d lost, utilization %.2f", f.falls, f.served, f.rejected, f.lost, f.utilization())
	return f
}
