package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/admission"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// refusal is the reason why a request is refused and the time after which its caller may
// retry.
type refusal struct {
	reason     reason.Reason
	retryAfter time.Duration
	// waiting is what the request waited for; see Finish.Waiting.
	waiting WaitPhase
}

// admissionState holds the admission controller of each service and, for the customers'
// limits, each customer's in-flight requests at this instance over all services.
type admissionState struct {
	services map[string]*admission.Controller
	inFlight map[string]int
}

func newAdmissionState() admissionState {
	return admissionState{
		services: make(map[string]*admission.Controller),
		inFlight: make(map[string]int),
	}
}

// service returns the admission controller of a service, and creates it if there is none.
func (s *admissionState) service(name string) *admission.Controller {
	c := s.services[name]
	if c == nil {
		c = admission.NewController()
		s.services[name] = c
	}
	return c
}

// admit decides whether a request may be placed at all. It checks the customer's limit, the
// expected wait and, once the service is saturated, the customer's share. It returns nil if the request is
// admitted.
func (n *Node) admit(r *request) *refusal {
	customer := r.customer
	controller := n.admission.service(r.service.Name)
	utilization := n.utilization(r.service)
	if customer.MaxInFlight > 0 && n.admission.inFlight[customer.Name] >= customer.MaxInFlight {
		return n.refusal(r, controller, utilization, reason.CustomerLimit)
	}
	if n.waitsTooLong(r) {
		return &refusal{reason: reason.WaitTooLong, retryAfter: n.returnAfterWait(r)}
	}
	if p := n.pool(r.service.Name); r.software == nil && n.shedsGradually(p) {
		if refused := n.shed(r, p); refused != nil {
			return refused
		}
		utilization = admission.Unlimited
	}
	switch controller.Admit(customer.Name, customer.Weight, utilization, n.now, n.random) {
	case admission.OverShare:
		return n.refusal(r, controller, utilization, reason.CustomerShare)
	case admission.Saturated:
		return n.refusal(r, controller, utilization, n.pool(r.service.Name).evacuatedOr(reason.Saturated))
	}
	n.admission.inFlight[customer.Name]++
	return nil
}

func (n *Node) refusal(r *request, c *admission.Controller, u admission.Utilization, why reason.Reason) *refusal {
	return &refusal{reason: why, retryAfter: c.RetryAfter(u, r.saturatedRetryAfter(), n.now, n.random)}
}

// utilization returns the load and the capacity of a service as far as this instance knows them. A
// service without a backend server has no limit here: placement refuses its requests with a
// more specific reason.
func (n *Node) utilization(service *config.Service) admission.Utilization {
	p := n.pool(service.Name)
	load := p.reachableLoad()
	if load.Servers == 0 {
		return admission.Unlimited
	}
	return admission.Utilization{Load: load.Total, Capacity: p.candidates.Capacity(load.Servers)}
}

// refusalUtilization returns the load and the capacity on which a refusal for lack of capacity
// was based, or the zero value for any other reason.
func (n *Node) refusalUtilization(service string, why reason.Reason) Utilization {
	if why != reason.Saturated && why != reason.CustomerShare && why != reason.ZoneEvacuated {
		return Utilization{}
	}
	p := n.pool(service)
	load := p.reachableLoad()
	return Utilization{Load: load.Total, Capacity: p.candidates.Capacity(load.Servers), Servers: int(load.Servers)}
}

// admissionEnded records the end of an admitted request. It is called once for each.
func (n *Node) admissionEnded(r *request) {
	customer := r.arrived.Customer
	n.admission.service(r.service.Name).Ended(customer, n.now)
	n.admission.inFlight[customer]--
	if n.admission.inFlight[customer] <= 0 {
		delete(n.admission.inFlight, customer)
	}
}

// tickAdmission updates the fair-share levels and drops the controllers of services that the
// configuration no longer contains, once their requests have ended.
func (n *Node) tickAdmission() {
	if n.snapshot == nil {
		return
	}
	for _, name := range n.snapshot.Services() {
		if c := n.admission.services[name]; c != nil {
			c.Tick(n.utilization(n.snapshot.Service(name)), n.now)
		}
	}
	for name, c := range n.admission.services {
		if c.Idle() && n.snapshot.Service(name) == nil {
			delete(n.admission.services, name)
		}
	}
}
