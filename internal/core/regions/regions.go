// Package regions decides in which availability zones a request may be processed, from the regions that its route and its customer
// name.
//
// What is not known is not allowed: a zone without a known region is in none, and a region that no zone has allows nothing.
package regions

import (
	"maps"
	"slices"
)

// Map holds the region of each zone. It is immutable.
type Map struct {
	ownZone   string
	ownRegion string
	zones     map[string]string
}

// New returns the map for an instance in ownZone. The region of that zone is ownRegion unless zones says otherwise. Empty names
// mean that a region is not known.
func New(ownZone, ownRegion string, zones map[string]string) *Map {
	m := &Map{ownZone: ownZone, ownRegion: ownRegion, zones: maps.Clone(zones)}
	if m.zones == nil {
		m.zones = make(map[string]string)
	}
	if m.zones[ownZone] == "" {
		m.zones[ownZone] = ownRegion
	}
	maps.DeleteFunc(m.zones, func(zone, region string) bool { return zone == "" || region == "" })
	return m
}

// Region returns the region of a zone, "" if it is not known.
func (m *Map) Region(zone string) string { return m.zones[zone] }

// Known reports whether any zone is in the region.
func (m *Map) Known(region string) bool {
	for _, known := range m.zones {
		if known == region {
			return true
		}
	}
	return false
}

// Conflict reports whether the instance's own region differs from that of its zone.
func (m *Map) Conflict() bool { return m.ownRegion != "" && m.zones[m.ownZone] != m.ownRegion }

// Allowed returns the zones whose region is in each list that is not nil. If all lists are nil, all zones are allowed; an empty
// list allows none.
func (m *Map) Allowed(lists ...[]string) Zones {
	lists = slices.DeleteFunc(slices.Clone(lists), func(list []string) bool { return list == nil })
	if len(lists) == 0 {
		return Zones{}
	}
	z := Zones{restricted: true}
	for zone, region := range m.zones {
		if !slices.ContainsFunc(lists, func(list []string) bool { return !slices.Contains(list, region) }) {
			z.names = append(z.names, zone)
		}
	}
	slices.Sort(z.names)
	return z
}

// Zones are the zones in which a request may be processed. The zero value allows all.
type Zones struct {
	restricted bool
	names      []string
}

// Restricted reports whether not all zones are allowed.
func (z Zones) Restricted() bool { return z.restricted }

// Allows reports whether a zone is allowed.
func (z Zones) Allows(zone string) bool { return !z.restricted || slices.Contains(z.names, zone) }

// Empty reports whether no zone is allowed.
func (z Zones) Empty() bool { return z.restricted && len(z.names) == 0 }
