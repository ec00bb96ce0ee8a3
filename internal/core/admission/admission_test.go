package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ebonydyke/ebonydyke/test/fixedseed"

	"github.com/ebonydyke/ebonydyke/internal/core/admission"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// pool is one service with a single instance. In each step of a test, the oldest requests
// end and every customer makes new ones.
type pool struct {
	c        *admission.Controller
	random   *rand.Rand
	now      time.Time
	capacity int
	running  []string
}

func newPool(capacity int) *pool {
	return &pool{c: admission.NewController(), random: rand.New(rand.NewPCG(1, 1)), now: start, capacity: capacity}
}

func (p *pool) utilization() admission.Utilization {
	return admission.Utilization{Load: float64(len(p.running)), Capacity: float64(p.capacity)}
}

func (p *pool) request(customer string, weight float64) admission.Verdict {
	v := p.c.Admit(customer, weight, p.utilization(), p.now, p.random)
	if v == admission.Admitted {
		p.running = append(p.running, customer)
	}
	return v
}

func (p *pool) step(ends int) {
	p.now = p.now.Add(50 * time.Millisecond)
	for range min(ends, len(p.running)) {
		p.c.Ended(p.running[0], p.now)
		p.running = p.running[1:]
	}
	p.c.Tick(p.utilization(), p.now)
}

// Below saturation no request is refused, however uneven the customers.
func TestAllAdmittedBelowSaturation(t *testing.T) {
	p := newPool(100)
	for i := range 89 {
		require.Equal(t, admission.Admitted, p.request("large", 1), i)
		p.c.Tick(p.utilization(), p.now)
	}
}

// Two of ten customers surge to ten times the load that fits. Without shares, the full
// service would refuse nine in ten requests of the other eight as well. With shares, only
// the two are refused.
func TestOnlySurgingCustomersAreRefused(t *testing.T) {
	p := newPool(200)
	refused := map[string]int{}
	inFlight := map[string]int{}
	for range 400 {
		p.step(10)
		for i := range 10 {
			name, asks := fmt.Sprint("customer-", i), 1
			if i < 2 {
				asks = 20
			}
			for range asks {
				if i >= 2 && p.random.Float64() < 0.5 {
					continue
				}
				if p.request(name, 1) != admission.Admitted {
					refused[name]++
				}
			}
		}
	}
	for _, name := range p.running {
		inFlight[name]++
	}
	for i := range 10 {
		if name := fmt.Sprint("customer-", i); i < 2 {
			require.Greater(t, refused[name], 6000)
			require.Greater(t, inFlight[name], 40, "the share that the others leave is used")
		} else {
			require.Zero(t, refused[name])
		}
	}
	require.LessOrEqual(t, len(p.running), 200)
	require.Greater(t, len(p.running), 170)
}

// When all customers exceed the capacity with equal request rates, each gets the share of
// its weight.
func TestSharesFollowTheWeights(t *testing.T) {
	p := newPool(400)
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	for range 3000 {
		p.step(4)
		for range 8 {
			for _, name := range []string{"a", "b", "c"} {
				p.request(name, weights[name])
			}
		}
	}
	unit := float64(len(p.running)) / 8
	for name, weight := range weights {
		require.InEpsilon(t, weight*unit, p.c.InFlight(name), 0.15, name)
	}
}

// For random customers, loads and ends, the count of requests in progress is right, the
// capacity is never exceeded, and no customer is tracked after all requests have ended.
func TestNoCustomerTrackedAfterAllRequestsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.IntRange(1, 30).Draw(t, "capacity"))
		for range 100 {
			p.step(rapid.IntRange(0, 4).Draw(t, "ends"))
			for range rapid.IntRange(0, 6).Draw(t, "asks") {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				p.request(name, rapid.Float64Range(0, 9).Draw(t, "weight"))
			}
			require.LessOrEqual(t, len(p.running), p.capacity)
		}
		p.step(len(p.running))
		require.True(t, p.c.Idle())
		p.now = p.now.Add(time.Minute)
		p.step(0)
		require.Zero(t, p.c.Customers())
	})
}

// Callers refused at the same time must not retry at the same time, nor before the service
// can have drained.
func TestRetryAfterFollowsDrainRateWithJitter(t *testing.T) {
	times := func(ends int) (least, most time.Duration) {
		p := newPool(100)
		for range 300 {
			p.step(ends)
			for range 2 * ends {
				p.request("surging", 1)
			}
		}
		least = time.Hour
		for range 200 {
			wait := p.c.RetryAfter(p.utilization(), time.Second, p.now, p.random)
			least, most = min(least, wait), max(most, wait)
		}
		return least, most
	}
	fastLeast, fastMost := times(10)
	slowLeast, _ := times(1)
	require.GreaterOrEqual(t, fastLeast, time.Second)
	require.Greater(t, fastMost, fastLeast*3/2)
	require.LessOrEqual(t, fastMost, admission.MaxRetryAfter)
	require.Greater(t, slowLeast, time.Duration(0))
}

func BenchmarkAdmitSaturated(b *testing.B) {
	for _, n := range []int{10, 1000, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, names := filled(n)
			b.ReportAllocs()
			for i := range b.N {
				room := admission.Utilization{Load: 0.95 * float64(2*n), Capacity: float64(2 * n)}
				if p.c.Admit(names[i%n], 1, room, p.now, p.random) == admission.Admitted {
					p.c.Ended(names[i%n], p.now)
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 1000, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := filled(n)
			b.ReportAllocs()
			for range b.N {
				p.now = p.now.Add(100 * time.Millisecond)
				p.c.Tick(admission.Utilization{Load: float64(2 * n), Capacity: float64(2 * n)}, p.now)
			}
		})
	}
}

// filled returns a pool with two requests of each of n customers in progress.
func filled(n int) (*pool, []string) {
	p := newPool(2*n + n)
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
		p.request(names[i], 1+float64(i%7))
		p.request(names[i], 1+float64(i%7))
	}
	return p, names
}
