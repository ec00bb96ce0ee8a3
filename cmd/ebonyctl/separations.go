package main

import (
	"maps"
	"slices"
	"time"
)

// zoneSeparation counts the instances that are cut off from a zone.
type zoneSeparation struct {
	instances int
	since     time.Time
}

// separatedZones returns the zones from which instances are cut off.
func separatedZones(instances []statusResult) map[string]zoneSeparation {
	zones := make(map[string]zoneSeparation)
	for _, r := range instances {
		if r.Status == nil {
			continue
		}
		for _, z := range r.Status.SeparatedZones {
			s := zones[z.Zone]
			s.instances++
			if s.since.IsZero() || z.Since.Before(s.since) {
				s.since = z.Since
			}
			zones[z.Zone] = s
		}
	}
	return zones
}

// printSeparations prints a line for each zone from which instances are cut off.
func (c *cli) printSeparations(instances []statusResult) {
	zones := separatedZones(instances)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		s := zones[zone]
		c.printf("zone %s: cut off from %d of %d instances since %s\n", zone, s.instances, len(instances), s.since.Format(time.RFC3339))
	}
}
