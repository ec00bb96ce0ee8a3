package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/overloadstats"
)

// overloadCollector reads at each scrape what the core counts of admitted and refused requests. The core bounds the number of
// services, levels, customers and servers that it tells of.
type overloadCollector struct {
	read             func() (core.OverloadMetrics, bool)
	admitted         *prometheus.Desc
	refused          *prometheus.Desc
	wait             *prometheus.Desc
	customerAdmitted *prometheus.Desc
	customerRefused  *prometheus.Desc
	outOfZone        *prometheus.Desc
	overloaded       *prometheus.Desc
	slowness         *prometheus.Desc
}

// RegisterOverload registers metrics of overload and of slow backend servers. They are read from f at each scrape; there are none if
// it reports false.
func (m *Metrics) RegisterOverload(f func() (core.OverloadMetrics, bool)) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("ebonydyke_"+name, help, labels, nil)
	}
	m.registry.MustRegister(&overloadCollector{
		read:             f,
		admitted:         desc("admitted_total", "Requests sent to a backend server, by service and urgency.", "service", "level"),
		refused:          desc("refused_total", "Requests that ended without having run, by service, urgency and reason.", "service", "level", "reason"),
		wait:             desc("expected_wait_seconds", "Expected wait for the first byte of a response, by service and urgency.", "service", "level"),
		customerAdmitted: desc("customer_admitted_total", "Requests sent to a backend server, by customer.", "customer"),
		customerRefused:  desc("customer_refused_total", "Requests that ended without having run, by customer.", "customer"),
		outOfZone:        desc("out_of_zone_total", "Attempts sent to servers outside the instance's zone, by service and reason.", "service", "reason"),
		overloaded:       desc("overloaded", "1 while a service refuses requests for lack of room, else 0.", "service"),
		slowness:         desc("server_slowness", "Time that work takes at a slow server as a multiple of the usual time.", "service", "server", "basis"),
	})
}

// Describe implements prometheus.Collector.
func (c *overloadCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.admitted, c.refused, c.wait, c.customerAdmitted, c.customerRefused, c.outOfZone, c.overloaded, c.slowness,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *overloadCollector) Collect(out chan<- prometheus.Metric) {
	figures, ok := c.read()
	if !ok {
		return
	}
	counter := func(d *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	label := overloadstats.Label
	for k, count := range figures.Admitted {
		counter(c.admitted, count, label(k.Service), levelLabel(k.Level))
	}
	for k, count := range figures.Refused {
		counter(c.refused, count, label(k.Service), levelLabel(k.Level), string(k.Reason))
	}
	for k, wait := range figures.Waits {
		gauge(c.wait, wait.Seconds(), label(k.Service), levelLabel(k.Level))
	}
	for customer, counts := range figures.Customers {
		counter(c.customerAdmitted, counts.Admitted, label(customer))
		counter(c.customerRefused, counts.Refused, label(customer))
	}
	for k, count := range figures.Placements {
		counter(c.outOfZone, count, label(k.Service), string(k.Why))
	}
	for service, overloaded := range figures.Overloaded {
		value := 0.0
		if overloaded {
			value = 1
		}
		gauge(c.overloaded, value, label(service))
	}
	for _, s := range figures.Slow {
		gauge(c.slowness, s.Slowness, label(s.Service), label(s.Server), string(s.Basis))
	}
}

// levelLabel returns the label of an urgency, "none" for requests that have none.
func levelLabel(level overloadstats.Level) string {
	if level == overloadstats.NoLevel {
		return "none"
	}
	return strconv.Itoa(int(level))
}
