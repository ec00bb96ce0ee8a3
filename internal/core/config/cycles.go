package config

import (
	"fmt"
	"slices"
	"strings"
)

// visitState is the state of a service in the search for cycles.
type visitState uint8

const (
	unvisited visitState = iota
	onPath
	visited
)

// maxCycleNames is the maximum number of services of a cycle that a finding names.
const maxCycleNames = 8

// cycleSearch traverses the dependencies depth first. A dependency on a service of the
// current path closes a cycle. Each cycle is reported once, at the dependency that closes
// it.
type cycleSearch struct {
	checker *checker
	visits  []visitState
	path    []string
}

// checkCycles finds services that depend on themselves, directly or indirectly. The
// dependency resolver follows dependencies to their end, so a cycle would never end.
func (c *checker) checkCycles() {
	search := cycleSearch{checker: c, visits: make([]visitState, len(c.text.Services))}
	for i := range c.text.Services {
		search.walk(i)
	}
}

func (s *cycleSearch) walk(i int) {
	if s.visits[i] != unvisited {
		return
	}
	s.visits[i] = onPath
	service := &s.checker.text.Services[i]
	s.path = append(s.path, service.Name)
	for j, name := range service.DependsOn {
		next, ok := s.checker.services[name]
		if !ok {
			continue
		}
		if s.visits[next] == onPath {
			s.report(elementPath(elementPath("services", i)+".depends_on", j), name)
			continue
		}
		s.walk(next)
	}
	s.path = s.path[:len(s.path)-1]
	s.visits[i] = visited
}

// report adds a finding for a cycle that closes at name. Long cycles are shortened, since
// one text can contain very many of them.
func (s *cycleSearch) report(path, name string) {
	cycle := s.path[slices.Index(s.path, name):]
	shown := strings.Join(cycle[:min(len(cycle), maxCycleNames)], " -> ")
	if len(cycle) > maxCycleNames {
		shown += fmt.Sprintf(" -> (%d more)", len(cycle)-maxCycleNames)
	}
	s.checker.doc.Add(path, "dependency cycle %s -> %s, expected none", shown, name)
}
