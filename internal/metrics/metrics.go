// Package metrics holds the counters, gauges and histograms of one instance. Label values
// come from the typed constants that headers and logs also use.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// latencyBuckets are in seconds. They range from 0.5 ms, about the latency that an instance
// may add to a response, to the longest deadlines.
var latencyBuckets = prometheus.ExponentialBucketsRange(0.0005, 300, 20)

// Metrics holds the metrics of one instance. Its methods are safe for concurrent use.
type Metrics struct {
	registry      *prometheus.Registry
	refusals      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	attemptEnds   *prometheus.CounterVec
	responses     *prometheus.CounterVec
	firstByte     *prometheus.HistogramVec
	responseTime  *prometheus.HistogramVec
	callerBytes   prometheus.Counter
	dials         *prometheus.CounterVec
	relays        *prometheus.CounterVec
	connEnds      *prometheus.CounterVec
	acceptErrors  prometheus.Counter
	idleCloses    *prometheus.CounterVec
	generation    prometheus.Gauge
	ready         prometheus.Gauge
	platformCalls *prometheus.CounterVec
	coreEvents    *prometheus.CounterVec
	loop          loopMetrics
}

// New returns metrics with every reason's counters initialised to zero, so that a rate over
// them includes the first event.
func New() *Metrics {
	m := &Metrics{
		registry:      prometheus.NewRegistry(),
		refusals:      newCounterVec("refusals_total", "Requests answered by the fleet itself, as refusals or failures, by reason.", "reason"),
		retries:       newCounterVec("retries_total", "Attempts after the first of a request, by reason.", "reason"),
		attemptEnds:   newCounterVec("attempt_ends_total", "Ends of attempts at backend servers, by the timer or event that ended them.", "cause"),
		responses:     newCounterVec("backend_responses_total", "Responses of backend servers, by the request that they name.", "names"),
		firstByte:     newHistogramVec("first_byte_seconds", "Time from the arrival of a request to the first byte of its response."),
		responseTime:  newHistogramVec("answer_seconds", "Time from the arrival of a request to the end of its response."),
		callerBytes:   prometheus.NewCounter(prometheus.CounterOpts{Name: "ebonydyke_caller_bytes_total", Help: "Bytes of response bodies sent to callers."}),
		dials:         newCounterVec("backend_dials_total", "Attempts to open a connection to a backend server, by reason.", "reason"),
		connEnds:      newCounterVec("unanswered_connections_total", "Connections of callers that ended while a request had no whole response, by its phase and the event.", "phase", "cause"),
		acceptErrors:  prometheus.NewCounter(prometheus.CounterOpts{Name: "ebonydyke_accept_errors_total", Help: "Errors of accepting a caller's connection that were waited out."}),
		idleCloses:    newCounterVec("idle_connections_closed_total", "Idle connections of callers that this instance closed, by reason.", "reason"),
		relays:        newCounterVec("relay_requests_total", "Requests of peers to relay a connection to a backend server, by result.", "result"),
		generation:    newGauge("generation", "Generation of the configuration in force, 0 if there is none."),
		ready:         newGauge("ready", "1 until the graceful shutdown starts, then 0."),
		platformCalls: newCounterVec("platform_calls_total", "Completed calls to the platform, by kind and result; a long-polling watch is one call.", "kind", "result"),
		coreEvents:    newCounterVec("core_events_total", "Events counted by the core, such as messages that it shed.", "counter", "label"),
		loop:          newLoopMetrics(),
	}
	m.loop.register(m.registry)
	m.registry.MustRegister(
		m.refusals, m.retries, m.attemptEnds, m.responses, m.firstByte, m.responseTime, m.callerBytes, m.dials, m.relays, m.connEnds, m.generation, m.ready,
		m.acceptErrors, m.idleCloses,
		m.platformCalls, m.coreEvents,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	for _, phase := range proxy.ConnPhases {
		for _, end := range proxy.ConnEnds {
			m.connEnds.WithLabelValues(string(phase), string(end))
		}
	}
	for _, r := range reason.All {
		m.refusals.WithLabelValues(string(r))
		m.retries.WithLabelValues(string(r))
	}
	for _, why := range proxy.IdleCloses {
		m.idleCloses.WithLabelValues(string(why))
	}
	for _, c := range proxy.EndCauses {
		m.attemptEnds.WithLabelValues(string(c))
	}
	for _, i := range proxy.Identities {
		m.responses.WithLabelValues(string(i))
	}
	for _, r := range proxy.DialReasons {
		m.dials.WithLabelValues(string(r))
	}
	for _, r := range []paths.Result{paths.Connected, paths.Refused, paths.TimedOut, paths.NoRelay} {
		m.relays.WithLabelValues(string(r))
	}
	m.ready.Set(1)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ebonydyke_" + name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: "ebonydyke_" + name, Help: help})
}

func newHistogramVec(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "ebonydyke_" + name, Help: help, Buckets: latencyBuckets,
	}, []string{"service"})
}

// Gatherer returns the gatherer of the metrics, for an HTTP handler.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// RegisterInFlight registers the gauge of requests in flight. It is read from f at each scrape.
func (m *Metrics) RegisterInFlight(f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonydyke_requests_in_flight", Help: "Requests in flight at this instance.",
	}, f))
}

// RegisterCallerConns registers the gauge of callers' connections, read from f at each scrape, and that of their limit.
func (m *Metrics) RegisterCallerConns(f func() int, limit int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonydyke_caller_connections", Help: "Open connections of callers.",
	}, func() float64 { return float64(f()) }))
	most := newGauge("caller_connections_limit", "Limit of open connections of callers, from the settings and the file descriptors.")
	most.Set(float64(limit))
	m.registry.MustRegister(most)
}

// RegisterBodyBytes registers the gauge of the bytes that the bodies of requests take, read from f at each scrape, and that of their
// limit.
func (m *Metrics) RegisterBodyBytes(f func() int64, limit int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonydyke_request_body_bytes", Help: "Memory that is taken for the bodies of requests.",
	}, func() float64 { return float64(f()) }))
	most := newGauge("request_body_bytes_limit", "Limit of the memory for the bodies of requests.")
	most.Set(float64(limit))
	m.registry.MustRegister(most)
}

// RegisterStaleness registers the gauge of the age, in seconds, of what the instance knows of the
// store. It is read from f at each scrape.
func (m *Metrics) RegisterStaleness(f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonydyke_store_staleness_seconds", Help: "Age of what this instance knows of the platform's store.",
	}, f))
}

// Refused implements proxy.Metrics.
func (m *Metrics) Refused(r reason.Reason) { m.refusals.WithLabelValues(string(r)).Inc() }

// Retried implements proxy.Metrics.
func (m *Metrics) Retried(r reason.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// AttemptEnded implements proxy.Metrics.
func (m *Metrics) AttemptEnded(c proxy.EndCause) { m.attemptEnds.WithLabelValues(string(c)).Inc() }

// ResponseIdentified implements proxy.Metrics.
func (m *Metrics) ResponseIdentified(i proxy.Identity) { m.responses.WithLabelValues(string(i)).Inc() }

// AcceptFailed implements proxy.Metrics.
func (m *Metrics) AcceptFailed() { m.acceptErrors.Inc() }

// IdleClosed implements proxy.Metrics.
func (m *Metrics) IdleClosed(why proxy.IdleClose) { m.idleCloses.WithLabelValues(string(why)).Inc() }

// Answered implements proxy.Metrics.
func (m *Metrics) Answered(service string, firstByte, total time.Duration) {
	m.firstByte.WithLabelValues(service).Observe(firstByte.Seconds())
	m.responseTime.WithLabelValues(service).Observe(total.Seconds())
}

// CallerBytes implements proxy.Metrics.
func (m *Metrics) CallerBytes(n int) { m.callerBytes.Add(float64(n)) }

// Dialled implements proxy.Metrics.
func (m *Metrics) Dialled(r proxy.DialReason) { m.dials.WithLabelValues(string(r)).Inc() }

// ConnEnded implements proxy.Metrics.
func (m *Metrics) ConnEnded(phase proxy.ConnPhase, end proxy.ConnEnd) {
	m.connEnds.WithLabelValues(string(phase), string(end)).Inc()
}

// Relayed implements relay.Metrics.
func (m *Metrics) Relayed(r paths.Result) { m.relays.WithLabelValues(string(r)).Inc() }

// SetGeneration sets the generation of the configuration in force.
func (m *Metrics) SetGeneration(generation uint64) { m.generation.Set(float64(generation)) }

// SetReady sets whether the instance accepts new requests.
func (m *Metrics) SetReady(ready bool) {
	m.ready.Set(0)
	if ready {
		m.ready.Set(1)
	}
}

// PlatformCall counts a completed call to the platform.
func (m *Metrics) PlatformCall(kind, result string) {
	m.platformCalls.WithLabelValues(kind, result).Inc()
}

// Count adds n to a counter of the core.
func (m *Metrics) Count(counter, label string, n int) {
	m.coreEvents.WithLabelValues(counter, label).Add(float64(n))
}
