// Package admin serves the operators' HTTP interface of an instance: metrics, health,
// readiness, status, explanations of placements and the drain request.
//
// It uses net/http rather than fasthttp because the Prometheus handler is a net/http
// handler and none of these endpoints is on a hot path.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Paths of the endpoints.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
	PathExplain = "/explain"
	PathDrain   = "/drain"
)

const (
	// coreTimeout limits the wait for the core. A core that does not respond in time is
	// blocked or overloaded, and the health check must then fail.
	coreTimeout = time.Second
	// ioTimeout limits reading a request and writing its response.
	ioTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of a request header in bytes.
	maxHeaderBytes = 16 << 10
	// maxConcurrentRequests limits the concurrent requests for large responses, and thereby
	// the calls that wait for the core. Probes have a limit of their own: otherwise slow
	// readers of large responses could make the load balancer's probes fail.
	maxConcurrentRequests = 16
	// maxConcurrentProbes limits the concurrent requests with small responses: health,
	// readiness and drain.
	maxConcurrentProbes = 64
)

// Instance is the instance that the endpoints report on and control.
type Instance interface {
	// Status returns the instance's status.
	Status(context.Context) (status.Status, error)
	// Explain returns the placement decision for a query and the reasons for it.
	Explain(context.Context, core.ExplainQuery) (core.Explanation, error)
	// Ready reports whether the instance accepts new requests.
	Ready(context.Context) (bool, error)
	// Drain starts the graceful shutdown.
	Drain()
}

// NewServer returns a server for all endpoints of an instance.
func NewServer(instance Instance, gatherer prometheus.Gatherer) *http.Server {
	h := &handler{instance: instance}
	requests, probes := make(semaphore, maxConcurrentRequests), make(semaphore, maxConcurrentProbes)
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, requests.limit(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	mux.Handle("GET "+PathHealth, probes.limit(http.HandlerFunc(h.health)))
	mux.Handle("GET "+PathReady, probes.limit(http.HandlerFunc(h.ready)))
	mux.Handle("GET "+PathStatus, requests.limit(http.HandlerFunc(h.status)))
	mux.Handle("GET "+PathExplain, requests.limit(http.HandlerFunc(h.explain)))
	mux.Handle("POST "+PathDrain, probes.limit(http.HandlerFunc(h.drain)))
	// A web page open in an operator's browser must not be able to drain an instance.
	return newServer(http.NewCrossOriginProtection().Handler(mux))
}

// NewReadyServer returns a server that has only the readiness endpoint.
func NewReadyServer(instance Instance) *http.Server {
	h := &handler{instance: instance}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathReady, make(semaphore, maxConcurrentProbes).limit(http.HandlerFunc(h.ready)))
	return newServer(mux)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		ReadTimeout:    ioTimeout,
		WriteTimeout:   ioTimeout,
		IdleTimeout:    time.Minute,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

type handler struct {
	instance Instance
}

// semaphore limits concurrent requests.
type semaphore chan struct{}

// limit wraps a handler: it refuses requests over the limit and sets the timeout for calls
// to the core.
func (s semaphore) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s <- struct{}{}:
		default:
			http.Error(w, "too many requests at once; try again", http.StatusServiceUnavailable)
			return
		}
		defer func() { <-s }()
		ctx, cancel := context.WithTimeout(r.Context(), coreTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	if _, err := h.instance.Ready(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ok\n")
}

func (h *handler) ready(w http.ResponseWriter, r *http.Request) {
	ready, err := h.instance.Ready(r.Context())
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !ready:
		http.Error(w, "not ready: stopping, or no configuration is in force yet", http.StatusServiceUnavailable)
	default:
		writeText(w, "ready\n")
	}
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.instance.Status(r.Context())
	writeJSON(w, status, err)
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	query := core.ExplainQuery{
		Service:  r.FormValue("service"),
		Customer: r.FormValue("customer"),
		Chat:     r.FormValue("chat"),
		Hint:     r.FormValue("hint"),
	}
	if query.Service == "" {
		http.Error(w, "expected ?service=, and usually customer= and chat=", http.StatusBadRequest)
		return
	}
	explanation, err := h.instance.Explain(r.Context(), query)
	writeJSON(w, explanation, err)
}

func (h *handler) drain(w http.ResponseWriter, _ *http.Request) {
	klog.InfoS("drain requested")
	h.instance.Drain()
	w.WriteHeader(http.StatusAccepted)
	writeText(w, "draining\n")
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(1).InfoS("failed to write admin response", "err", err)
	}
}

func writeText(w http.ResponseWriter, text string) {
	_, _ = w.Write([]byte(text))
}
