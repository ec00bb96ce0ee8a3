// Package overloadstats counts the requests that an instance admits and refuses, and detects when a service refuses requests for lack
// of room.
//
// It shows operators why requests are refused: of which service, urgency and customer, since when, and for which reason. No
// decision depends on it. The number of services, customers and servers is not bounded, so each table has a fixed number of rows and
// one more for all others.
package overloadstats

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// The bounds on the rows of each table. Together with MaxLabelBytes they keep a scrape below 64 KB.
const (
	// MaxLevels is the maximum number of pairs of a service and a level.
	MaxLevels = 72
	// MaxRefusals is the maximum number of combinations of a service, a level and a reason.
	MaxRefusals = 112
	// MaxPlacements is the maximum number of pairs of a service and a reason for a placement outside the instance's zone.
	MaxPlacements = 32
	// MaxCustomers is the maximum number of customers that are counted one by one.
	MaxCustomers = 64
	// MaxSlowServers is the maximum number of slow servers that are exposed, the slowest first.
	MaxSlowServers = 40
	// MaxServices is the maximum number of services whose overload is exposed.
	MaxServices = 32
)

// Level is the urgency of a request, from 0, the most urgent, or NoLevel.
type Level int8

// NoLevel is the level of requests without an urgency: those that name their service instead of using a route.
const NoLevel Level = -1

// levels is the number of values of Level.
const levels = config.MaxUrgencyLevel + 2

// index returns the position of a level in an array.
func (l Level) index() int { return min(max(0, int(l)+1), levels-1) }

// OutOfZone is the reason why a request was placed outside the instance's zone.
type OutOfZone string

// The reasons for placements outside the instance's zone.
const (
	// RegionOnly means that the request may not be processed in the instance's zone.
	RegionOnly OutOfZone = "region"
	// ZoneEvacuated means that the instance's zone is evacuated.
	ZoneEvacuated OutOfZone = "evacuated"
	// Session means that the server has the session's or the chat's data, or goes on with its stream.
	Session OutOfZone = "session"
	// NoServer means that the service has no usable server in the zone.
	NoServer OutOfZone = "no-server"
	// ZoneFull means that servers elsewhere were preferred because those in the zone are busier.
	ZoneFull OutOfZone = "zone-full"
	// NextAttempt means that the attempt is a retry or a hedge.
	NextAttempt OutOfZone = "next-attempt"
)

// AllOutOfZone lists every value of OutOfZone.
var AllOutOfZone = []OutOfZone{RegionOnly, ZoneEvacuated, Session, NoServer, ZoneFull, NextAttempt}

// The keys of the counters. The service Others stands for all services without a row.
type (
	// LevelKey identifies the requests of a level of a service.
	LevelKey struct {
		Service string
		Level   Level
	}
	// RefusalKey identifies the refusals of a level of a service for a reason.
	RefusalKey struct {
		Service string
		Level   Level
		Reason  reason.Reason
	}
	// PlacementKey identifies the placements of a service's requests for a reason.
	PlacementKey struct {
		Service string
		Why     OutOfZone
	}
)

// Others is the name of the row for everything that has no row of its own.
const Others = "(others)"

// Stats counts what one instance admits and refuses. It is not safe for concurrent use.
type Stats struct {
	admitted   *counters[LevelKey]
	refused    *counters[RefusalKey]
	placements *counters[PlacementKey]
	customers  customers
	services   map[string]*service
	reasons    map[reason.Reason]int
	keptAt     time.Time
}

// New returns statistics without any request.
func New() *Stats {
	s := &Stats{
		admitted: newCounters(MaxLevels, func(LevelKey) LevelKey { return LevelKey{Service: Others, Level: NoLevel} }),
		refused: newCounters(MaxRefusals, func(k RefusalKey) RefusalKey {
			return RefusalKey{Service: Others, Level: NoLevel, Reason: k.Reason}
		}),
		placements: newCounters(MaxPlacements, func(k PlacementKey) PlacementKey { return PlacementKey{Service: Others, Why: k.Why} }),
		customers:  newCustomers(),
		services:   make(map[string]*service),
		reasons:    make(map[reason.Reason]int, len(reason.All)),
	}
	for i, why := range reason.All {
		s.reasons[why] = i
	}
	return s
}

// Admitted records that a request was sent to a server for the first time.
func (s *Stats) Admitted(service string, level Level, customer string, now time.Time) {
	s.admitted.add(LevelKey{Service: service, Level: level})
	s.customers.of(customer).admit()
	v := s.service(service)
	v.sinceChange.admitted[level.index()]++
	v.second(now).admitted[level.index()]++
}

// Refused records that a request ended without having run.
func (s *Stats) Refused(service string, level Level, customer string, why reason.Reason, now time.Time) {
	s.refused.add(RefusalKey{Service: service, Level: level, Reason: why})
	s.customers.of(customer).refuse()
	v := s.service(service)
	i := s.reasons[why]
	for _, t := range []*totals{&v.sinceChange, &v.second(now).totals} {
		t.refused[level.index()]++
		t.reasons[i]++
	}
	if lacksRoom(why) {
		v.lackedAt = now
	}
}

// PlacedOutOfZone records that a request was sent to a server outside the instance's zone.
func (s *Stats) PlacedOutOfZone(service string, why OutOfZone) {
	s.placements.add(PlacementKey{Service: service, Why: why})
}

// Counts are the requests that were admitted and refused.
type Counts struct{ Admitted, Refused uint64 }

// EachAdmitted calls f for every counter of admitted requests, in no particular order.
func (s *Stats) EachAdmitted(f func(LevelKey, uint64)) { s.admitted.each(f) }

// EachRefused calls f for every counter of refused requests, in no particular order.
func (s *Stats) EachRefused(f func(RefusalKey, uint64)) { s.refused.each(f) }

// EachPlacement calls f for every counter of placements outside the instance's zone, in no particular order.
func (s *Stats) EachPlacement(f func(PlacementKey, uint64)) { s.placements.each(f) }

// EachCustomer calls f for every customer that is counted by itself, in no particular order, and for Others.
func (s *Stats) EachCustomer(f func(customer string, counts Counts)) { s.customers.each(f) }

// keepInterval is the interval at which rows are given to other customers, and services that are gone are dropped.
const keepInterval = 10 * time.Second

// Keep drops the services for which known returns false, so that their rows are free for others, and gives rows to the most active
// customers. It does nothing if the last time was less than keepInterval ago.
func (s *Stats) Keep(now time.Time, known func(service string) bool) {
	if now.Sub(s.keptAt) < keepInterval {
		return
	}
	s.keptAt = now
	s.admitted.keep(func(k LevelKey) bool { return known(k.Service) || k.Service == Others })
	s.refused.keep(func(k RefusalKey) bool { return known(k.Service) || k.Service == Others })
	s.placements.keep(func(k PlacementKey) bool { return known(k.Service) || k.Service == Others })
	for name := range s.services {
		if !known(name) {
			delete(s.services, name)
		}
	}
	s.customers.keep()
}
