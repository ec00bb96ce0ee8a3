package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/status"
)

// maxListedInstances is the maximum number of instances that are listed in one row each. With
// the headings and the lines below the table, they fill a terminal of 30 lines.
const maxListedInstances = 24

// zoneTotals holds the totals over the instances of one availability zone.
type zoneTotals struct {
	instances, serving, behind, platformUnreachable, inFlight int
}

// printZones prints a row for each zone, followed by a row for each instance that needs
// attention.
func (c *cli) printZones(s *fleetStatus) {
	totals := make(map[string]*zoneTotals)
	for _, r := range s.Instances {
		if r.Status != nil {
			totalsOf(totals, r.Status.Zone).add(r.Status, s.Newest)
		}
	}
	t := c.table("ZONE", "INSTANCES", "SERVING", "BEHIND", "PLATFORM AWAY", "IN FLIGHT")
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		z := totals[name]
		t.row(name, fmt.Sprint(z.instances), fmt.Sprint(z.serving), fmt.Sprint(z.behind), fmt.Sprint(z.platformUnreachable), fmt.Sprint(z.inFlight))
	}
	t.flush()
	c.printf("\n")
	c.printInstances(s, func(r *statusResult) bool { return r.needsAttention(s.Newest) }, func(p *unqueriedInstance) bool { return p.Silent || p.Generation < s.Newest })
}

func totalsOf(totals map[string]*zoneTotals, name string) *zoneTotals {
	if totals[name] == nil {
		totals[name] = &zoneTotals{}
	}
	return totals[name]
}

func (z *zoneTotals) add(s *status.Status, newest uint64) {
	z.instances++
	z.inFlight += s.InFlight
	if !s.Stopping && s.Generation > 0 {
		z.serving++
	}
	if s.Generation < newest {
		z.behind++
	}
	if platformUnreachable(s) {
		z.platformUnreachable++
	}
}

func platformUnreachable(s *status.Status) bool { return s.Platform.Known && !s.Platform.Reachable }

// needsAttention reports whether the instance is not in its normal state.
func (r *statusResult) needsAttention(newest uint64) bool {
	s := r.Status
	return s == nil || s.Stopping || s.Generation < newest || platformUnreachable(s) || len(s.Findings) > 0
}
