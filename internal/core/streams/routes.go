package streams

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Routes holds the services of each route, and when they last changed.
type Routes struct {
	services map[string][]string
	// split holds the routes with more than one service.
	split     map[string]bool
	changedAt map[string]time.Time
}

// Apply records a new configuration: the services of each route, by the route's identity.
func (r *Routes) Apply(now time.Time, services map[string][]string) {
	if r.changedAt == nil {
		r.changedAt = make(map[string]time.Time)
	}
	for route, old := range r.services {
		if !slices.Equal(services[route], old) {
			r.changedAt[route] = now
		}
	}
	r.services, r.split = services, make(map[string]bool)
	for route, list := range services {
		if len(list) > 1 {
			r.split[route] = true
		}
	}
}

// RouteTable returns the digest of the services of each route, "" if there are none.
func RouteTable(services map[string][]string) string {
	if len(services) == 0 {
		return ""
	}
	hash := sha256.New()
	for _, route := range slices.Sorted(maps.Keys(services)) {
		hash.Write(fmt.Appendf(nil, "%q %q\n", route, services[route]))
	}
	return hex.EncodeToString(hash.Sum(nil)[:8])
}

// Ambiguous reports whether requests of a route may have gone to more than one service lately.
func (r *Routes) Ambiguous(now time.Time, route string) bool {
	at, changed := r.changedAt[route]
	return r.split[route] || changed && now.Sub(at) <= Retention
}

// AnyAmbiguous reports whether any route may be ambiguous.
func (r *Routes) AnyAmbiguous() bool { return len(r.split)+len(r.changedAt) > 0 }

// Expire forgets the changes before Retention.
func (r *Routes) Expire(now time.Time) {
	maps.DeleteFunc(r.changedAt, func(_ string, at time.Time) bool { return now.Sub(at) > Retention })
}
