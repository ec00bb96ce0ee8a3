package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// scrapeTimeout bounds the wait for the core during a scrape of the metrics.
const scrapeTimeout = time.Second

// coreView gives the operators' interface access to the core.
type coreView struct {
	loop *Loop
}

// Status returns the instance's status.
func (v coreView) Status(ctx context.Context) (status.Status, error) {
	return Inspect(ctx, v.loop, (*core.Node).Status)
}

// Explain returns the explanation of a placement.
func (v coreView) Explain(ctx context.Context, q core.ExplainQuery) (core.Explanation, error) {
	return Inspect(ctx, v.loop, func(n *core.Node) core.Explanation { return n.Explain(q) })
}

// Ready reports whether the instance accepts new requests.
func (v coreView) Ready(ctx context.Context) (bool, error) {
	return Inspect(ctx, v.loop, (*core.Node).Ready)
}

// Drain starts the graceful shutdown.
func (v coreView) Drain() { v.loop.Post(core.StopRequested{}) }

// gauge returns a function that reads a value from the core. It returns NaN if the core does not
// respond within scrapeTimeout.
func (v coreView) gauge(read func(*core.Node) float64) func() float64 {
	return func() float64 {
		ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
		defer cancel()
		value, err := Inspect(ctx, v.loop, read)
		if err != nil {
			return math.NaN()
		}
		return value
	}
}

// evacuations returns the evacuated zones. It returns none if the core does not respond within scrapeTimeout.
func (v coreView) evacuations() []metrics.Evacuation {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	status, err := Inspect(ctx, v.loop, (*core.Node).Evacuations)
	if err != nil {
		return nil
	}
	var list []metrics.Evacuation
	for _, s := range status {
		list = append(list, metrics.Evacuation{Zone: s.Zone, Seconds: v.loop.Now().Sub(s.Since).Seconds(), Own: s.Own})
	}
	return list
}

// overload returns what the core counts of admitted and refused requests. It reports false if the core does not respond within
// scrapeTimeout.
func (v coreView) overload() (core.OverloadMetrics, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	figures, err := Inspect(ctx, v.loop, (*core.Node).OverloadMetrics)
	return figures, err == nil
}

// serveAdmin serves the operators' interface on l until ctx is done. That includes the graceful
// shutdown, so that operators can observe it.
func serveAdmin(ctx context.Context, l net.Listener, loop *Loop, m *metrics.Metrics) error {
	v := coreView{loop: loop}
	m.RegisterInFlight(v.gauge(func(n *core.Node) float64 { return float64(n.InFlight()) }))
	m.RegisterStaleness(v.gauge(func(n *core.Node) float64 { return n.Staleness().Seconds() }))
	m.RegisterEvacuations(v.evacuations)
	m.RegisterOverload(v.overload)
	return serveHTTP(ctx, l, admin.NewServer(v, m.Gatherer()))
}

// serveReady serves the readiness check on l. It does nothing if l is nil.
func serveReady(ctx context.Context, l net.Listener, loop *Loop) error {
	if l == nil {
		return nil
	}
	return serveHTTP(ctx, l, admin.NewReadyServer(coreView{loop: loop}))
}

func serveHTTP(ctx context.Context, l net.Listener, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("daemon: serve on %s: %w", l.Addr(), err)
	}
	return nil
}
