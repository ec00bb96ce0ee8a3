package metrics

import "github.com/prometheus/client_golang/prometheus"

// Evacuation is an evacuated availability zone.
type Evacuation struct {
	Zone string
	// Seconds is for how long the instance has known of the evacuation.
	Seconds float64
	// Own is the number of the instance's requests in progress there.
	Own int
}

// evacuationCollector reads the evacuated zones at each scrape, so that a zone that is used again has no metrics.
type evacuationCollector struct {
	read    func() []Evacuation
	seconds *prometheus.Desc
	own     *prometheus.Desc
}

// RegisterEvacuations registers metrics of the evacuated zones. They are read from f at each scrape.
func (m *Metrics) RegisterEvacuations(f func() []Evacuation) {
	zone := []string{"zone"}
	m.registry.MustRegister(&evacuationCollector{
		read:    f,
		seconds: prometheus.NewDesc("ebonydyke_evacuated_seconds", "Time for which a zone has been evacuated, as this instance knows it.", zone, nil),
		own:     prometheus.NewDesc("ebonydyke_evacuated_requests", "Requests of this instance in progress in an evacuated zone.", zone, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *evacuationCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.seconds
	out <- c.own
}

// Collect implements prometheus.Collector.
func (c *evacuationCollector) Collect(out chan<- prometheus.Metric) {
	for _, e := range c.read() {
		out <- prometheus.MustNewConstMetric(c.seconds, prometheus.GaugeValue, e.Seconds, e.Zone)
		out <- prometheus.MustNewConstMetric(c.own, prometheus.GaugeValue, float64(e.Own), e.Zone)
	}
}
