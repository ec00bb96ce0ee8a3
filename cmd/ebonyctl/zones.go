package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// oneScreen is the number of instances up to which each has a row of its own: with
// the heads and the lines below the table they fill a terminal of 30 lines.
const oneScreen = 24

// zoneStatus sums up the instances of one availability zone.
type zoneStatus struct {
	instances, serving, behind, away, inFlight int
}

// printZones prints a row for each zone, and the instances that need a look with a row
// of their own.
func (c *cli) printZones(s *fleetStatus) {
	zones := make(map[string]*zoneStatus)
	for _, a := range s.Instances {
		if a.Status != nil {
			zoneOf(zones, a.Status.Zone).add(a.Status, s.Newest)
		}
	}
	t := c.table("ZONE", "INSTANCES", "SERVING", "BEHIND", "PLATFORM AWAY", "IN FLIGHT")
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		z := zones[name]
		t.row(name, fmt.Sprint(z.instances), fmt.Sprint(z.serving), fmt.Sprint(z.behind), fmt.Sprint(z.away), fmt.Sprint(z.inFlight))
	}
	t.flush()
	c.printf("\n")
	c.printInstances(s, func(a *asked) bool { return a.needsALook(s.Newest) }, func(p *heard) bool { return p.Silent || p.Generation < s.Newest })
}

func zoneOf(zones map[string]*zoneStatus, name string) *zoneStatus {
	if zones[name] == nil {
		zones[name] = &zoneStatus{}
	}
	return zones[name]
}

func (z *zoneStatus) add(s *core.Status, newest uint64) {
	z.instances++
	z.inFlight += s.InFlight
	if !s.Stopping && s.Generation > 0 {
		z.serving++
	}
	if s.Generation < newest {
		z.behind++
	}
	if platformAway(s) {
		z.away++
	}
}

func platformAway(s *core.Status) bool { return s.Platform.Known && !s.Platform.Reachable }

// needsALook tells whether something is unusual about an instance.
func (a *asked) needsALook(newest uint64) bool {
	s := a.Status
	return s == nil || s.Stopping || s.Generation < newest || platformAway(s) || len(s.Findings) > 0
}
