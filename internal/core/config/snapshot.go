package config

import (
	"cmp"
	"time"
)

// Defaults for what the operators' text leaves out.
const (
	DefaultSkewBound   = 1.25
	DefaultCapacity    = 64
	DefaultRetryShare  = 0.1
	DefaultMaxAttempts = 3
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
	Claims    Claims
	services  map[string]*Service
	models    map[string]*Service
	customers map[string]*Customer
	names     []string
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
		services:   make(map[string]*Service, len(t.Services)),
		models:     make(map[string]*Service),
		customers:  make(map[string]*Customer, len(t.Customers)),
		fixed:      make(map[string]string),
		needs:      allNeeds(t.Services),
	}
	for i := range t.Services {
		s.addService(t.Services[i])
	}
	for i := range t.Customers {
		c := t.Customers[i]
		s.customers[c.Name] = &c
	}
	return s
}

func (s *Snapshot) addService(svc Service) {
	s.services[svc.Name] = &svc
	s.names = append(s.names, svc.Name)
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
	t.Claims.Window = cmp.Or(t.Claims.Window, DefaultWindow)
}

func fillService(s *Service) {
	s.SkewBound = cmp.Or(s.SkewBound, DefaultSkewBound)
	s.Capacity = cmp.Or(s.Capacity, DefaultCapacity)
	s.RetryShare = cmp.Or(s.RetryShare, DefaultRetryShare)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.Deadline = cmp.Or(s.Deadline, DefaultDeadline)
}
