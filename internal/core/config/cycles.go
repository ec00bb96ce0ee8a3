package config

import (
	"slices"
	"strings"
)

// visit is how far the search for cycles has come with a service.
type visit uint8

const (
	unvisited visit = iota
	onTrail
	visited
)

// cycleSearch walks the dependencies depth first. A dependency on a service of
// the trail closes a cycle; each is reported once, where it closes.
type cycleSearch struct {
	checker *checker
	visits  []visit
	trail   []string
}

// checkCycles finds services that need themselves through others. The resolver
// of dependencies follows them to their end, so a cycle would never end.
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
			cycle := append(slices.Clone(s.trail[slices.Index(s.trail, name):]), name)
			s.checker.doc.Add(at(at("services", i)+".depends_on", j), "dependency cycle %s, expected none", strings.Join(cycle, " -> "))
			continue
		}
		s.walk(next)
	}
	s.trail = s.trail[:len(s.trail)-1]
	s.visits[i] = visited
}
