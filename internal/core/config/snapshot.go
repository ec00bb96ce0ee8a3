package config

import (
	"cmp"
	"strings"
	"time"
)

// Defaults for what the operators' text leaves out.
const (
	DefaultSkewBound   = 1.25
	DefaultCapacity    = 64
	DefaultRetryShare  = 0.1
	DefaultMaxAttempts = 3
	DefaultMaxRuns     = 1
	DefaultDeadline    = Duration(2 * time.Minute)
	DefaultWeight      = 1.0
	DefaultWindow      = Duration(10 * time.Minute)
)

// Snapshot is one checked configuration. It is never changed once built, so any
// goroutine may read it.
type Snapshot struct {
	// Generation is the envelope's.
	Generation uint64
	// Edit is the envelope's.
	Edit string
	// Claims sizes the ledger.
	Claims Claims
	// Limits bound what callers may send.
	Limits    CallerLimits
	services  map[string]*Service
	models    map[string]*Service
	customers map[string]*Customer
	// byKey maps API keys to their customers.
	byKey map[string]*Customer
	// routes maps hosts to their routes by prefix.
	routes map[string]map[string]*Route
	names  []string
	// fromPlatform is set if a service draws on the platform's entries.
	fromPlatform bool
	// fixed maps the fixed backend servers to their services.
	fixed map[string]string
	// needs lists what each service needs, directly or through others.
	needs map[string][]string
}

// Service returns the service by its name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Model returns the service that answers to a model name, or nil.
func (s *Snapshot) Model(name string) *Service { return s.models[name] }

// Customer returns the customer by its name, or nil.
func (s *Snapshot) Customer(name string) *Customer { return s.customers[name] }

// CustomerOfKey returns the customer that an API key belongs to, or nil.
func (s *Snapshot) CustomerOfKey(key string) *Customer { return s.byKey[key] }

// FromPlatform tells whether any service's backend servers are those that have an
// entry in the platform's store.
func (s *Snapshot) FromPlatform() bool { return s.fromPlatform }

// HasKeys tells whether callers on routes must show API keys.
func (s *Snapshot) HasKeys() bool { return len(s.byKey) > 0 }

// Route returns the route of a host with the longest prefix that begins path, or
// nil. The path is without its query.
func (s *Snapshot) Route(host, path string) *Route {
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

// ServiceOf returns the service that names a backend server in the text, or "".
func (s *Snapshot) ServiceOf(backend string) string { return s.fixed[backend] }

// Services lists the services' names in the order of the text.
func (s *Snapshot) Services() []string { return s.names }

// Customers returns the number of customers.
func (s *Snapshot) Customers() int { return len(s.customers) }

// compile builds the snapshot of a text that has passed its checks.
func compile(env Envelope, t Text) *Snapshot {
	s := &Snapshot{
		Generation: env.Generation,
		Edit:       env.Edit,
		Claims:     t.Claims,
		Limits:     t.Limits,
		services:   make(map[string]*Service, len(t.Services)),
		models:     make(map[string]*Service),
		customers:  make(map[string]*Customer, len(t.Customers)),
		byKey:      make(map[string]*Customer),
		routes:     make(map[string]map[string]*Route),
		fixed:      make(map[string]string),
		needs:      allNeeds(t.Services),
	}
	for i := range t.Services {
		s.addService(t.Services[i])
	}
	for i := range t.Customers {
		c := t.Customers[i]
		s.customers[c.Name] = &c
		for _, key := range c.APIKeys {
			s.byKey[key] = &c
		}
	}
	for i := range t.Routes {
		s.addRoute(&t.Routes[i])
	}
	return s
}

func (s *Snapshot) addRoute(r *Route) {
	if s.routes[r.Host] == nil {
		s.routes[r.Host] = make(map[string]*Route)
	}
	s.routes[r.Host][r.Prefix] = r
}

func (s *Snapshot) addService(svc Service) {
	s.services[svc.Name] = &svc
	s.names = append(s.names, svc.Name)
	s.fromPlatform = s.fromPlatform || svc.FromPlatform
	for _, b := range svc.BackendServers {
		s.fixed[b.Name] = svc.Name
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

// fillDefaults sets what the text leaves out.
func fillDefaults(t *Text) {
	for i := range t.Services {
		fillService(&t.Services[i])
	}
	for i := range t.Customers {
		t.Customers[i].Weight = cmp.Or(t.Customers[i].Weight, DefaultWeight)
	}
	for i := range t.Routes {
		t.Routes[i].MaxRuns = cmp.Or(t.Routes[i].MaxRuns, DefaultMaxRuns)
	}
	t.Claims.Window = cmp.Or(t.Claims.Window, DefaultWindow)
}

func fillService(s *Service) {
	s.SkewBound = cmp.Or(s.SkewBound, DefaultSkewBound)
	if s.Engine != nil {
		s.Capacity = cmp.Or(s.Capacity, s.Engine.Slots)
	}
	s.Capacity = cmp.Or(s.Capacity, DefaultCapacity)
	s.RetryShare = cmp.Or(s.RetryShare, DefaultRetryShare)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.Deadline = cmp.Or(s.Deadline, DefaultDeadline)
}
