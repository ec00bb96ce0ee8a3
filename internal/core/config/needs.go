package config

import (
	"maps"
	"slices"
)

// Needs lists the services that a service needs, directly or through others, in
// the order of their names. Each stands once: services that share what they need
// would otherwise multiply the work of a request with each layer of the text.
func (s *Snapshot) Needs(service string) []string { return s.needs[service] }

// allNeeds works out Needs for every service of a text without cycles.
func allNeeds(services []Service) map[string][]string {
	direct := make(map[string][]string, len(services))
	for i := range services {
		direct[services[i].Name] = services[i].DependsOn
	}
	needs := make(map[string][]string, len(services))
	var of func(name string) []string
	of = func(name string) []string {
		if list, done := needs[name]; done {
			return list
		}
		set := make(map[string]bool)
		for _, dependency := range direct[name] {
			set[dependency] = true
			for _, further := range of(dependency) {
				set[further] = true
			}
		}
		needs[name] = slices.Sorted(maps.Keys(set))
		return needs[name]
	}
	for name := range direct {
		of(name)
	}
	return needs
}
