package streams

import (
	"maps"
	"slices"
	"time"
)

// History says which software versions and route tables have served lately. The platform's store keeps it, because it must outlive
// all instances: one that has just started cannot conclude from the backend servers that it sees that no others have served.
//
// Invariant: no stream begins at a version that the stored history of its service lacks, unless no server of another one is usable.
type History struct {
	// Services holds the versions of each service, in the order in which they began to serve.
	Services map[string][]string `json:"services"`
	// RouteTables holds the digests of the route tables in the order in which they came into force. A route table says which
	// services the streams of each route may begin at.
	RouteTables []string `json:"route_tables,omitempty"`
}

// clone returns a deep copy.
func (h *History) clone() History {
	c := History{Services: make(map[string][]string, len(h.Services)), RouteTables: slices.Clone(h.RouteTables)}
	for service, versions := range h.Services {
		c.Services[service] = slices.Clone(versions)
	}
	return c
}

// equal reports whether two histories hold the same.
func (h *History) equal(other *History) bool {
	return maps.EqualFunc(h.Services, other.Services, slices.Equal[[]string]) && slices.Equal(h.RouteTables, other.RouteTables)
}

// StoredHistory is the stored history as an instance knows it. Its zero value knows nothing. It is not safe for concurrent use.
type StoredHistory struct {
	// history is the last one that was known, nil if there was none.
	history *History
	// revision is that of the store's key, 0 if it has none.
	revision uint64
	// lost is set if the store has no readable history any more.
	lost bool
	// inheritedTables are the route tables of the first history that was read.
	inheritedTables []string
}

// Known reports whether the store has, or had, a history.
func (s *StoredHistory) Known() bool { return s.history != nil }

// Current reports whether the known history is that of the store.
func (s *StoredHistory) Current() bool { return s.history != nil && !s.lost }

// Revision returns the revision of the store's key, 0 if it has none.
func (s *StoredHistory) Revision() uint64 { return s.revision }

// Covers reports whether the history of a service is known.
func (s *StoredHistory) Covers(service string) bool {
	return s.history != nil && len(s.history.Services[service]) > 0
}

// Has reports whether the history of a service has a version.
func (s *StoredHistory) Has(software Software) bool {
	return s.history != nil && slices.Contains(s.history.Services[software.Service], software.Version)
}

// Settled reports whether a version has served for so long that all instances know it, as far as the history tells. The newest of
// several may have begun to serve just now.
func (s *StoredHistory) Settled(software Software) bool {
	if !s.Covers(software.Service) {
		return true
	}
	versions := s.history.Services[software.Service]
	at := slices.Index(versions, software.Version)
	return at >= 0 && (len(versions) == 1 || at < len(versions)-1)
}

// Apply replaces the known history by what the store has at a revision. It adds the versions to those that served, and the route
// tables to those that were in force. If the store has no history, h is nil, and the known one is kept until it is written again.
func (s *StoredHistory) Apply(now time.Time, h *History, revision uint64, versions, tables *Versions) {
	first := s.history == nil
	old := s.history
	s.revision, s.lost = revision, h == nil
	if h == nil {
		return
	}
	s.history = h
	if first && s.inheritedTables == nil {
		s.inheritedTables = slices.Clone(h.RouteTables)
	}
	for _, table := range h.RouteTables {
		if old == nil || !slices.Contains(old.RouteTables, table) {
			tables.Inherit(now, Software{Version: table}, true)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(h.Services)) {
		for _, version := range h.Services[service] {
			if old != nil && slices.Contains(old.Services[service], version) {
				continue
			}
			software := Software{Service: service, Version: version}
			versions.Inherit(now, software, first && s.Settled(software))
		}
	}
}

// TableReplaced reports whether another route table than the given one was in force shortly before this instance started.
func (s *StoredHistory) TableReplaced(table string) bool {
	return s.history != nil && slices.ContainsFunc(s.inheritedTables, func(inherited string) bool {
		return inherited != table && slices.Contains(s.history.RouteTables, inherited)
	})
}

// Next returns the history that the store should have, and whether it differs from what it has.
func (s *StoredHistory) Next(now time.Time, versions, tables *Versions) (History, bool) {
	next := History{Services: make(map[string][]string)}
	if s.history != nil {
		next = s.history.clone()
	}
	missing := !s.Current()
	for _, service := range s.services(versions) {
		list := nextVersions(next.Services[service], service, versions, versions.toRecord(now, service, missing))
		if len(list) == 0 {
			delete(next.Services, service)
			continue
		}
		next.Services[service] = list
	}
	next.RouteTables = nextVersions(next.RouteTables, "", tables, tables.toRecord(now, "", missing))
	if missing {
		return next, len(next.Services) > 0
	}
	return next, !next.equal(s.history)
}

// services returns the services of the history and those whose versions are known.
func (s *StoredHistory) services(versions *Versions) []string {
	list := versions.names()
	if s.history != nil {
		list = slices.AppendSeq(list, maps.Keys(s.history.Services))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// nextVersions returns stored versions without those that have not served for Retention, and with the added ones.
func nextVersions(stored []string, service string, versions *Versions, added []string) []string {
	var next []string
	for _, version := range stored {
		if !versions.LastServed(Software{Service: service, Version: version}).IsZero() {
			next = append(next, version)
		}
	}
	for _, version := range added {
		if version != "" && !slices.Contains(next, version) && len(next) < maxVersions {
			next = append(next, version)
		}
	}
	return next
}
