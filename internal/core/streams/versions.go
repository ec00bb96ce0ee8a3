package streams

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Retention is how long a version of a service, or a service of a route, counts after it was last
	// known to serve. Callers may continue streams of that time. A server that left may go on serving
	// for many seconds, and an instance that is cut off may send it requests meanwhile.
	Retention = 2 * time.Minute
	// recordWithin is the time since it was last seen to serve within which a version is added to the stored history. It is shorter
	// than Retention, so that no instance adds what another one has just dropped.
	recordWithin = Retention - 10*time.Second
	// maxVersions bounds the versions of a service that are remembered.
	maxVersions = 64
)

// Versions holds which software versions of each service have served lately.
type Versions struct {
	services map[string]map[string]*period
}

// period is the time in which a version was known to serve.
type period struct {
	first, last time.Time
	// observed is set if a backend server of the version was seen. Otherwise only the stored history tells of it.
	observed bool
}

// NewVersions returns an empty history.
func NewVersions() *Versions { return &Versions{services: make(map[string]map[string]*period)} }

// Observe records that a server of a version serves. One of the first list of entries is established: it may have
// served for long. So is the first version of a service.
func (v *Versions) Observe(now time.Time, s Software, established bool) {
	versions := v.services[s.Service]
	if versions == nil {
		versions = make(map[string]*period)
		v.services[s.Service] = versions
		established = true
	}
	p := versions[s.Version]
	if p == nil && len(versions) >= maxVersions {
		return
	}
	if p == nil {
		p = &period{first: now}
		versions[s.Version] = p
	}
	if established {
		p.first = time.Time{}
	}
	p.last, p.observed = now, true
}

// Inherit adds a version that the stored history has and that may have served until now. It is established if it has
// served for long.
func (v *Versions) Inherit(now time.Time, s Software, established bool) {
	versions := v.services[s.Service]
	if versions == nil {
		versions = make(map[string]*period)
		v.services[s.Service] = versions
	}
	if versions[s.Version] != nil || len(versions) >= maxVersions {
		return
	}
	p := &period{first: now, last: now}
	if established {
		p.first = time.Time{}
	}
	versions[s.Version] = p
}

// names returns the services, sorted.
func (v *Versions) names() []string { return slices.Sorted(maps.Keys(v.services)) }

// toRecord returns the versions of a service that the stored history must have, those that began to serve earlier first. If the store
// has no history, this includes those that only a former one told of.
func (v *Versions) toRecord(now time.Time, service string, noHistory bool) []string {
	var list []string
	for version, p := range v.services[service] {
		if noHistory || p.observed && now.Sub(p.last) <= recordWithin {
			list = append(list, version)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(v.services[service][a].first.Compare(v.services[service][b].first), cmp.Compare(a, b))
	})
	return list
}

// Served returns the versions of a service that have served lately, sorted.
func (v *Versions) Served(service string) []string {
	var served []string
	for version := range v.services[service] {
		served = append(served, version)
	}
	slices.Sort(served)
	return served
}

// Mixed reports whether more than one version of a service has served lately, or one that is unknown.
func (v *Versions) Mixed(service string) bool {
	versions := v.services[service]
	_, unknown := versions[""]
	return len(versions) > 1 || unknown
}

// MixedServices returns the mixed services, sorted.
func (v *Versions) MixedServices() []string {
	return slices.DeleteFunc(v.names(), func(service string) bool { return !v.Mixed(service) })
}

// AnyMixed reports whether any service is mixed.
func (v *Versions) AnyMixed() bool {
	for service := range v.services {
		if v.Mixed(service) {
			return true
		}
	}
	return false
}

// Only returns the only version of a service that has served lately, if there is exactly one.
func (v *Versions) Only(service string) (string, bool) {
	if v.Mixed(service) {
		return "", false
	}
	for version := range v.services[service] {
		return version, true
	}
	return "", false
}

// New returns the versions of a service that began to serve less than delay ago, and the unknown one, if the
// service has several.
func (v *Versions) New(now time.Time, service string, delay time.Duration) []string {
	versions := v.services[service]
	if len(versions) < 2 {
		return nil
	}
	var list []string
	for version, p := range versions {
		if version == "" || now.Sub(p.first) < delay {
			list = append(list, version)
		}
	}
	return list
}

// LastServed returns the time at which a version was last known to serve, zero if it is not known.
func (v *Versions) LastServed(s Software) time.Time {
	p := v.services[s.Service][s.Version]
	if p == nil {
		return time.Time{}
	}
	return p.last
}

// Expire forgets the versions that have not served for Retention.
func (v *Versions) Expire(now time.Time) {
	for service, versions := range v.services {
		for version, p := range versions {
			if now.Sub(p.last) > Retention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.services, service)
		}
	}
}
