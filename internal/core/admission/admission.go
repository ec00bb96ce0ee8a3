// Package admission decides which requests to admit to a service that is close to its
// capacity.
//
// Below saturation, every request is admitted. At saturation, the customers share the
// service by weighted max-min fairness: a customer that requests less than its share is
// fully served, and the rest is divided among the others by weight. A surging customer is
// therefore refused first. Requests are not queued: each is admitted or refused
// immediately.
//
// An instance receives only a fraction of the traffic and applies the shares to that
// fraction, which is taken from its part of the requests in progress: an instance that gets most connections
// divides most of the service. The load balancer chooses instances without regard to customers, so the
// proportions at one instance match those of the fleet, and no customer counts need to be
// exchanged.
package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Verdict is the admission decision on one request.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may be placed.
	Admitted Verdict = iota
	// OverShare means that the customer has used its share of a saturated service.
	OverShare
	// Saturated means that the service has no capacity left for any customer.
	Saturated
)

const (
	// softLimitFraction is the fraction of the capacity above which shares are enforced.
	// The rest is for customers below their share, while those above it drain.
	softLimitFraction = 0.9
	// levelInterval is how often the water level is computed.
	levelInterval = 100 * time.Millisecond
	// levelUpdateFraction is the fraction of the soft limit above which the water level is
	// computed, so that it is available when shares begin to be enforced.
	levelUpdateFraction = 0.9
	// minWeight prevents a division by zero.
	minWeight = 1e-3
	// refusalTTL is how long a refusal counts as demand.
	refusalTTL = 2 * time.Second
	// levelIterations is the number of bisection steps for the water level. Each step
	// halves the error; after 32 it is less than one request at any load.
	levelIterations = 32
	// minDrainRate is the drain rate assumed while no request has ended yet, in requests a
	// second.
	minDrainRate = 0.1
	// drainWindow is the period over which the drain rate is measured.
	drainWindow = 5 * time.Second
)

// MaxRetryAfter is the longest delay that RetryAfter returns.
const MaxRetryAfter = 30 * time.Second

// Utilization is the load and the capacity of a service, as known to placement.
type Utilization struct {
	// Load is the estimated number of the fleet's requests in progress.
	Load float64
	// Capacity is the sum of the backend servers' capacities.
	Capacity float64
}

// Unlimited is the value for a service without admission control.
var Unlimited = Utilization{Capacity: math.Inf(1)}

func (u Utilization) softLimit() float64 { return softLimitFraction * u.Capacity }

// Controller tracks the customers of one service that have requests in progress at this
// instance or were refused recently. Its memory is bounded by the requests in progress and
// by maxRefusedCustomers.
type Controller struct {
	customers map[string]*customer
	// list holds the same customers in an order that depends only on the sequence of
	// events, so that floating-point sums over it are reproducible.
	list     []*customer
	inFlight int
	// weights is the sum of the customers' weights.
	weights float64
	// level is the water level: the number of requests in progress at this instance that
	// each unit of weight permits.
	level    float64
	nextTick time.Time
	drain    drainMeter
	// refusedCustomers is the number of customers with refusals, and refusals the number
	// of these refusals.
	refusedCustomers, refusals int
}

type customer struct {
	name string
	// index is the customer's place in the controller's list.
	index    int
	weight   float64
	inFlight int
	// refused counts the refusals since refusedAt, which are unserved demand.
	refused   int
	refusedAt time.Time
}

// maxRefusedCustomers limits the customers that are tracked only because of refusals.
const maxRefusedCustomers = 1024

// NewController returns the controller of one service.
func NewController() *Controller {
	return &Controller{customers: make(map[string]*customer), level: math.Inf(1)}
}

// Idle reports whether no request admitted here is in progress.
func (c *Controller) Idle() bool { return c.inFlight == 0 }

// InProgress returns the number of admitted requests in progress.
func (c *Controller) InProgress() int { return c.inFlight }

// Customers returns the number of tracked customers.
func (c *Controller) Customers() int { return len(c.list) }

// InFlight returns the number of the customer's requests in progress at this instance.
func (c *Controller) InFlight(name string) int {
	if cu := c.customers[name]; cu != nil {
		return cu.inFlight
	}
	return 0
}

// Admit decides on one request of a customer. An admitted request counts as in progress
// until Ended is called for it.
func (c *Controller) Admit(name string, weight float64, util Utilization, now time.Time, random *rand.Rand) Verdict {
	if util.Load+1 > util.softLimit() {
		if v := c.admitSaturated(name, weight, util, now, random); v != Admitted {
			return v
		}
	}
	cu := c.customer(name, weight)
	cu.inFlight++
	c.inFlight++
	return Admitted
}

// admitSaturated decides on one request of a saturated service.
func (c *Controller) admitSaturated(name string, weight float64, util Utilization, now time.Time, random *rand.Rand) Verdict {
	if util.Load+1 > util.Capacity {
		c.countRefused(name, weight, now)
		return Saturated
	}
	// The share at this instance is rarely an integer. Randomized rounding makes the
	// fleet's total match the share, and the minimum of 1 lets every customer have one
	// request.
	allowed := max(1, max(weight, minWeight)*c.currentLevel(util)+random.Float64())
	if float64(c.InFlight(name)+1) > allowed {
		c.countRefused(name, weight, now)
		return OverShare
	}
	return Admitted
}

// currentLevel returns the water level at saturation. A burst can saturate the service
// between two ticks, before a level has been computed. Until then, the level is the equal
// share per unit of weight, which no customer with a small demand exceeds.
func (c *Controller) currentLevel(util Utilization) float64 {
	if !math.IsInf(c.level, 1) {
		return c.level
	}
	return c.localLimit(util) / max(c.weights, minWeight)
}

// localLimit returns this instance's part of the service's soft limit.
func (c *Controller) localLimit(util Utilization) float64 {
	return float64(c.inFlight) * util.softLimit() / max(1, util.Load)
}

func (c *Controller) customer(name string, weight float64) *customer {
	cu := c.customers[name]
	if cu == nil {
		cu = &customer{name: name, index: len(c.list)}
		c.customers[name] = cu
		c.list = append(c.list, cu)
	}
	c.weights -= cu.weight
	cu.weight = max(weight, minWeight)
	c.weights += cu.weight
	return cu
}

// removeIfIdle removes a customer without requests in progress or refusals.
func (c *Controller) removeIfIdle(cu *customer) {
	if cu.inFlight > 0 || cu.refused > 0 {
		return
	}
	last := c.list[len(c.list)-1]
	c.list[cu.index], last.index = last, cu.index
	c.list = c.list[:len(c.list)-1]
	c.weights -= cu.weight
	if len(c.list) == 0 {
		c.weights = 0
	}
	delete(c.customers, cu.name)
}

func (c *Controller) countRefused(name string, weight float64, now time.Time) {
	if c.customers[name] == nil && c.refusedCustomers >= maxRefusedCustomers {
		return
	}
	cu := c.customer(name, weight)
	if cu.refused == 0 {
		c.refusedCustomers++
		cu.refusedAt = now
	}
	cu.refused++
	c.refusals++
}

// Ended records the end of an admitted request.
func (c *Controller) Ended(name string, now time.Time) {
	cu := c.customers[name]
	if cu == nil || cu.inFlight == 0 {
		return
	}
	cu.inFlight--
	c.inFlight--
	c.drain.add(now)
	c.removeIfIdle(cu)
}

// Tick recomputes the water level: the level at which the customers' demands, each capped
// at its weight times the level, add up to this instance's part of the service's soft
// limit. Its running time is linear in the number of tracked customers, and admission
// decisions only read its result.
func (c *Controller) Tick(util Utilization, now time.Time) {
	if now.Before(c.nextTick) {
		return
	}
	c.nextTick = now.Add(levelInterval)
	c.expireRefusals(now)
	if util.Load < levelUpdateFraction*util.softLimit() {
		c.level = math.Inf(1)
		return
	}
	c.level = c.waterLevel(c.localLimit(util))
}

func (c *Controller) waterLevel(limit float64) float64 {
	high, demand := 0.0, 0.0
	for _, cu := range c.list {
		high = max(high, cu.demand()/cu.weight)
		demand += cu.demand()
	}
	if demand <= limit {
		return math.Inf(1)
	}
	low := 0.0
	for range levelIterations {
		mid := (low + high) / 2
		if c.cappedDemand(mid) > limit {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

func (cu *customer) demand() float64 { return float64(cu.inFlight + cu.refused) }

func (c *Controller) cappedDemand(level float64) float64 {
	sum := 0.0
	for _, cu := range c.list {
		sum += min(cu.demand(), cu.weight*level)
	}
	return sum
}

// expireRefusals drops refusals that are too old to count as demand.
func (c *Controller) expireRefusals(now time.Time) {
	for i := len(c.list) - 1; i >= 0; i-- {
		cu := c.list[i]
		if cu.refused > 0 && now.Sub(cu.refusedAt) > refusalTTL {
			c.refusals -= cu.refused
			c.refusedCustomers--
			cu.refused = 0
		}
		c.removeIfIdle(cu)
	}
}

// RetryAfter returns the delay after which a refused caller may retry. It is the time in
// which this instance drains its load above its part of the soft limit plus one request
// for each earlier refusal, but at least minDelay. It is randomized so that refused
// callers do not retry at the same time.
func (c *Controller) RetryAfter(util Utilization, minDelay time.Duration, now time.Time, random *rand.Rand) time.Duration {
	excess := float64(c.inFlight) * max(0, 1-util.softLimit()/max(1, util.Load))
	seconds := (excess + float64(c.refusals-1)) / max(minDrainRate, c.drain.rate(now))
	delay := time.Duration(min(seconds, MaxRetryAfter.Seconds()/2) * float64(time.Second))
	delay = max(delay, minDelay)
	return delay + time.Duration(random.Float64()*float64(delay))
}

// drainMeter measures the rate at which requests end.
type drainMeter struct {
	since           time.Time
	count, lastRate float64
	hasLastRate     bool
}

func (d *drainMeter) add(now time.Time) {
	d.rotate(now)
	d.count++
}

func (d *drainMeter) rotate(now time.Time) {
	age := now.Sub(d.since)
	if age < drainWindow {
		return
	}
	d.lastRate, d.hasLastRate = d.count/age.Seconds(), !d.since.IsZero()
	d.since, d.count = now, 0
}

func (d *drainMeter) rate(now time.Time) float64 {
	d.rotate(now)
	if d.hasLastRate {
		return d.lastRate
	}
	return d.count / max(1, now.Sub(d.since).Seconds())
}
