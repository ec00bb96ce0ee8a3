// Package admin serves an instance's operators: metrics, health, readiness,
// status, explanations of placements, and the order to drain.
//
// It uses the standard library's server rather than fasthttp, because the
// handler of the metrics library is made for it and nothing here is hot.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Paths of the interface.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
	PathExplain = "/explain"
	PathDrain   = "/drain"
)

const (
	// coreTimeout bounds the wait for the core. A core that does not answer within
	// it is stuck or flooded, which is what the health check is there to show.
	coreTimeout = time.Second
	// ioTimeout bounds the reading of a request and the writing of its answer.
	ioTimeout = 10 * time.Second
	// maxHeader is the largest header of a request, in bytes.
	maxHeader = 16 << 10
	// maxAnswers bounds the long answers given at once, and so what waits for the
	// core. Probes have slots of their own: operators who read slowly must not make
	// the balancer think that the instance is sick.
	maxAnswers = 16
	maxProbes  = 64
)

// Instance is what the interface shows and orders.
type Instance interface {
	// Status returns the instance's status.
	Status(context.Context) (core.Status, error)
	// Explain explains a placement.
	Explain(context.Context, core.ExplainQuery) (core.Explanation, error)
	// Ready tells whether new requests are wanted.
	Ready(context.Context) (bool, error)
	// Drain begins the graceful shutdown.
	Drain()
}

// NewServer returns the server of an instance's interface.
func NewServer(instance Instance, gatherer prometheus.Gatherer) *http.Server {
	h := &handler{instance: instance}
	answers, probes := make(slots, maxAnswers), make(slots, maxProbes)
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, answers.bound(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	mux.Handle("GET "+PathHealth, probes.bound(http.HandlerFunc(h.health)))
	mux.Handle("GET "+PathReady, probes.bound(http.HandlerFunc(h.ready)))
	mux.Handle("GET "+PathStatus, answers.bound(http.HandlerFunc(h.status)))
	mux.Handle("GET "+PathExplain, answers.bound(http.HandlerFunc(h.explain)))
	mux.Handle("POST "+PathDrain, probes.bound(http.HandlerFunc(h.drain)))
	// A page in an operator's browser must not be able to drain an instance.
	return newServer(http.NewCrossOriginProtection().Handler(mux))
}

// NewReadyServer returns a server that answers readiness and nothing else.
func NewReadyServer(instance Instance) *http.Server {
	h := &handler{instance: instance}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathReady, make(slots, maxProbes).bound(http.HandlerFunc(h.ready)))
	return newServer(mux)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		ReadTimeout:    ioTimeout,
		WriteTimeout:   ioTimeout,
		IdleTimeout:    time.Minute,
		MaxHeaderBytes: maxHeader,
	}
}

type handler struct {
	instance Instance
}

// slots bounds the requests that are served at once.
type slots chan struct{}

// bound refuses what is more than may be served at once, and bounds the wait for
// the core.
func (s slots) bound(next http.Handler) http.Handler {
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
	s, err := h.instance.Status(r.Context())
	writeJSON(w, s, err)
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	q := core.ExplainQuery{
		Service:  r.FormValue("service"),
		Customer: r.FormValue("customer"),
		Chat:     r.FormValue("chat"),
		Hint:     r.FormValue("hint"),
	}
	if q.Service == "" {
		http.Error(w, "expected ?service=, and usually customer= and chat=", http.StatusBadRequest)
		return
	}
	x, err := h.instance.Explain(r.Context(), q)
	writeJSON(w, x, err)
}

func (h *handler) drain(w http.ResponseWriter, _ *http.Request) {
	klog.InfoS("drain ordered")
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
		klog.V(1).InfoS("admin answer not written", "err", err)
	}
}

func writeText(w http.ResponseWriter, text string) {
	_, _ = w.Write([]byte(text))
}
