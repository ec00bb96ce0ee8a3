package core

import (
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/regions"
)

// A route or a customer may name the regions in which its requests are processed. The invariant: a request that names any reaches
// no backend server outside them, and its body no other instance outside them.

// counterRegions counts names that restrict requests and are not known, by kind.
const (
	counterRegions       = "regions"
	labelUnknownRegion   = "unknown-region"
	labelUnknownZone     = "unknown-zone"
	labelRegionsConflict = "conflict"
)

// regionState holds the regions of the zones, and which unknown names were reported.
type regionState struct {
	zones *regions.Map
	// unknown are the regions that the configuration names and no zone has, and without the zones of backend servers that have
	// no region, while the configuration names any. Both are sorted.
	unknown, without []string
	conflictReported bool
}

func newRegionState(s *Settings) regionState {
	return regionState{zones: regions.New(s.Zone, s.Region, s.Zones)}
}

// allowedZones returns the zones in which requests of a route and a customer may be processed. Both may be nil.
func (n *Node) allowedZones(route *config.Route, customer *config.Customer) regions.Zones {
	var ofRoute, ofCustomer []string
	if route != nil {
		ofRoute = route.Regions
	}
	if customer != nil {
		ofCustomer = customer.Regions
	}
	if ofRoute == nil && ofCustomer == nil {
		return regions.Zones{}
	}
	return n.regions.zones.Allowed(ofRoute, ofCustomer)
}

// zoneAllowed reports whether a zone is allowed for a request: its backend servers may process the request, and its instances
// may relay its body.
func (t *target) zoneAllowed(zone string) bool { return t.zones.Allows(zone) }

// serverAllowed reports whether the zone of a backend server is allowed for a request.
func (n *Node) serverAllowed(r *request, server string) bool { return r.zoneAllowed(n.zoneOf(server)) }

// regionRefusal returns NoRegion if the service has backend servers, but none in a zone that is allowed for the request, or if no
// zone is.
func (n *Node) regionRefusal(t *target) reason.Reason {
	if !t.zones.Restricted() {
		return reason.None
	}
	if t.zones.Empty() {
		return reason.NoRegion
	}
	p := n.pool(t.service.Name)
	for i := range p.candidates {
		if t.zoneAllowed(p.candidates[i].Zone) {
			return reason.None
		}
	}
	if len(p.candidates) == 0 {
		return reason.None
	}
	return reason.NoRegion
}

// reportRegions logs and counts the names that restrict requests and are not known, once each.
func (n *Node) reportRegions() {
	named := n.snapshot.Regions()
	if len(named) == 0 {
		n.regions.unknown, n.regions.without = nil, nil
		return
	}
	if n.regions.zones.Conflict() && !n.regions.conflictReported {
		n.regions.conflictReported = true
		n.reportUnknown(labelRegionsConflict, StateChanged{
			Subject: SubjectZone, Names: []string{n.settings.Zone}, State: "region differs", Cause: "the settings name two regions of the own zone",
		})
	}
	unknown := slices.DeleteFunc(slices.Clone(named), n.regions.zones.Known)
	n.reportUnknown(labelUnknownRegion, StateChanged{
		Subject: SubjectRegion, Names: addedNames(unknown, n.regions.unknown), State: "unknown", Cause: "the configuration names it, and no zone has it",
	})
	without := n.zonesWithoutRegion()
	n.reportUnknown(labelUnknownZone, StateChanged{
		Subject: SubjectZone, Names: addedNames(without, n.regions.without), State: "without region", Cause: "its servers are outside all regions",
	})
	n.regions.unknown, n.regions.without = unknown, without
}

func (n *Node) reportUnknown(label string, e StateChanged) {
	if len(e.Names) == 0 {
		return
	}
	n.emit(Counted{Counter: counterRegions, Label: label, N: len(e.Names)})
	n.emit(e)
}

// zonesWithoutRegion returns the zones of backend servers whose regions are not known, sorted.
func (n *Node) zonesWithoutRegion() []string {
	zones := make(map[string]bool)
	for _, p := range n.pools {
		for i := range p.candidates {
			if zone := p.candidates[i].Zone; n.regions.zones.Region(zone) == "" {
				zones[zone] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// addedNames returns the names that are in now and not in before, which is sorted.
func addedNames(now, before []string) []string {
	return slices.DeleteFunc(slices.Clone(now), func(name string) bool {
		_, known := slices.BinarySearch(before, name)
		return known
	})
}
