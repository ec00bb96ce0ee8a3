package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/regions"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// target is what a request resolves to in the configuration in force.
type target struct {
	service  *config.Service
	customer *config.Customer
	// route is nil if the request names its service.
	route  *config.Route
	policy policy
	// zones are those in which the request may be processed.
	zones regions.Zones
}

// policy limits the retries of a request.
type policy struct {
	// repeatable is set if the request may run more than once.
	repeatable bool
	// resumable is set if a stream may continue on another backend server.
	resumable bool
	// maxRuns is the maximum number of attempts in which a backend server may start the
	// request, and maxAttempts the maximum number of all attempts.
	maxRuns, maxAttempts int
	// priority is the request's priority; 0 is the highest.
	priority int
}

// extraAttempts is the number of attempts beyond maxRuns for a request on a route, used
// when backend servers refuse it or are unreachable. With 3, a request tries four servers
// of a pool; if a third of the pool is down, one request in eighty is refused.
const extraAttempts = 3

// anonymousCustomer is the customer of requests without a known API key, where no key is
// required.
var anonymousCustomer = &config.Customer{Weight: config.DefaultWeight}

// resolve looks up the request's service, customer and route in the configuration. It
// returns the reason for a refusal if there is no match or a size limit is exceeded.
func (n *Node) resolve(e *RequestArrived) (target, reason.Reason) {
	if n.snapshot == nil {
		return target{}, reason.NoConfiguration
	}
	t, unknown := n.resolveTarget(e)
	if unknown == reason.None {
		unknown = exceededLimit(e, n.snapshot.Limits)
	}
	if unknown == reason.None && t.zones.Empty() {
		unknown = reason.NoRegion
	}
	return t, unknown
}

func (n *Node) resolveTarget(e *RequestArrived) (target, reason.Reason) {
	if e.Host != "" {
		return n.resolveRoute(e)
	}
	return n.resolveNamed(e)
}

// exceededLimit returns the reason for a refusal if the request exceeds a size limit. It
// is called after the look-up, so that unknown callers get an unknown-* reason.
func exceededLimit(e *RequestArrived, limits config.CallerLimits) reason.Reason {
	switch {
	case limits.MaxHeader > 0 && e.HeaderBytes > limits.MaxHeader:
		return reason.HeaderTooLarge
	case limits.MaxBody > 0 && e.BodyBytes > limits.MaxBody:
		return reason.TooLarge
	default:
		return reason.None
	}
}

// resolveNamed resolves a request that names its service and its customer.
func (n *Node) resolveNamed(e *RequestArrived) (target, reason.Reason) {
	t := target{service: n.serviceOf(e)}
	if t.service == nil {
		return t, reason.UnknownService
	}
	t.customer = n.snapshot.Customer(e.Customer)
	if t.customer == nil {
		return t, reason.UnknownCustomer
	}
	t.zones = n.allowedZones(nil, t.customer)
	t.policy = policy{
		repeatable:  !e.NonIdempotent,
		maxRuns:     t.service.MaxAttempts,
		maxAttempts: t.service.MaxAttempts,
	}
	return t, reason.None
}

// resolveRoute resolves a request by its host, path and API key.
func (n *Node) resolveRoute(e *RequestArrived) (target, reason.Reason) {
	route := n.snapshot.Route(e.Host, e.Path)
	if route == nil {
		return target{}, reason.UnknownRoute
	}
	if len(route.Split) == 0 {
		return target{}, reason.RouteUnusable
	}
	t := target{route: route, service: n.snapshot.Service(selectSplit(route, e.Request))}
	t.customer = n.customerForKey(route, e.APIKey)
	if t.customer == nil {
		return t, reason.UnknownKey
	}
	t.policy = n.routePolicy(route, t.customer)
	t.zones = n.allowedZones(route, t.customer)
	return t, reason.None
}

// customerForKey returns the customer of an API key. It returns nil if the route
// requires a key and this one is missing or unknown, or if its customer cannot be served.
func (n *Node) customerForKey(route *config.Route, key string) *config.Customer {
	if customer := n.snapshot.CustomerByKey(key); customer != nil {
		return customer
	}
	if n.snapshot.RefusesKey(key) || n.snapshot.RequiresAPIKeys() && !route.Anonymous {
		return nil
	}
	return anonymousCustomer
}

func (n *Node) routePolicy(route *config.Route, customer *config.Customer) policy {
	return policy{
		repeatable:  route.Kind == config.Idempotent || route.Resumable,
		resumable:   route.Resumable,
		maxRuns:     route.MaxRuns,
		maxAttempts: route.MaxRuns + extraAttempts,
		priority:    n.snapshot.UrgencyLevel(route, customer),
	}
}

// selectSplit selects a service by the weights of the route's split. The selection hashes the
// request ID, so that the same request always maps to the same service.
func selectSplit(route *config.Route, id RequestID) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	sum := 0.0
	for _, s := range route.Split {
		sum += s.Weight
	}
	draw := sum * rendezvous.Unit(rendezvous.Hash(string(id)))
	for _, s := range route.Split {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return route.Split[len(route.Split)-1].Service
}

func (n *Node) serviceOf(e *RequestArrived) *config.Service {
	if e.Service != "" {
		return n.snapshot.Service(e.Service)
	}
	return n.snapshot.Model(e.Model)
}
