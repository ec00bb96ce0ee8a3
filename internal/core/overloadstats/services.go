package overloadstats

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

const (
	// RecentSeconds is the number of seconds that Recent covers, including the current one.
	RecentSeconds = 10
	// quietTime is the time without a refusal for lack of room after which an overload has ended. It limits the log lines of a service
	// that refuses single requests occasionally.
	quietTime = 3 * time.Second
)

// lacksRoom reports whether a reason for a refusal means that the service has no room, rather than that the request cannot be
// served at all.
func lacksRoom(why reason.Reason) bool {
	switch why {
	case reason.Saturated, reason.WaitTooLong, reason.CustomerShare, reason.ZoneEvacuated, reason.BackendRefused, reason.Overloaded:
		return true
	default:
		return false
	}
}

// totals are the numbers of admitted and refused requests of a service in a period.
type totals struct {
	admitted, refused [levels]uint64
	// reasons are the refusals by their position in reason.All.
	reasons []uint64
}

func newTotals() totals { return totals{reasons: make([]uint64, len(reason.All))} }

func (t *totals) clear() {
	t.admitted, t.refused = [levels]uint64{}, [levels]uint64{}
	clear(t.reasons)
}

func (t *totals) add(other *totals) {
	for i := range t.admitted {
		t.admitted[i] += other.admitted[i]
		t.refused[i] += other.refused[i]
	}
	for i, n := range other.reasons {
		t.reasons[i] += n
	}
}

// second holds the totals of one second.
type second struct {
	totals
	unix int64
}

// service is the recent past of one service.
type service struct {
	seconds [RecentSeconds]second
	// sinceChange holds the requests since the last change of overloaded.
	sinceChange totals
	// overloaded is set while the service refuses requests for lack of room, and changedAt is when that changed.
	overloaded bool
	changedAt  time.Time
	// lackedAt is the time of the last refusal for lack of room.
	lackedAt time.Time
}

func (s *Stats) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{sinceChange: newTotals()}
		for i := range v.seconds {
			v.seconds[i].totals = newTotals()
		}
		s.services[name] = v
	}
	return v
}

func (v *service) second(now time.Time) *second {
	unix := now.Unix()
	t := &v.seconds[uint64(unix)%RecentSeconds]
	if t.unix != unix {
		t.clear()
		t.unix = unix
	}
	return t
}

// Totals are the numbers of admitted and refused requests of a service in a period.
type Totals struct {
	// Levels are the levels with requests, the most urgent first, requests without a level before them.
	Levels []LevelTotals
	// Reasons are the reasons with refusals, in the order of reason.All.
	Reasons []ReasonTotal
}

// LevelTotals are the requests of one level.
type LevelTotals struct {
	Level             Level
	Admitted, Refused int
}

// ReasonTotal is the number of refusals for one reason.
type ReasonTotal struct {
	Reason  reason.Reason
	Refused int
}

func (t *totals) public() Totals {
	var list Totals
	for i := range t.admitted {
		if t.admitted[i]+t.refused[i] > 0 {
			list.Levels = append(list.Levels, LevelTotals{Level: Level(i - 1), Admitted: int(t.admitted[i]), Refused: int(t.refused[i])})
		}
	}
	for i, n := range t.reasons {
		if n > 0 {
			list.Reasons = append(list.Reasons, ReasonTotal{Reason: reason.All[i], Refused: int(n)})
		}
	}
	return list
}

// Recent returns the numbers of a service's admitted and refused requests in the last RecentSeconds.
func (s *Stats) Recent(service string, now time.Time) Totals {
	sum := newTotals()
	if v := s.services[service]; v != nil {
		for i := range v.seconds {
			if age := now.Unix() - v.seconds[i].unix; age >= 0 && age < RecentSeconds {
				sum.add(&v.seconds[i].totals)
			}
		}
	}
	return sum.public()
}

// Overloaded reports whether a service refuses requests for lack of room, and since when it does or does not.
func (s *Stats) Overloaded(service string) (overloaded bool, since time.Time) {
	if v := s.services[service]; v != nil {
		return v.overloaded, v.changedAt
	}
	return false, time.Time{}
}

// Change is the start or the end of a service's overload.
type Change struct {
	Begun bool
	// Lasted is the duration of the previous state, 0 if it is not known.
	Lasted time.Duration
	// Before holds the numbers of requests since the last change.
	Before Totals
}

// Update returns the change of a service's overload since the last call, if there is one. An overload lasts at least
// quietTime.
func (s *Stats) Update(service string, now time.Time) (Change, bool) {
	v := s.services[service]
	if v == nil || v.lackedAt.IsZero() {
		return Change{}, false
	}
	lacking := now.Sub(v.lackedAt) < quietTime
	if lacking == v.overloaded {
		return Change{}, false
	}
	change := Change{Begun: lacking, Before: v.sinceChange.public()}
	if !v.changedAt.IsZero() {
		change.Lasted = now.Sub(v.changedAt)
	}
	v.overloaded, v.changedAt = lacking, now
	v.sinceChange.clear()
	return change, true
}
