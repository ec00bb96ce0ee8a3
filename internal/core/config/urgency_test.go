package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// Guards against requests of all kinds that are equally urgent because their customers have the same priority, and against
// levels that engines do not take.
func TestUrgencyLevelsKeepTheOrder(t *testing.T) {
	for _, counts := range []struct{ routes, customers int }{{3, 2}, {1, 1}, {12, 7}} {
		text := config.Text{Services: []config.Service{{Name: "engines", Kind: config.Model, FromPlatform: true, SkewBound: 2, RetryShare: 0.2}}}
		for i := range counts.routes {
			text.Routes = append(text.Routes, config.Route{
				Name: fmt.Sprint("route-", i), Host: "h.example", Prefix: fmt.Sprintf("/%d/", i), Kind: config.Stream, Timeout: 1e9,
				Priority: i, MaxRuns: 1, Split: []config.Share{{Service: "engines", Weight: 1}},
			})
		}
		text.Customers = []config.Customer{{Name: "without", Weight: 1, APIKeys: []string{"key-without"}}}
		for i := range counts.customers {
			text.Customers = append(text.Customers, config.Customer{Name: fmt.Sprint("customer-", i), Weight: 1, APIKeys: []string{fmt.Sprint("key-", i)}, Priority: &i})
		}
		s, adjusted := config.Adopt(config.Envelope{Generation: 1}, text)
		require.Empty(t, adjusted.List)
		previous := -1
		for customer := range counts.customers {
			for route := range counts.routes {
				level := s.UrgencyLevel(s.Route("h.example", fmt.Sprintf("/%d/x", route)), s.Customer(fmt.Sprint("customer-", customer)))
				require.GreaterOrEqual(t, level, previous, "customer %d, route %d of %v", customer, route, counts)
				require.LessOrEqual(t, level, config.MaxUrgencyLevel)
				if counts.routes*counts.customers <= config.MaxUrgencyLevel {
					require.Greater(t, level, previous, "customer %d, route %d of %v", customer, route, counts)
				}
				previous = level
			}
		}
	}
}

// Guards against a configuration that takes more memory than an instance has, because it has many priorities of routes and of
// customers.
func TestManyPrioritiesCostLittle(t *testing.T) {
	text := config.Text{Services: []config.Service{{Name: "s", Kind: config.Plain, FromPlatform: true}}}
	const many = 3_000
	for i := range many {
		r := route(fmt.Sprintf("/%d/", i), config.Idempotent)
		r.Priority = i
		text.Routes = append(text.Routes, r)
		text.Customers = append(text.Customers, config.Customer{Name: fmt.Sprint("customer-", i), Priority: &i})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s, _ := config.Adopt(config.Envelope{}, text)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20), "bytes")
	first, last := s.Customer("customer-0"), s.Customer(fmt.Sprint("customer-", many-1))
	require.Zero(t, s.UrgencyLevel(s.Route("h", "/0/"), first))
	require.Equal(t, config.MaxUrgencyLevel, s.UrgencyLevel(s.Route("h", fmt.Sprintf("/%d/", many-1)), last))
}
