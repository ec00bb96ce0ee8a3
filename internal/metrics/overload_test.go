package metrics_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/overloadstats"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// crowdedMetrics returns what the core would tell of an instance with 9,600 customers and more services, levels, reasons and slow
// servers than it exposes, all with names that are too long.
func crowdedMetrics() core.OverloadMetrics {
	name := func(kind string, i int) string { return fmt.Sprintf("%s-%05d-%s", kind, i, strings.Repeat("x", 60)) }
	s := overloadstats.New()
	at := time.Unix(1_800_000_000, 0)
	for range 20 {
		for i := range 9_600 {
			service, customer, level := name("service", i%100), name("customer", i), overloadstats.Level(i%11-1)
			s.Admitted(service, level, customer, at)
			s.Refused(service, level, customer, reason.All[i%len(reason.All)], at)
			s.PlacedOutOfZone(service, overloadstats.AllOutOfZone[i%len(overloadstats.AllOutOfZone)])
		}
	}
	m := core.OverloadMetrics{
		Admitted: make(map[overloadstats.LevelKey]uint64), Refused: make(map[overloadstats.RefusalKey]uint64),
		Placements: make(map[overloadstats.PlacementKey]uint64), Customers: make(map[string]overloadstats.Counts),
		Waits: make(map[overloadstats.LevelKey]time.Duration), Overloaded: make(map[string]bool),
	}
	s.EachAdmitted(func(k overloadstats.LevelKey, n uint64) { m.Admitted[k] = n })
	s.EachRefused(func(k overloadstats.RefusalKey, n uint64) { m.Refused[k] = n })
	s.EachPlacement(func(k overloadstats.PlacementKey, n uint64) { m.Placements[k] = n })
	s.EachCustomer(func(k string, c overloadstats.Counts) { m.Customers[k] = c })
	for i := range overloadstats.MaxLevels {
		m.Waits[overloadstats.LevelKey{Service: name("service", i/9), Level: overloadstats.Level(i % 9)}] = 1_234_567_891
	}
	for i := range overloadstats.MaxServices {
		m.Overloaded[name("service", i)] = true
	}
	for i := range overloadstats.MaxSlowServers {
		m.Slow = append(m.Slow, core.SlowServer{
			Service: name("service", i), Server: name("server", i), Slowness: 2.123456789123456, Basis: status.SlownessReported,
		})
	}
	return m
}

// scrapeOverload returns the lines of a scrape that RegisterOverload adds.
func scrapeOverload(t *testing.T, figures core.OverloadMetrics) string {
	t.Helper()
	scrape := func(register bool) string {
		m := metrics.New()
		if register {
			m.RegisterOverload(func() (core.OverloadMetrics, bool) { return figures, true })
		}
		w := httptest.NewRecorder()
		promhttp.HandlerFor(m.Gatherer(), promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		require.Equal(t, http.StatusOK, w.Code, w.Body.String())
		return w.Body.String()
	}
	without := make(map[string]bool)
	for line := range strings.Lines(scrape(false)) {
		without[strings.Fields(line)[0]] = true
	}
	var added strings.Builder
	for line := range strings.Lines(scrape(true)) {
		if key := strings.Fields(line)[0]; key == "#" && !strings.Contains(line, "go_") && !strings.Contains(line, "process_") || !without[key] {
			added.WriteString(line)
		}
	}
	return added.String()
}

// Guards against a scrape that grows with the customers, services or servers until the collector of the metrics drops the instance.
func TestScrapeOfCrowdedInstanceIsSmall(t *testing.T) {
	text := scrapeOverload(t, crowdedMetrics())
	t.Logf("%d bytes, %d lines", len(text), strings.Count(text, "\n"))
	require.Less(t, len(text), 64*1024)
	require.Greater(t, strings.Count(text, "\n"), 400)
}

// Guards against an operator who cannot tell why, and whose, requests were refused.
func TestScrapeTellsWhatWasRefused(t *testing.T) {
	text := scrapeOverload(t, core.OverloadMetrics{
		Refused:    map[overloadstats.RefusalKey]uint64{{Service: "llm", Level: 7, Reason: reason.WaitTooLong}: 3},
		Admitted:   map[overloadstats.LevelKey]uint64{{Service: "llm", Level: overloadstats.NoLevel}: 4},
		Customers:  map[string]overloadstats.Counts{"branch": {Admitted: 4, Refused: 3}},
		Overloaded: map[string]bool{"llm": true},
		Placements: map[overloadstats.PlacementKey]uint64{{Service: "llm", Why: overloadstats.Session}: 2},
		Slow:       []core.SlowServer{{Service: "llm", Server: "e1", Slowness: 2.5, Basis: status.SlownessFading}},
		Waits:      map[overloadstats.LevelKey]time.Duration{{Service: "llm", Level: 7}: 1500 * time.Millisecond},
	})
	for _, line := range []string{
		`ebonydyke_refused_total{level="7",reason="wait-too-long",service="llm"} 3`,
		`ebonydyke_admitted_total{level="none",service="llm"} 4`,
		`ebonydyke_customer_refused_total{customer="branch"} 3`,
		`ebonydyke_overloaded{service="llm"} 1`,
		`ebonydyke_out_of_zone_total{reason="session",service="llm"} 2`,
		`ebonydyke_server_slowness{basis="fading",server="e1",service="llm"} 2.5`,
		`ebonydyke_expected_wait_seconds{level="7",service="llm"} 1.5`,
	} {
		require.Contains(t, text, line)
	}
}
