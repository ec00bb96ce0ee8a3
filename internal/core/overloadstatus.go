package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/overloadstats"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// This file shows operators what is refused and why, and which servers are slow. No decision depends on it.

// levelOf returns the urgency under which a target's requests are counted.
func levelOf(t *target) overloadstats.Level {
	if t.route == nil || t.customer == nil {
		return overloadstats.NoLevel
	}
	return overloadstats.Level(t.policy.priority)
}

// countSent counts a request whose attempt was sent just now.
func (n *Node) countSent(r *request) {
	if r.attempts == 1 {
		n.overload.Admitted(r.service.Name, levelOf(&r.target), r.arrived.Customer, n.now)
	}
	if r.zone != n.settings.Zone && !r.continuesRun {
		n.overload.PlacedOutOfZone(r.service.Name, n.outOfZone(r))
	}
}

// countRefused counts a request that ends without having run, unless its caller has left.
func (n *Node) countRefused(t *target, f *Finish) {
	if t.service == nil || f.Outcome != reason.NotRun || f.Reason == reason.CallerGone {
		return
	}
	customer := ""
	if t.customer != nil {
		customer = t.customer.Name
	}
	n.overload.Refused(t.service.Name, levelOf(t), customer, f.Reason, n.now)
}

// outOfZone returns why the attempt that was sent just now is outside the instance's zone.
func (n *Node) outOfZone(r *request) overloadstats.OutOfZone {
	zone := n.settings.Zone
	switch {
	case !r.zoneAllowed(zone):
		return overloadstats.RegionOnly
	case n.evacuations.set.Evacuated(zone):
		return overloadstats.ZoneEvacuated
	case !n.pool(r.service.Name).usableIn(zone):
		return overloadstats.NoServer
	case r.attempts > 1:
		return overloadstats.NextAttempt
	case r.software != nil, r.arrived.Prompt != nil, r.arrived.Chat != "":
		return overloadstats.Session
	default:
		return overloadstats.ZoneFull
	}
}

// usableIn reports whether a zone has a usable server of the pool.
func (p *pool) usableIn(zone string) bool {
	for i := range p.candidates {
		if c := &p.candidates[i]; c.Zone == zone && c.Usable() {
			return true
		}
	}
	return false
}

// tickOverload logs the start and the end of the overload of services.
func (n *Node) tickOverload() {
	if n.snapshot == nil {
		return
	}
	for _, name := range n.snapshot.Services() {
		if change, changed := n.overload.Update(name, n.now); changed {
			n.logOverload(name, &change)
		}
	}
	n.overload.Keep(n.now, func(service string) bool { return n.snapshot.Service(service) != nil })
}

func (n *Node) logOverload(service string, change *overloadstats.Change) {
	state := "overload ended"
	if change.Begun {
		state = "overloaded"
	}
	v := n.overloadStatus(service)
	var b strings.Builder
	fmt.Fprintf(&b, "load %.1f of %.0f at %d servers, ", v.Load, v.Capacity, v.Servers)
	if v.ReportAge < 0 {
		b.WriteString("without a report")
	} else {
		fmt.Fprintf(&b, "by reports up to %v old", v.ReportAge.Round(time.Millisecond))
	}
	for _, l := range v.Levels {
		if l.Wait > 0 {
			fmt.Fprintf(&b, "; level %d waits %v", l.Level, l.Wait.Round(time.Millisecond))
		}
	}
	if change.Lasted > 0 {
		fmt.Fprintf(&b, "; the state before lasted %v", change.Lasted.Round(time.Millisecond))
	}
	b.WriteString("; since the line before:")
	for _, l := range change.Before.Levels {
		fmt.Fprintf(&b, " level %d: %d sent, %d refused;", l.Level, l.Admitted, l.Refused)
	}
	for _, r := range change.Before.Reasons {
		fmt.Fprintf(&b, " %d %s", r.Refused, r.Reason)
	}
	if len(change.Before.Levels) == 0 {
		b.WriteString(" no request")
	}
	n.emit(StateChanged{Subject: SubjectService, Name: service, State: state, Cause: b.String()})
}

func (n *Node) overloadStatus(service string) *status.Overload {
	v := &status.Overload{ReportAge: -1}
	p := n.pool(service)
	load := p.reachableLoad()
	v.Load, v.Servers, v.Capacity = load.Total, int(load.Servers), p.candidates.Capacity(load.Servers)
	for i := range p.candidates {
		if at, known := n.load.LastReport(p.candidates[i].Name); known && p.candidates[i].Usable() {
			v.ReportAge = max(v.ReportAge, n.now.Sub(at))
		}
	}
	v.Overloaded, v.Since = n.overload.Overloaded(service)
	recent := n.overload.Recent(service, n.now)
	for _, r := range recent.Reasons {
		v.Refused = append(v.Refused, status.Refused{Reason: r.Reason, Count: r.Refused})
	}
	for _, l := range recent.Levels {
		v.Levels = append(v.Levels, status.Level{Level: int(l.Level), Admitted: l.Admitted, Refused: l.Refused})
	}
	for level := range config.MaxUrgencyLevel + 1 {
		wait := p.waits.Expected(level, n.now)
		if wait == 0 {
			continue
		}
		i, found := slices.BinarySearchFunc(v.Levels, level, func(l status.Level, level int) int { return cmp.Compare(l.Level, level) })
		if !found {
			v.Levels = slices.Insert(v.Levels, i, status.Level{Level: level})
		}
		v.Levels[i].Wait = wait
	}
	return v
}

// OverloadMetrics are the figures of a scrape; see package overloadstats for their bounds.
type OverloadMetrics struct {
	Admitted   map[overloadstats.LevelKey]uint64
	Refused    map[overloadstats.RefusalKey]uint64
	Placements map[overloadstats.PlacementKey]uint64
	Customers  map[string]overloadstats.Counts
	// Waits are the expected waits for the first byte.
	Waits map[overloadstats.LevelKey]time.Duration
	// Overloaded holds whether a service is overloaded, for at most overloadstats.MaxServices.
	Overloaded map[string]bool
	Slow       []SlowServer
}

// SlowServer is a backend server that is slower than usual.
type SlowServer struct {
	Service, Server string
	Slowness        float64
	Basis           status.SlownessBasis
}

// OverloadMetrics returns a copy of the figures for a scrape.
func (n *Node) OverloadMetrics() OverloadMetrics {
	m := OverloadMetrics{
		Admitted:   make(map[overloadstats.LevelKey]uint64, overloadstats.MaxLevels),
		Refused:    make(map[overloadstats.RefusalKey]uint64, overloadstats.MaxRefusals),
		Placements: make(map[overloadstats.PlacementKey]uint64, overloadstats.MaxPlacements),
		Customers:  make(map[string]overloadstats.Counts, overloadstats.MaxCustomers),
		Waits:      make(map[overloadstats.LevelKey]time.Duration),
		Overloaded: make(map[string]bool),
		Slow:       n.slowServers(),
	}
	n.overload.EachAdmitted(func(k overloadstats.LevelKey, count uint64) { m.Admitted[k] = count })
	n.overload.EachRefused(func(k overloadstats.RefusalKey, count uint64) { m.Refused[k] = count })
	n.overload.EachPlacement(func(k overloadstats.PlacementKey, count uint64) { m.Placements[k] = count })
	n.overload.EachCustomer(func(name string, counts overloadstats.Counts) { m.Customers[name] = counts })
	if n.snapshot == nil {
		return m
	}
	for _, name := range n.snapshot.Services() {
		if len(m.Overloaded) < overloadstats.MaxServices {
			m.Overloaded[name], _ = n.overload.Overloaded(name)
		}
		waits := &n.pool(name).waits
		for level := range config.MaxUrgencyLevel + 1 {
			if wait := waits.Expected(level, n.now); wait > 0 && len(m.Waits) < overloadstats.MaxLevels {
				m.Waits[overloadstats.LevelKey{Service: name, Level: overloadstats.Level(level)}] = wait
			}
		}
	}
	return m
}

// slowness returns the estimated slowness of a backend server, as a multiple of the usual time, and the basis of the estimate. It returns
// 0 for a server that is not slower than usual.
func (n *Node) slowness(server string) (float64, status.SlownessBasis) {
	slowness, full := n.speed.Estimate(server, n.now)
	switch {
	case slowness <= 1:
		return 0, ""
	case full:
		return slowness, status.SlownessReported
	default:
		return slowness, status.SlownessFading
	}
}

// slowServers returns the slowest backend servers, the slowest first.
func (n *Node) slowServers() []SlowServer {
	var list []SlowServer
	for service, p := range n.pools {
		for i := range p.candidates {
			if slowness, basis := n.slowness(p.candidates[i].Name); slowness > 0 {
				list = append(list, SlowServer{Service: service, Server: p.candidates[i].Name, Slowness: slowness, Basis: basis})
			}
		}
	}
	slices.SortFunc(list, func(a, b SlowServer) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Service, b.Service))
	})
	return list[:min(len(list), overloadstats.MaxSlowServers)]
}
