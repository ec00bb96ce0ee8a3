package fleettest

import (
	"flag"
	"fmt"
)

// BoundSeeds is the number of seeds of each test that takes several, for long runs by hand.
var BoundSeeds = flag.Int("bound-seeds", 1, "number of seeds of each test that takes several")

// LargestInCI is the number of instances up to which CI runs all troubles. The time of a run grows with their square.
const LargestInCI = 100

// FleetSize is a number of instances and of zones.
type FleetSize struct{ Instances, Zones int }

// String returns the size as the name of a test.
func (s FleetSize) String() string { return fmt.Sprintf("%d in %d zones", s.Instances, s.Zones) }

// StreamSizes are the sizes of fleets in which streams are tested.
var StreamSizes = []FleetSize{{7, 3}, {60, 4}, {350, 6}}

// CutSizes returns the sizes of the fleets that are cut, larger ones too in long runs by hand.
func CutSizes() []FleetSize {
	sizes := []FleetSize{{7, 3}, {20, 4}}
	if *BoundSeeds > 1 {
		sizes = append(sizes, FleetSize{60, 4})
	}
	return sizes
}
