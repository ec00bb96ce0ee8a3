package metrics

import "github.com/prometheus/client_golang/prometheus"

// Direction is the direction of control traffic as seen from this instance.
type Direction string

// The directions of control traffic.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Traffic is the control traffic of one kind in one direction since the process started.
type Traffic struct {
	Kind      string
	Direction Direction
	Messages  uint64
	// Bytes are the bytes on the connection, including framing.
	Bytes uint64
}

// ControlStats holds the counters of the traffic with peers since the process started.
type ControlStats struct {
	Traffic []Traffic
	// Dropped counts by kind the messages dropped because the peer had no link or its queue was
	// full.
	Dropped map[string]uint64
	// RejectedConns counts the rejected connections: those that sent no valid hello, came from
	// another fleet, or exceeded the limit on connections without a completed handshake.
	RejectedConns uint64
	// BadFrames counts links closed because of bytes that are not a valid frame.
	BadFrames uint64
	// EndlessInputs counts links closed because their peer's bytes completed no message within the limits.
	EndlessInputs uint64
}

// controlCollector is a collector that reads the counters of the links at each scrape. The links
// therefore do not depend on this package and update their counters without its locks.
type controlCollector struct {
	read     func() ControlStats
	bytes    *prometheus.Desc
	messages *prometheus.Desc
	dropped  *prometheus.Desc
	rejected *prometheus.Desc
}

// RegisterControl registers metrics of the control traffic. They are read from f at each scrape.
func (m *Metrics) RegisterControl(f func() ControlStats) {
	m.registry.MustRegister(&controlCollector{
		read:     f,
		bytes:    prometheus.NewDesc("ebonydyke_control_bytes_total", "Bytes exchanged with peers, including framing.", []string{"kind", "direction"}, nil),
		messages: prometheus.NewDesc("ebonydyke_control_messages_total", "Messages exchanged with peers.", []string{"kind", "direction"}, nil),
		dropped:  prometheus.NewDesc("ebonydyke_control_dropped_total", "Messages to peers dropped because of a missing link or a full queue.", []string{"kind"}, nil),
		rejected: prometheus.NewDesc("ebonydyke_control_rejected_total", "Connections rejected on the peer port, by cause.", []string{"why"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *controlCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.bytes
	out <- c.messages
	out <- c.dropped
	out <- c.rejected
}

// Collect implements prometheus.Collector.
func (c *controlCollector) Collect(out chan<- prometheus.Metric) {
	stats := c.read()
	for _, t := range stats.Traffic {
		labels := []string{t.Kind, string(t.Direction)}
		out <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(t.Bytes), labels...)
		out <- prometheus.MustNewConstMetric(c.messages, prometheus.CounterValue, float64(t.Messages), labels...)
	}
	for kind, n := range stats.Dropped {
		out <- prometheus.MustNewConstMetric(c.dropped, prometheus.CounterValue, float64(n), kind)
	}
	out <- prometheus.MustNewConstMetric(c.rejected, prometheus.CounterValue, float64(stats.RejectedConns), "stranger")
	out <- prometheus.MustNewConstMetric(c.rejected, prometheus.CounterValue, float64(stats.BadFrames), "bad-frame")
	out <- prometheus.MustNewConstMetric(c.rejected, prometheus.CounterValue, float64(stats.EndlessInputs), "endless-input")
}
