package config

import (
	"fmt"
	"slices"
	"strings"
)

// visit is the state of a service in the search for cycles.
type visit uint8

const (
	unvisited visit = iota
	onTrail
	visited
)

// maxShown is the maximum number of services of a cycle that a finding names.
const maxShown = 8

// cycleSearch traverses the dependencies depth first. A dependency on a service of the
// current path closes a cycle. Each cycle is reported once, at the dependency that closes
// it.
type cycleSearch struct {
	checker *checker
	visits  []visit
	trail   []string
}

// checkCycles finds services that depend on themselves, directly or indirectly. The
// dependency resolver follows dependencies to their end, so a cycle would never end.
func (c *checker) checkCycles() {
	search := cycleSearch{checker: c, visits: make([]visit, len(c.text.Services))}
	for i := range c.text.Services {
		search.walk(i)
	}
}

func (s *cycleSearch) walk(i int) {
	if s.visits[i] != unvisited {
		return
	}
	s.visits[i] = onTrail
	service := &s.checker.text.Services[i]
	s.trail = append(s.trail, service.Name)
	for j, name := range service.DependsOn {
		next, ok := s.checker.services[name]
		if !ok {
			continue
		}
		if s.visits[next] == onTrail {
			s.report(at(at("services", i)+".depends_on", j), name)
			continue
		}
		s.walk(next)
	}
	s.trail = s.trail[:len(s.trail)-1]
	s.visits[i] = visited
}

// report adds a finding for a cycle that closes at name. Long cycles are shortened, since
// one text can contain very many of them.
func (s *cycleSearch) report(path, name string) {
	cycle := s.trail[slices.Index(s.trail, name):]
	shown := strings.Join(cycle[:min(len(cycle), maxShown)], " -> ")
	if len(cycle) > maxShown {
		shown += fmt.Sprintf(" -> (%d more)", len(cycle)-maxShown)
	}
	s.checker.doc.Add(path, "dependency cycle %s -> %s, expected none", shown, name)
}
