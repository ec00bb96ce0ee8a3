package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// fakeDials opens connections as the tests say, and counts those that stay open.
type fakeDials struct {
	mu   sync.Mutex
	open int
	// byRelay maps the name of a relay, or "" for the direct path, to what it does.
	byRelay map[string]fakeDial
	asked   []string
	reports chan []paths.Observation
}

// fakeDial connects after a time, or fails with err.
type fakeDial struct {
	after time.Duration
	err   error
}

func newFakeDials(byRelay map[string]fakeDial) *fakeDials {
	return &fakeDials{byRelay: byRelay, reports: make(chan []paths.Observation, 1)}
}

func (f *fakeDials) dialer() *planDialer {
	return &planDialer{
		direct: func(ctx context.Context, _, _ string) (net.Conn, error) { return f.connect(ctx, "") },
		relays: f, report: func(results []paths.Observation) { f.reports <- results },
	}
}

// DialContext implements RelayDialer.
func (f *fakeDials) DialContext(ctx context.Context, relay core.PeerAddress, _ string) (net.Conn, error) {
	return f.connect(ctx, relay.Name)
}

func (f *fakeDials) connect(ctx context.Context, relay string) (net.Conn, error) {
	f.mu.Lock()
	f.asked = append(f.asked, relay)
	f.mu.Unlock()
	w := f.byRelay[relay]
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(w.after):
	}
	if w.err != nil {
		return nil, w.err
	}
	f.count(1)
	return &countedConn{dials: f}, nil
}

func (f *fakeDials) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
}

func (f *fakeDials) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// countedConn is a connection that counts its end.
type countedConn struct {
	net.Conn
	dials *fakeDials
}

func (c *countedConn) Close() error {
	c.dials.count(-1)
	return nil
}

const never = time.Hour

var threeRelays = core.DialPlan{Relays: []core.PeerAddress{{Name: "p"}, {Name: "q"}, {Name: "r"}}}

// Guards against callers who wait for the end of a lost direct path, and against a lost path that is not
// reported or a connection that nobody uses and closes.
func TestFirstPathThatConnectsIsUsed(t *testing.T) {
	const limit = 400 * time.Millisecond
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	unavailable := &paths.Error{Result: paths.NoRelay, Err: errors.New("not here")}
	for _, test := range []struct {
		name   string
		mode   paths.Mode
		dials  map[string]fakeDial
		want   string
		after  time.Duration
		report []paths.Observation
	}{
		{
			"the direct path is silent", paths.DirectFirst, map[string]fakeDial{"": {after: never}}, "p", limit / 4,
			[]paths.Observation{{Relay: "p", Result: paths.Connected}, {Result: paths.TimedOut}},
		},
		{
			"the direct path is refused, the first relay does not relay", paths.DirectFirst,
			map[string]fakeDial{"": {err: refused}, "p": {err: unavailable}}, "q", 0,
			[]paths.Observation{{Result: paths.Refused}, {Relay: "p", Result: paths.NoRelay}, {Relay: "q", Result: paths.Connected}},
		},
		{
			"the direct path is back", paths.Both, map[string]fakeDial{"p": {after: limit / 8}}, "", 0,
			[]paths.Observation{{Result: paths.Connected}, {Relay: "p", Result: paths.Connected}},
		},
		{
			"the direct path is known to be lost", paths.RelayOnly, nil, "p", 0,
			[]paths.Observation{{Relay: "p", Result: paths.Connected}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeDials(test.dials)
				plan := threeRelays
				plan.Mode = test.mode
				started := time.Now()
				w, err := f.dialer().dial("server", plan, limit)
				require.NoError(t, err)
				require.Equal(t, test.want, w.relayName())
				require.Equal(t, test.after, time.Since(started))
				require.Equal(t, test.report, <-f.reports)
				require.Equal(t, 1, f.opened(), "only the connection in use stays open")
			})
		})
	}
}

// Guards against a report for each connection of a fleet without faults, and against a failure that
// does not say what the peers found.
func TestDirectConnectionsAndFailures(t *testing.T) {
	f := newFakeDials(nil)
	_, err := f.dialer().dial("server", threeRelays, time.Second)
	require.NoError(t, err)
	require.Empty(t, f.reports)
	require.Equal(t, []string{""}, f.asked)

	refused := fakeDial{err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}}
	f = newFakeDials(map[string]fakeDial{"": refused, "p": refused, "q": refused, "r": refused})
	_, err = f.dialer().dial("server", threeRelays, time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.ErrorContains(t, err, "p: refused")
	require.Len(t, <-f.reports, 4)
}
