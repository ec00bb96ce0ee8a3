package warmup

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// Instance is an instance that may issue permits.
type Instance struct {
	Name, Zone string
}

// Ranking finds the issuer of a server's permits from the lists of live instances. It keeps the lists that were in force
// within the last window, because an issuer that was another one then must not add its permits to that one's. It is not safe
// for concurrent use.
type Ranking struct {
	// lists are in the order in which they came into force.
	lists []list
	// excluded are the instances of an earlier build, which issue no permits.
	excluded map[string]bool
}

// list is a list of instances, by zone.
type list struct {
	since     time.Time
	instances []Instance
	zones     map[string][]ranked
	all       []ranked
}

// ranked is an instance and the hash of its name.
type ranked struct {
	name string
	hash uint64
}

// Exclude sets whether an instance issues no permits, and reports whether that has changed.
func (r *Ranking) Exclude(name string, excluded bool) bool {
	if excluded == r.excluded[name] {
		return false
	}
	if r.excluded == nil {
		r.excluded = make(map[string]bool)
	}
	if excluded {
		r.excluded[name] = true
	} else {
		delete(r.excluded, name)
	}
	return true
}

// Set sets the list of the live instances, sorted by name. Those that issue no permits are left out. It modifies and keeps the slice.
func (r *Ranking) Set(instances []Instance, now time.Time) {
	instances = slices.DeleteFunc(instances, func(i Instance) bool { return r.excluded[i.Name] })
	if len(r.lists) > 0 && slices.Equal(r.lists[len(r.lists)-1].instances, instances) {
		return
	}
	l := list{since: now, instances: instances, zones: make(map[string][]ranked)}
	for _, i := range instances {
		entry := ranked{name: i.Name, hash: rendezvous.Hash(i.Name)}
		l.all = append(l.all, entry)
		l.zones[i.Zone] = append(l.zones[i.Zone], entry)
	}
	r.lists = append(r.lists, l)
	for len(r.lists) > 1 && now.Sub(r.lists[1].since) >= window {
		r.lists = r.lists[1:]
	}
}

// Expire forgets the excluded instances that are no longer known.
func (r *Ranking) Expire(known func(name string) bool) {
	maps.DeleteFunc(r.excluded, func(name string, _ bool) bool { return !known(name) })
}

// Forget forgets all lists: the instances are not known.
func (r *Ranking) Forget() { r.lists = nil }

// Issuer returns the instance that permits requests to a server, "" if the instances are not known.
func (r *Ranking) Issuer(server, zone string) string {
	if len(r.lists) == 0 {
		return ""
	}
	return r.lists[len(r.lists)-1].issuer(server, zone)
}

// Held reports whether an instance is the server's issuer by every list that was in force within the last window, and
// the instances have been known for as long.
func (r *Ranking) Held(server, zone, name string, now time.Time) bool {
	for i := len(r.lists) - 1; i >= 0; i-- {
		if r.lists[i].issuer(server, zone) != name {
			return false
		}
		if now.Sub(r.lists[i].since) >= window {
			return true
		}
	}
	return false
}

// issuer returns the first instance of the server's zone in the server's ranking, or of all zones if that zone has none.
func (l *list) issuer(server, zone string) string {
	candidates := l.zones[zone]
	if len(candidates) == 0 {
		candidates = l.all
	}
	key := rendezvous.HashPair("permits", server)
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		if score := rendezvous.Score(key, c.hash); best == "" || score > bestScore {
			best, bestScore = c.name, score
		}
	}
	return best
}
