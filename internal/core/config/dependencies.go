package config

import (
	"maps"
	"slices"
)

// Dependencies returns the names of the services that a service depends on, directly or
// indirectly, in sorted order and without duplicates. With duplicates, shared dependencies
// would multiply the work of a request with each level of dependencies.
func (s *Snapshot) Dependencies(service string) []string { return s.dependencies[service] }

// transitiveDependencies computes the transitive dependencies of every service. They must
// have no cycles.
func transitiveDependencies(services []Service) map[string][]string {
	declared := make(map[string][]string, len(services))
	for i := range services {
		declared[services[i].Name] = services[i].DependsOn
	}
	resolved := make(map[string][]string, len(services))
	var resolve func(name string) []string
	resolve = func(name string) []string {
		if list, done := resolved[name]; done {
			return list
		}
		set := make(map[string]bool)
		for _, dependency := range declared[name] {
			set[dependency] = true
			for _, indirect := range resolve(dependency) {
				set[indirect] = true
			}
		}
		resolved[name] = slices.Sorted(maps.Keys(set))
		return resolved[name]
	}
	for name := range declared {
		resolve(name)
	}
	return resolved
}
