package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// scrapeTimeout bounds the wait for the core at a scrape of the metrics.
const scrapeTimeout = time.Second

// instance shows the core to the operators' interface.
type instance struct {
	loop *Loop
}

// Status returns the instance's status.
func (i instance) Status(ctx context.Context) (core.Status, error) {
	return Inspect(ctx, i.loop, (*core.Node).Status)
}

// Explain explains a placement.
func (i instance) Explain(ctx context.Context, q core.ExplainQuery) (core.Explanation, error) {
	return Inspect(ctx, i.loop, func(n *core.Node) core.Explanation { return n.Explain(q) })
}

// Ready tells whether new requests are wanted.
func (i instance) Ready(ctx context.Context) (bool, error) {
	return Inspect(ctx, i.loop, (*core.Node).Ready)
}

// Drain begins the graceful shutdown.
func (i instance) Drain() { i.loop.Post(core.StopRequested{}) }

// inFlight reads the number of requests in progress, or NaN if the core does not
// answer.
func (i instance) inFlight() float64 {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	n, err := Inspect(ctx, i.loop, (*core.Node).InFlight)
	if err != nil {
		return math.NaN()
	}
	return float64(n)
}

// serveAdmin serves the operators' interface on l until ctx ends: through the
// whole graceful shutdown, so that it can be watched.
func serveAdmin(ctx context.Context, l net.Listener, loop *Loop, m *metrics.Metrics) error {
	i := instance{loop: loop}
	m.InFlight(i.inFlight)
	return serveHTTP(ctx, l, admin.NewServer(i, m.Gatherer()))
}

// serveReady serves readiness on l, if there is such an address.
func serveReady(ctx context.Context, l net.Listener, loop *Loop) error {
	if l == nil {
		return nil
	}
	return serveHTTP(ctx, l, admin.NewReadyServer(instance{loop: loop}))
}

func serveHTTP(ctx context.Context, l net.Listener, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("daemon: serve on %s: %w", l.Addr(), err)
	}
	return nil
}
