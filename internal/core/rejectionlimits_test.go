package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// minLimitedUtilization is the share of slots that must be busy while more is offered than the servers
// can run: the operators object to refusals while under half of the slots are taken.
const minLimitedUtilization = 0.5

// rejectionCase is a fleet and a service whose rejections are limited.
type rejectionCase struct {
	size           fleetSize
	service        string
	servers, slots int
}

func (c rejectionCase) String() string {
	return fmt.Sprintf("%v, %d %s of %d slots", c.size, c.servers, c.service, c.slots)
}

// fewSlots is a service with fewer slots than there are instances.
var fewSlots = rejectionCase{fleetSize{60, 4}, "portal", 5, 6}

var rejectionLoads = []float64{0.7, 1.3, 2.5}

// Guards against servers that fail because all instances together make them reject too many requests,
// and against refusing callers while the servers have plenty of room.
func TestRejectionsAreBounded(t *testing.T) {
	t.Parallel()
	for _, load := range rejectionLoads {
		for _, c := range []rejectionCase{
			{fleetSize{7, 3}, "engines", 12, 64},
			{fleetSize{7, 3}, "portal", 3, 6},
			{fleetSize{60, 4}, "engines", 30, 12},
			fewSlots,
		} {
			if !racedetector.RunsFleet(c.size.instances) {
				continue
			}
			t.Run(fmt.Sprintf("%v, load %v", c, load), func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					f := runLimited(t, c, uint64(61+seed), load)
					require.LessOrEqual(t, f.failures, 2+len(f.names)/10, "servers failed because they had to reject too many requests")
					if c != fewSlots {
						requireUsed(t, f, load)
					}
				}
			})
		}
	}
}

// Guards against refusing callers while servers with fewer slots than there are instances have room.
func TestFewSlotsAreUsed(t *testing.T) {
	t.Parallel()
	c := racedetector.Choose(fewSlots, rejectionCase{fleetSize{12, 4}, "portal", 3, 3})
	for _, load := range rejectionLoads {
		t.Run(fmt.Sprintf("%v, load %v", c, load), func(t *testing.T) {
			t.Parallel()
			requireUsed(t, runLimited(t, c, 61, load), load)
		})
	}
}

// requireUsed checks that the servers' slots are used while more is offered than they can run.
func requireUsed(t *testing.T, f *rejectionFleet, load float64) {
	t.Helper()
	if load > 1 {
		require.GreaterOrEqual(t, f.utilization(), minLimitedUtilization)
	}
}

// runLimited offers a load to a service whose rejections become limited.
func runLimited(t *testing.T, c rejectionCase, seed uint64, load float64) *rejectionFleet {
	t.Helper()
	return runLimitedCrowd(t, c, seed, load, 0)
}

// runLimitedCrowd is runLimited while a share of the requests reaches one instance.
func runLimitedCrowd(t *testing.T, c rejectionCase, seed uint64, load, crowd float64) *rejectionFleet {
	t.Helper()
	f := newRejectionFleet(c.size, seed, c.service, c.servers, c.slots)
	f.crowd = crowd
	f.offer(load, 25*time.Second)
	f.run(5 * time.Second)
	f.limitedAt = f.now
	f.run(limitContact)
	f.sample(15 * time.Second)
	f.run(10 * time.Second)
	t.Logf("%d failures, %d served, %d rejected, %d lost, utilization %.2f", f.failures, f.served, f.rejected, f.lost, f.utilization())
	return f
}
