package proxy

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// staggerDivisor divides the time limit into the intervals after which the next dial is tried while the
// earlier ones have not connected: a direct connection takes a round trip, so by then its path is
// probably lost.
const staggerDivisor = 4

// RelayDialer opens connections to backend servers through peers.
type RelayDialer interface {
	// DialContext asks a peer to connect to the address. Its error is a *paths.Error.
	DialContext(ctx context.Context, relay core.PeerAddress, address string) (net.Conn, error)
}

// planDialer connects to backend servers over several paths.
type planDialer struct {
	// direct opens a connection of this instance's own.
	direct func(ctx context.Context, network, address string) (net.Conn, error)
	// relays is nil if this instance uses no relays.
	relays RelayDialer
	// report receives the results of all paths, unless the direct one was the only one and connected.
	report func([]paths.Observation)
}

// planDialer returns the dialer of an attempt at a backend server.
func (s *Server) planDialer(backend string) planDialer {
	return planDialer{direct: s.dialDirect, relays: s.options.Relays, report: func(results []paths.Observation) {
		s.post(core.BackendDialed{Backend: backend, Results: results})
	}}
}

// dialDirect connects to a backend server. If this process has no descriptor left, it makes room and tries again: that says nothing
// about the server.
func (s *Server) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	for {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil || !lacksDescriptors(err) {
			return conn, err
		}
		s.makeRoom()
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(minAcceptDelay):
		}
	}
}

// pathDial is one dial of an attempt to connect; relay is nil for the direct one.
type pathDial struct {
	relay *core.PeerAddress
	conn  net.Conn
	err   error
}

// relayName returns the name of the instance that relays, or "".
func (w *pathDial) relayName() string {
	if w.relay == nil {
		return ""
	}
	return w.relay.Name
}

// dialAttempt is one attempt to connect that is in progress.
type dialAttempt struct {
	dialer  *planDialer
	address string
	dials   []pathDial
	// started is the number of dials that were started, and ended the results so far.
	started int
	ended   []paths.Observation
	results chan *pathDial
}

// dial connects to a backend server over the paths of plan within limit. It returns the first dial that
// connects. The others run to their end nevertheless, because their results show which paths are lost.
func (d *planDialer) dial(address string, plan core.DialPlan, limit time.Duration) (*pathDial, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	a := &dialAttempt{dialer: d, address: address, dials: d.dials(plan)}
	a.results = make(chan *pathDial, len(a.dials))
	first := 1
	if plan.Mode == paths.Both {
		first = min(2, len(a.dials))
	}
	for range first {
		a.startNext(ctx)
	}
	winner, err := a.waitForFirst(ctx, limit/staggerDivisor)
	if len(a.ended) == a.started {
		cancel()
		a.finish()
		return winner, err
	}
	go func() {
		defer cancel()
		a.waitForRest()
		a.finish()
	}()
	return winner, err
}

// dials returns the dials of a plan in the order in which they are started.
func (d *planDialer) dials(plan core.DialPlan) []pathDial {
	var list []pathDial
	if plan.Mode != paths.RelayOnly || d.relays == nil || len(plan.Relays) == 0 {
		list = append(list, pathDial{})
	}
	if d.relays == nil {
		return list
	}
	for i := range plan.Relays {
		list = append(list, pathDial{relay: &plan.Relays[i]})
	}
	return list
}

// startNext starts the next dial, if there is one.
func (a *dialAttempt) startNext(ctx context.Context) {
	if a.started == len(a.dials) {
		return
	}
	w := &a.dials[a.started]
	a.started++
	go func() {
		if w.relay == nil {
			w.conn, w.err = a.dialer.direct(ctx, "tcp", a.address)
		} else {
			w.conn, w.err = a.dialer.relays.DialContext(ctx, *w.relay, a.address)
		}
		a.results <- w
	}()
}

// waitForFirst waits for the first dial that connects. It starts the next one when one fails and each
// time that stagger passes.
func (a *dialAttempt) waitForFirst(ctx context.Context, stagger time.Duration) (*pathDial, error) {
	timer := time.NewTicker(stagger)
	defer timer.Stop()
	for {
		select {
		case w := <-a.results:
			a.record(w)
			if w.err == nil {
				return w, nil
			}
			a.startNext(ctx)
			if len(a.ended) == len(a.dials) {
				return nil, a.failure()
			}
		case <-timer.C:
			// A result that has arrived as well goes first: a busy process sees both late.
			if len(a.results) == 0 {
				a.startNext(ctx)
			}
		}
	}
}

func (a *dialAttempt) record(w *pathDial) {
	a.ended = append(a.ended, paths.Observation{Relay: w.relayName(), Result: paths.ResultOf(w.err)})
}

// waitForRest waits for the other dials that were started, and closes their connections.
func (a *dialAttempt) waitForRest() {
	for len(a.ended) < a.started {
		w := <-a.results
		a.record(w)
		if w.err == nil {
			_ = w.conn.Close()
		}
	}
}

// finish reports the results.
func (a *dialAttempt) finish() {
	direct := paths.Observation{Result: paths.Connected}
	if len(a.ended) == 1 && a.ended[0] == direct {
		return
	}
	a.dialer.report(a.ended)
}

// failure returns the error of an attempt that failed on all paths: that of the direct one, or else of
// the first relay.
func (a *dialAttempt) failure() error {
	var relays []string
	for _, o := range a.ended {
		if o.Relay != "" {
			relays = append(relays, fmt.Sprintf("%s: %s", o.Relay, o.Result))
		}
	}
	if len(relays) == 0 {
		return a.dials[0].err
	}
	return fmt.Errorf("%w; through peers: %s", a.dials[0].err, strings.Join(relays, ", "))
}
