package streams

import (
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

const (
	// zoneKeepers is the number of other instances of the own availability zone that keep a record, and
	// maxZoneKeepers the number of those that may.
	zoneKeepers, maxZoneKeepers = 2, 3
	// outerKeepers is the number of instances of other zones that keep a record, and maxOuterKeepers the
	// number of those that may, each of another zone.
	outerKeepers, maxOuterKeepers = 1, 2
	// outerKeepersPerZone is the number of instances of a zone that keep records of other zones. It bounds
	// the links between zones.
	outerKeepersPerZone = 16
)

// Keepers says which instances keep the records of which streams. It depends only on the list of instances,
// so that all instances with the same list agree.
//
// In a full mesh every instance keeps all records. In a larger fleet, the highest ranked instances for the
// stream's key in the zone where the stream began keep its record, and one instance in another zone in
// case that the whole zone is lost.
type Keepers struct {
	self, zone string
	// fullMesh holds the other instances of a fleet that is a full mesh.
	fullMesh []string
	// byZone holds the instances of each zone, and outer those of them that keep records of other zones.
	byZone, outer map[string][]string
	zones         []string
}

// Member is one instance of the fleet.
type Member struct{ Name, Zone string }

// NewKeepers returns the keepers from the point of view of an instance.
func NewKeepers(self Member, members []Member, fullMesh bool) *Keepers {
	k := &Keepers{self: self.Name, zone: self.Zone, byZone: make(map[string][]string), outer: make(map[string][]string)}
	for _, m := range members {
		if fullMesh && m.Name != self.Name {
			k.fullMesh = append(k.fullMesh, m.Name)
		}
		k.byZone[m.Zone] = append(k.byZone[m.Zone], m.Name)
	}
	if fullMesh {
		return k
	}
	for zone, names := range k.byZone {
		k.outer[zone] = rendezvous.Top(rendezvous.Hash("keepers/"+zone), names, outerKeepersPerZone)
		k.zones = append(k.zones, zone)
	}
	slices.Sort(k.zones)
	return k
}

// ToSend returns the instances that the record of a stream that began here is sent to. The next ones of the
// ranking take the place of those that are not reachable, as of a zone that was just lost.
func (k *Keepers) ToSend(key Key, reachable func(name string) bool) []string {
	if k.fullMesh != nil {
		return k.fullMesh
	}
	inZone := k.topInZone(key)
	var outer []string
	for _, zone := range k.rankedZones(key) {
		if zone != k.zone {
			outer = k.add(outer, k.topOuter(key, zone))
		}
	}
	outer = outer[:min(maxOuterKeepers, len(outer))]
	if len(k.zones) == 1 {
		return inZone
	}
	return append(enough(inZone, zoneKeepers, reachable), enough(outer, outerKeepers, reachable)...)
}

// enough returns the first names of a ranking until count of them are reachable.
func enough(ranking []string, count int, reachable func(name string) bool) []string {
	for i, name := range ranking {
		if reachable(name) {
			count--
		}
		if count == 0 {
			return ranking[:i+1]
		}
	}
	return ranking
}

// ToAsk returns the instances that may have the record of a stream, wherever it began: the callers of a zone
// that was lost are sent to any other one, and to another again with the next request.
func (k *Keepers) ToAsk(key Key) []string {
	if k.fullMesh != nil {
		return k.fullMesh
	}
	asked := k.topInZone(key)
	for _, zone := range k.zones {
		for _, name := range rendezvous.Top(uint64(key), k.byZone[zone], zoneKeepers) {
			asked = k.add(asked, name)
		}
	}
	for _, zone := range k.rankedZones(key) {
		asked = k.add(asked, k.topOuter(key, zone))
	}
	return asked
}

// add appends a name unless it is empty, this instance's or there already.
func (k *Keepers) add(names []string, name string) []string {
	if name == "" || name == k.self || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// topInZone returns the other instances of the own zone that may keep a record, highest ranked first.
func (k *Keepers) topInZone(key Key) []string {
	top := rendezvous.Top(uint64(key), k.byZone[k.zone], maxZoneKeepers+1)
	top = slices.DeleteFunc(top, func(name string) bool { return name == k.self })
	return top[:min(maxZoneKeepers, len(top))]
}

// rankedZones returns the zones whose instances may keep a record of another zone. One of them may be the zone
// where the stream began.
func (k *Keepers) rankedZones(key Key) []string {
	return rendezvous.Top(uint64(key), k.zones, maxOuterKeepers+1)
}

func (k *Keepers) topOuter(key Key, zone string) string {
	top := rendezvous.Top(uint64(key), k.outer[zone], 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}
