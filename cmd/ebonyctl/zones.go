package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// oneScreen is the maximum number of instances that are listed in one row each. With the
// headings and the lines below the table, they fill a terminal of 30 lines.
const oneScreen = 24

// zoneStatus holds the totals over the instances of one availability zone.
type zoneStatus struct {
	instances, serving, behind, away, inFlight int
}

// printZones prints a row for each zone, followed by a row for each instance that needs
// attention.
func (c *cli) printZones(s *fleetStatus) {
	totals := make(map[string]*zoneStatus)
	for _, r := range s.Instances {
		if r.Status != nil {
			zoneOf(totals, r.Status.Zone).add(r.Status, s.Newest)
		}
	}
	t := c.table("ZONE", "INSTANCES", "SERVING", "BEHIND", "PLATFORM AWAY", "IN FLIGHT")
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		z := totals[name]
		t.row(name, fmt.Sprint(z.instances), fmt.Sprint(z.serving), fmt.Sprint(z.behind), fmt.Sprint(z.away), fmt.Sprint(z.inFlight))
	}
	t.flush()
	c.printf("\n")
	c.printInstances(s, func(r *asked) bool { return r.needsALook(s.Newest) }, func(p *heard) bool { return p.Silent || p.Generation < s.Newest })
}

func zoneOf(totals map[string]*zoneStatus, name string) *zoneStatus {
	if totals[name] == nil {
		totals[name] = &zoneStatus{}
	}
	return totals[name]
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

// needsALook reports whether the instance is not in its normal state.
func (r *asked) needsALook(newest uint64) bool {
	s := r.Status
	return s == nil || s.Stopping || s.Generation < newest || platformAway(s) || len(s.Findings) > 0
}
