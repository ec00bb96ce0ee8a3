package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// loopBuckets are in seconds: from a wait that no caller notices to the longest deadlines.
var loopBuckets = prometheus.ExponentialBucketsRange(0.001, 30, 10)

// loopMetrics describe the goroutine that owns the core. Only that goroutine records events.
type loopMetrics struct {
	wait prometheus.Histogram
	busy *prometheus.CounterVec
	done *prometheus.CounterVec
	// kinds caches the counters of each kind of event.
	kinds map[string]eventCounters
}

type eventCounters struct{ busy, done prometheus.Counter }

func newLoopMetrics() loopMetrics {
	return loopMetrics{
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "ebonydyke_event_wait_seconds", Help: "Time that events waited for the core.", Buckets: loopBuckets,
		}),
		busy: newCounterVec("event_seconds_total", "Time that the core took for events, by kind.", "event"),
		done: newCounterVec("events_total", "Events that the core handled, by kind.", "event"),

		kinds: make(map[string]eventCounters),
	}
}

func (l loopMetrics) register(r *prometheus.Registry) { r.MustRegister(l.wait, l.busy, l.done) }

// EventHandled records the time that an event waited for the core and the time that the core took for it. Only the goroutine that owns
// the core may call it.
func (m *Metrics) EventHandled(kind string, wait, took time.Duration) {
	counters, ok := m.loop.kinds[kind]
	if !ok {
		counters = eventCounters{m.loop.busy.WithLabelValues(kind), m.loop.done.WithLabelValues(kind)}
		m.loop.kinds[kind] = counters
	}
	m.loop.wait.Observe(wait.Seconds())
	counters.busy.Add(took.Seconds())
	counters.done.Inc()
}
