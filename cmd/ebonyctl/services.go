package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// serviceLoad is the state of a service over all instances that answered.
type serviceLoad struct {
	name string
	// load, capacity and servers are the means of what the instances estimate.
	load, capacity, servers float64
	// reporting is the number of instances whose status includes the service, and overloaded the number of those at which it is
	// overloaded.
	reporting, overloaded int
	levels                map[int]*levelLoad
	refused               map[reason.Reason]int
}

// levelLoad is the state of the requests of one urgency.
type levelLoad struct {
	admitted, refused int
	// longest is the longest expected wait of any instance.
	longest time.Duration
}

// serviceLoads returns the state of each service over all instances that answered, sorted by name.
func serviceLoads(results []statusResult) []*serviceLoad {
	byName := make(map[string]*serviceLoad)
	for _, r := range results {
		if r.Status == nil {
			continue
		}
		for i := range r.Status.Services {
			s := &r.Status.Services[i]
			if s.Overload == nil {
				continue
			}
			v := byName[s.Name]
			if v == nil {
				v = &serviceLoad{name: s.Name, levels: make(map[int]*levelLoad), refused: make(map[reason.Reason]int)}
				byName[s.Name] = v
			}
			v.add(s.Overload)
		}
	}
	list := slices.Collect(maps.Values(byName))
	for _, v := range list {
		v.load /= float64(v.reporting)
		v.capacity /= float64(v.reporting)
		v.servers /= float64(v.reporting)
	}
	slices.SortFunc(list, func(a, b *serviceLoad) int { return cmp.Compare(a.name, b.name) })
	return list
}

func (v *serviceLoad) add(s *status.Overload) {
	v.reporting++
	v.load += s.Load
	v.capacity += s.Capacity
	v.servers += float64(s.Servers)
	if s.Overloaded {
		v.overloaded++
	}
	for _, l := range s.Levels {
		if v.levels[l.Level] == nil {
			v.levels[l.Level] = &levelLoad{}
		}
		level := v.levels[l.Level]
		level.admitted += l.Admitted
		level.refused += l.Refused
		level.longest = max(level.longest, l.Wait)
	}
	for _, r := range s.Refused {
		v.refused[r.Reason] += r.Count
	}
}

// printServices prints a row for each service: its load, and what was refused in the last ten seconds.
func (c *cli) printServices(results []statusResult) {
	list := serviceLoads(results)
	if len(list) == 0 {
		return
	}
	c.printf("\n")
	t := c.table("SERVICE", "LOAD", "CAPACITY", "SERVERS", "OVERLOADED AT", "LEVEL: REFUSED OF ALL IN 10 S, LONGEST WAIT", "REASONS")
	for _, v := range list {
		t.row(v.name, fmt.Sprintf("%.1f", v.load), fmt.Sprintf("%.0f", v.capacity), fmt.Sprintf("%.0f", v.servers),
			fmt.Sprintf("%d of %d", v.overloaded, v.reporting), v.levelList(), v.reasonList())
	}
	t.flush()
}

// levelList describes the levels, the most urgent first.
func (v *serviceLoad) levelList() string {
	var parts []string
	for _, number := range slices.Sorted(maps.Keys(v.levels)) {
		l := v.levels[number]
		name := "none"
		if number >= 0 {
			name = fmt.Sprint(number)
		}
		part := fmt.Sprintf("%s: %d of %d", name, l.refused, l.admitted+l.refused)
		if l.longest > 0 {
			part += ", " + l.longest.Round(time.Millisecond).String()
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

// reasonList describes the refusals, the most frequent reason first.
func (v *serviceLoad) reasonList() string {
	reasons := slices.SortedFunc(maps.Keys(v.refused), func(a, b reason.Reason) int {
		return cmp.Or(cmp.Compare(v.refused[b], v.refused[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, why := range reasons {
		parts = append(parts, fmt.Sprintf("%d %s", v.refused[why], why))
	}
	return strings.Join(parts, ", ")
}
