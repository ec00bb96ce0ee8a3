package config

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Defaults for fields that the configuration text omits.
const (
	DefaultSkewBound   = 1.25
	DefaultCapacity    = 64
	DefaultRetryShare  = 0.1
	DefaultMaxAttempts = 3
	DefaultMaxRuns     = 1
	DefaultDeadline    = Duration(2 * time.Minute)
	DefaultWeight      = 1.0
	// DefaultWarmUpOverage makes the bound of a cold backend server what it tolerates.
	DefaultWarmUpOverage = 1.0
	DefaultClaimWindow   = Duration(10 * time.Minute)
)

// Snapshot is one validated configuration. It is immutable, so any goroutine may read it.
type Snapshot struct {
	// Generation is that of the envelope.
	Generation uint64
	// Edit is that of the envelope.
	Edit string
	// Claims configures the ledger of idempotency keys.
	Claims Claims
	// Limits are the limits on callers' requests.
	Limits    CallerLimits
	services  map[string]*Service
	models    map[string]*Service
	customers map[string]*Customer
	// customersByKey maps API keys to their customers.
	customersByKey map[string]*Customer
	// refusedKeys are the API keys of customers whose requests cannot be served.
	refusedKeys map[string]bool
	// listsCustomers is set if the text has a list of customers.
	listsCustomers bool
	// routes maps hosts to their routes by prefix.
	routes map[string]map[string]*Route
	// openPrefixes holds the routes of each host whose prefixes end within a segment of the path, the longest first.
	openPrefixes map[string][]*Route
	serviceNames []string
	urgencyScale urgencyScale
	// goals holds for each service the shortest latency goal of the routes that lead to it, if any has one.
	goals map[string]Duration
	// regions are those that any route or customer names, sorted.
	regions []string
	// fromPlatform is set if any service takes its backend servers from the platform.
	fromPlatform bool
	// serviceOfBackend maps each backend server in the text to its service.
	serviceOfBackend map[string]string
	// dependencies holds the direct and indirect dependencies of each service.
	dependencies map[string][]string
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Model returns the service of a model name, or nil.
func (s *Snapshot) Model(name string) *Service { return s.models[name] }

// Customer returns the customer with the given name, or nil.
func (s *Snapshot) Customer(name string) *Customer { return s.customers[name] }

// CustomerByKey returns the customer with the given API key, or nil.
func (s *Snapshot) CustomerByKey(key string) *Customer { return s.customersByKey[key] }

// RefusesKey reports whether an API key is that of a customer whose requests cannot be served, on any route.
func (s *Snapshot) RefusesKey(key string) bool { return s.refusedKeys[key] }

// FromPlatform reports whether any service takes its backend servers from the entries in
// the platform's store.
func (s *Snapshot) FromPlatform() bool { return s.fromPlatform }

// RequiresAPIKeys reports whether callers on routes that are not anonymous must present API keys: the text has a list of
// customers, even if that is empty or none of them has a key any more.
func (s *Snapshot) RequiresAPIKeys() bool { return s.listsCustomers }

// Route returns the route of a host with the longest prefix that matches path, or nil. The
// path must not include the query.
func (s *Snapshot) Route(host, path string) *Route {
	whole := s.segmentRoute(host, path)
	for _, open := range s.openPrefixes[host] {
		if whole != nil && len(whole.Prefix) > len(open.Prefix) {
			break
		}
		if strings.HasPrefix(path, open.Prefix) {
			return open
		}
	}
	return whole
}

// segmentRoute returns the route of a host with the longest matching prefix that ends with a slash, or nil.
func (s *Snapshot) segmentRoute(host, path string) *Route {
	routes := s.routes[host]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := routes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// EachRoute calls f for every route, in no particular order.
func (s *Snapshot) EachRoute(f func(*Route)) {
	for _, routes := range s.openPrefixes {
		for _, route := range routes {
			f(route)
		}
	}
	for _, routes := range s.routes {
		for _, route := range routes {
			f(route)
		}
	}
}

// ShortestGoal returns the shortest latency goal of the routes that lead to a service, 0 if none has one.
func (s *Snapshot) ShortestGoal(service string) Duration { return s.goals[service] }

// ServiceOfBackend returns the service that lists a backend server in the text, or "".
func (s *Snapshot) ServiceOfBackend(backend string) string { return s.serviceOfBackend[backend] }

// Services returns the names of the services in the order of the text.
func (s *Snapshot) Services() []string { return s.serviceNames }

// Regions returns the regions that any route or customer names, sorted.
func (s *Snapshot) Regions() []string { return s.regions }

// Customers returns the number of customers.
func (s *Snapshot) Customers() int { return len(s.customers) }

// newSnapshot builds the snapshot of a validated text.
func newSnapshot(env Envelope, t Text) *Snapshot {
	s := &Snapshot{
		Generation:       env.Generation,
		Edit:             env.Edit,
		Claims:           t.Claims,
		Limits:           t.Limits,
		services:         make(map[string]*Service, len(t.Services)),
		models:           make(map[string]*Service),
		customers:        make(map[string]*Customer, len(t.Customers)),
		customersByKey:   make(map[string]*Customer),
		listsCustomers:   t.Customers != nil,
		routes:           make(map[string]map[string]*Route),
		openPrefixes:     make(map[string][]*Route),
		goals:            make(map[string]Duration),
		serviceOfBackend: make(map[string]string),
		dependencies:     transitiveDependencies(t.Services),
	}
	for i := range t.Services {
		s.addService(t.Services[i])
	}
	for i := range t.Customers {
		c := t.Customers[i]
		s.customers[c.Name] = &c
		s.regions = append(s.regions, c.Regions...)
		for _, key := range c.APIKeys {
			s.customersByKey[key] = &c
		}
	}
	for i := range t.Routes {
		s.addRoute(&t.Routes[i])
		s.regions = append(s.regions, t.Routes[i].Regions...)
	}
	for _, routes := range s.openPrefixes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	s.urgencyScale = newUrgencyScale(t.Routes, t.Customers)
	slices.Sort(s.regions)
	s.regions = slices.Compact(s.regions)
	return s
}

func (s *Snapshot) addRoute(r *Route) {
	for _, share := range r.Split {
		if goal := s.goals[share.Service]; r.Goal > 0 && (goal == 0 || r.Goal < goal) {
			s.goals[share.Service] = r.Goal
		}
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		s.openPrefixes[r.Host] = append(s.openPrefixes[r.Host], r)
		return
	}
	if s.routes[r.Host] == nil {
		s.routes[r.Host] = make(map[string]*Route)
	}
	s.routes[r.Host][r.Prefix] = r
}

func (s *Snapshot) addService(svc Service) {
	s.services[svc.Name] = &svc
	s.serviceNames = append(s.serviceNames, svc.Name)
	s.fromPlatform = s.fromPlatform || svc.FromPlatform
	for _, b := range svc.BackendServers {
		s.serviceOfBackend[b.Name] = svc.Name
	}
	if svc.Kind != Model {
		return
	}
	if len(svc.Models) == 0 {
		s.models[svc.Name] = &svc
	}
	for _, m := range svc.Models {
		s.models[m] = &svc
	}
}

// fillDefaults sets the omitted fields to their defaults.
func fillDefaults(t *Text) {
	for i := range t.Services {
		fillServiceDefaults(&t.Services[i])
	}
	for i := range t.Customers {
		t.Customers[i].Weight = cmp.Or(t.Customers[i].Weight, DefaultWeight)
	}
	for i := range t.Routes {
		t.Routes[i].MaxRuns = cmp.Or(t.Routes[i].MaxRuns, DefaultMaxRuns)
	}
	t.Claims.Window = cmp.Or(t.Claims.Window, DefaultClaimWindow)
}

func fillServiceDefaults(s *Service) {
	s.SkewBound = cmp.Or(s.SkewBound, DefaultSkewBound)
	if s.Engine != nil {
		s.Capacity = cmp.Or(s.Capacity, s.Engine.Slots)
	}
	s.Capacity = cmp.Or(s.Capacity, DefaultCapacity)
	s.RetryShare = cmp.Or(s.RetryShare, DefaultRetryShare)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.Deadline = cmp.Or(s.Deadline, DefaultDeadline)
	if s.WarmUp != nil {
		s.WarmUp.Overage = cmp.Or(s.WarmUp.Overage, DefaultWarmUpOverage)
	}
}
