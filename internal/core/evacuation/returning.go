package evacuation

import (
	"slices"
	"time"
)

// stepTime is the duration of each step in which load returns to a zone. Servers that have been idle fill their caches and
// connections meanwhile.
const stepTime = time.Second

// steps are the shares of requests that may use a zone's servers after its evacuation has ended, before all may.
var steps = []float64{0.1, 0.25, 0.5}

// Returning reports whether load returns to any zone.
func (s *Set) Returning() bool { return len(s.returning) > 0 }

// Share returns the share of requests, from 0 to 1, that may use a zone's servers.
func (s *Set) Share(zone string, now time.Time) float64 {
	if s.Evacuated(zone) {
		return 0
	}
	ended, returning := s.returning[zone]
	if !returning {
		return 1
	}
	step := int(max(0, now.Sub(ended)) / stepTime)
	if step >= len(steps) {
		return 1
	}
	return steps[step]
}

// TakeReturned forgets the zones to which all load has returned, and returns them sorted.
func (s *Set) TakeReturned(now time.Time) []string {
	var list []string
	for zone := range s.returning {
		if s.Share(zone, now) == 1 {
			list = append(list, zone)
		}
	}
	for _, zone := range list {
		delete(s.returning, zone)
	}
	slices.Sort(list)
	return list
}
