// Package shedding implements load shedding: it decides which requests to refuse at once while a service gets more than its servers can
// finish.
//
// The admitted fraction of the requests falls gradually with the utilization of the servers, so that their queues settle at a length
// at which responses are in time. A fixed limit on a load that is known late makes all instances admit and refuse in turn. The
// fraction is divided by urgency first, then among the customers of a level by weighted max-min fairness, both with a floor: no
// level and no customer is shut out.
//
// The controller knows neither servers nor kinds of services. It is given the utilization, and those between which the fraction falls.
package shedding

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// Verdict is the decision on one request.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may be placed.
	Admitted Verdict = iota
	// OverShare means that the customer exceeds its share of what is admitted of its level.
	OverShare
	// Overloaded means that the service gets more than its servers can finish.
	Overloaded
)

const (
	// updateInterval is the minimum interval at which the probabilities are computed.
	updateInterval = 100 * time.Millisecond
	// demandTime is the time constant with which the arrivals of a level decay, and customerTime that of the arrivals of a customer,
	// which sends fewer.
	demandTime   = time.Second
	customerTime = 4 * time.Second
	// floorShare is the part of the admitted fraction that each level and customer gets at least.
	floorShare = 0.35
	// fewRequests is the demand below which customers are treated as a single one. The demand of a customer that sends a request every
	// few seconds does not show whether it exceeds its share.
	fewRequests = 4
	// forgottenDemand is the demand below which a customer is forgotten, and maxCustomers the maximum number of customers and levels
	// that are tracked.
	forgottenDemand = 0.05
	maxCustomers    = 16384
	// minWeight prevents a division by zero.
	minWeight = 1e-3
	// shareIterations is the number of bisection steps for the share of a unit of weight.
	shareIterations = 24
)

// Controller decides on the requests to one service. It is not safe for concurrent use.
type Controller struct {
	fraction  fraction
	levels    [config.MaxUrgencyLevel + 1]level
	customers map[customerKey]*customer
	updatedAt time.Time
}

// customerKey identifies the requests of a customer on one level.
type customerKey struct {
	name  string
	level int
}

// level holds the requests of one urgency.
type level struct {
	// demand is the decayed number of arrivals.
	demand float64
	// admitted is the part of the demand that is admitted, and few the probability for the customers with few requests.
	admitted, few float64
	// list holds the customers in an order that depends only on the sequence of events.
	list []*customer
	// share is the demand admitted for each unit of weight.
	share float64
}

// customer holds the requests of a customer on one level.
type customer struct {
	key    customerKey
	weight float64
	// demand is the decayed number of arrivals, and probability the part of them that is admitted.
	demand, probability float64
}

// New returns the controller of one service, which admits everything until Update is called.
func New() *Controller {
	c := &Controller{customers: make(map[customerKey]*customer), fraction: fraction{value: 1}}
	c.admitAll()
	return c
}

// Fraction returns the admitted fraction of all requests.
func (c *Controller) Fraction() float64 { return c.fraction.value }

// Admit counts a request as demand and decides on it. An urgency out of range counts as the nearest level.
func (c *Controller) Admit(name string, weight float64, urgency int, random *rand.Rand) Verdict {
	urgency = min(max(0, urgency), config.MaxUrgencyLevel)
	l := &c.levels[urgency]
	l.demand++
	c.fraction.arrived++
	c.fraction.recentArrivals++
	probability := l.few
	if cu := c.customer(l, customerKey{name, urgency}, weight); cu != nil {
		cu.demand++
		probability = cu.probability
	}
	if probability >= 1 || random.Float64() < probability {
		return Admitted
	}
	if probability < l.admitted {
		return OverShare
	}
	return Overloaded
}

// Completed counts a request that a server completed.
func (c *Controller) Completed() { c.fraction.completed++ }

// customer returns the record of a customer. It creates one if there is none, and returns nil if there are maxCustomers already.
func (c *Controller) customer(l *level, key customerKey, weight float64) *customer {
	cu := c.customers[key]
	if cu == nil {
		if len(c.customers) >= maxCustomers {
			return nil
		}
		cu = &customer{key: key, probability: l.few}
		c.customers[key] = cu
		l.list = append(l.list, cu)
	}
	cu.weight = max(weight, minWeight)
	return cu
}

// Update computes the probabilities. It does nothing if the last update was less than updateInterval ago. Its running time is
// linear in the number of customers that sent a request in the last seconds.
func (c *Controller) Update(d Demand, now time.Time) {
	elapsed := now.Sub(c.updatedAt)
	if elapsed < updateInterval {
		return
	}
	c.updatedAt = now
	c.fraction.update(d, now)
	c.decay(elapsed)
	if c.fraction.value >= 1 {
		c.admitAll()
		return
	}
	c.divide()
}

// decay forgets old arrivals, and the customers that sent none for long.
func (c *Controller) decay(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	keepCustomer := math.Exp(-elapsed.Seconds() / customerTime.Seconds())
	for i := range c.levels {
		l := &c.levels[i]
		l.demand *= keep
		kept := l.list[:0]
		for _, cu := range l.list {
			cu.demand *= keepCustomer
			if cu.demand < forgottenDemand {
				delete(c.customers, cu.key)
				continue
			}
			kept = append(kept, cu)
		}
		clear(l.list[len(kept):])
		l.list = kept
	}
}

func (c *Controller) admitAll() {
	for i := range c.levels {
		l := &c.levels[i]
		l.admitted, l.few = 1, 1
		for _, cu := range l.list {
			cu.probability = 1
		}
	}
}

// divide divides the admitted fraction of the demand: each level gets its floor, and the rest goes to the more urgent first.
func (c *Controller) divide() {
	total := 0.0
	for i := range c.levels {
		total += c.levels[i].demand
	}
	floor := floorShare * c.fraction.value
	rest := (1 - floorShare) * c.fraction.value * total
	for i := range c.levels {
		l := &c.levels[i]
		more := min(rest, (1-floor)*l.demand)
		rest -= more
		l.admitted = 1
		if l.demand > 0 {
			l.admitted = floor + more/l.demand
		}
		l.divide(floor)
	}
}

// divide divides what is admitted of a level among its customers: each gets the floor of its demand, or its weight times the
// share that uses up the rest.
func (l *level) divide(floor float64) {
	few := customer{}
	demand := 0.0
	for _, cu := range l.list {
		demand += cu.demand
		if cu.demand < fewRequests {
			few.demand += cu.demand
			few.weight += cu.weight
		}
	}
	l.findShare(&few, l.admitted*demand, floor)
	l.few = l.admitted
	if few.demand > 0 {
		l.few = few.admitted(l.share, floor) / few.demand
	}
	for _, cu := range l.list {
		cu.probability = l.few
		if cu.demand >= fewRequests {
			cu.probability = cu.admitted(l.share, floor) / cu.demand
		}
	}
}

// findShare finds by bisection the share of a unit of weight at which as much is admitted as the level may.
func (l *level) findShare(few *customer, limit, floor float64) {
	low, high := 0.0, few.demand/max(few.weight, minWeight)
	for _, cu := range l.list {
		if cu.demand >= fewRequests {
			high = max(high, cu.demand/cu.weight)
		}
	}
	for range shareIterations {
		l.share = (low + high) / 2
		sum := few.admitted(l.share, floor)
		for _, cu := range l.list {
			if cu.demand >= fewRequests {
				sum += cu.admitted(l.share, floor)
			}
		}
		if sum > limit {
			high = l.share
		} else {
			low = l.share
		}
	}
	l.share = high
}

// admitted returns how much of the customer's demand is admitted at a share of a unit of weight.
func (cu *customer) admitted(share, floor float64) float64 {
	return min(cu.demand, max(floor*cu.demand, cu.weight*share))
}
