package metrics

import "github.com/prometheus/client_golang/prometheus"

// Direction tells what an instance sent from what it received.
type Direction string

// The directions of control traffic.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Traffic is the control traffic of one kind in one direction since the start.
type Traffic struct {
	Kind      string
	Direction Direction
	Messages  uint64
	// Bytes are those on the connection, framing included.
	Bytes uint64
}

// Control is what an instance exchanged with its peers since its start.
type Control struct {
	Traffic []Traffic
	// Dropped counts messages that found no link or a full queue, by kind.
	Dropped map[string]uint64
	// Strangers counts connections that were no peer's.
	Strangers uint64
	// BadFrames counts links ended because of bytes that are no frame.
	BadFrames uint64
}

// control reads the counters of the links at each scrape, so that the links need
// not know of metrics and count on their own side of the lock.
type control struct {
	read     func() Control
	bytes    *prometheus.Desc
	messages *prometheus.Desc
	dropped  *prometheus.Desc
	rejected *prometheus.Desc
}

// ReadControl reads the control traffic with f at each scrape.
func (m *Metrics) ReadControl(f func() Control) {
	m.registry.MustRegister(&control{
		read:     f,
		bytes:    prometheus.NewDesc("ebonydyke_control_bytes_total", "Bytes exchanged with peers, framing included.", []string{"kind", "direction"}, nil),
		messages: prometheus.NewDesc("ebonydyke_control_messages_total", "Messages exchanged with peers.", []string{"kind", "direction"}, nil),
		dropped:  prometheus.NewDesc("ebonydyke_control_dropped_total", "Messages to peers that found no link or a full queue.", []string{"kind"}, nil),
		rejected: prometheus.NewDesc("ebonydyke_control_rejected_total", "Connections rejected at the peers' port.", []string{"why"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *control) Describe(out chan<- *prometheus.Desc) {
	out <- c.bytes
	out <- c.messages
	out <- c.dropped
	out <- c.rejected
}

// Collect implements prometheus.Collector.
func (c *control) Collect(out chan<- prometheus.Metric) {
	now := c.read()
	for _, t := range now.Traffic {
		labels := []string{t.Kind, string(t.Direction)}
		out <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(t.Bytes), labels...)
		out <- prometheus.MustNewConstMetric(c.messages, prometheus.CounterValue, float64(t.Messages), labels...)
	}
	for kind, n := range now.Dropped {
		out <- prometheus.MustNewConstMetric(c.dropped, prometheus.CounterValue, float64(n), kind)
	}
	out <- prometheus.MustNewConstMetric(c.rejected, prometheus.CounterValue, float64(now.Strangers), "stranger")
	out <- prometheus.MustNewConstMetric(c.rejected, prometheus.CounterValue, float64(now.BadFrames), "bad-frame")
}
