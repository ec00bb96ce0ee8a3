package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// fakeWays opens connections as the tests say, and counts those that stay open.
type fakeWays struct {
	mu   sync.Mutex
	open int
	// byRelay maps the name of a relay, or "" for the direct way, to what it does.
	byRelay map[string]fakeWay
	asked   []string
	reports chan []paths.Observation
}

// fakeWay connects after a time, or fails with err.
type fakeWay struct {
	after time.Duration
	err   error
}

func newFakeWays(byRelay map[string]fakeWay) *fakeWays {
	return &fakeWays{byRelay: byRelay, reports: make(chan []paths.Observation, 1)}
}

func (f *fakeWays) dialer() *wayDialer {
	return &wayDialer{
		direct: func(ctx context.Context, _, _ string) (net.Conn, error) { return f.connect(ctx, "") },
		relays: f, report: func(results []paths.Observation) { f.reports <- results },
	}
}

// DialContext implements RelayDialer.
func (f *fakeWays) DialContext(ctx context.Context, relay core.PeerAddress, _ string) (net.Conn, error) {
	return f.connect(ctx, relay.Name)
}

func (f *fakeWays) connect(ctx context.Context, relay string) (net.Conn, error) {
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
	return &countedConn{ways: f}, nil
}

func (f *fakeWays) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
}

func (f *fakeWays) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// countedConn is a connection that counts its end.
type countedConn struct {
	net.Conn
	ways *fakeWays
}

func (c *countedConn) Close() error {
	c.ways.count(-1)
	return nil
}

const never = time.Hour

var threeRelays = core.DialPath{Relays: []core.PeerAddress{{Name: "p"}, {Name: "q"}, {Name: "r"}}}

// Guards against callers who wait for the end of a lost direct way, and against a lost way that is not
// reported or a connection that nobody uses and closes.
func TestFirstWayThatConnectsIsUsed(t *testing.T) {
	const limit = 400 * time.Millisecond
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	unavailable := &paths.Error{Result: paths.NoRelay, Err: errors.New("not here")}
	for _, test := range []struct {
		name   string
		mode   paths.Mode
		ways   map[string]fakeWay
		want   string
		within time.Duration
		report []paths.Observation
	}{
		{
			"the direct way is silent", paths.DirectFirst, map[string]fakeWay{"": {after: never}}, "p", limit / 2,
			[]paths.Observation{{Relay: "p", Result: paths.Connected}, {Result: paths.TimedOut}},
		},
		{
			"the direct way is refused, the first relay does not relay", paths.DirectFirst,
			map[string]fakeWay{"": {err: refused}, "p": {err: unavailable}}, "q", limit / 8,
			[]paths.Observation{{Result: paths.Refused}, {Relay: "p", Result: paths.NoRelay}, {Relay: "q", Result: paths.Connected}},
		},
		{
			"the direct way is back", paths.Both, map[string]fakeWay{"p": {after: limit / 8}}, "", limit / 8,
			[]paths.Observation{{Result: paths.Connected}, {Relay: "p", Result: paths.Connected}},
		},
		{
			"the direct way is known to be lost", paths.RelayOnly, nil, "p", limit / 8,
			[]paths.Observation{{Relay: "p", Result: paths.Connected}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFakeWays(test.ways)
			path := threeRelays
			path.Mode = test.mode
			started := time.Now()
			w, err := f.dialer().dial("server", path, limit)
			require.NoError(t, err)
			require.Equal(t, test.want, w.relayName())
			require.Less(t, time.Since(started), test.within+limit/8)
			require.Equal(t, test.report, <-f.reports)
			require.Equal(t, 1, f.opened(), "only the connection in use stays open")
		})
	}
}

// Guards against a report for each connection of a fleet without faults, and against a failure that
// does not say what the peers found.
func TestDirectConnectionsAndFailures(t *testing.T) {
	f := newFakeWays(nil)
	_, err := f.dialer().dial("server", threeRelays, time.Second)
	require.NoError(t, err)
	require.Empty(t, f.reports)
	require.Equal(t, []string{""}, f.asked)

	refused := fakeWay{err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}}
	f = newFakeWays(map[string]fakeWay{"": refused, "p": refused, "q": refused, "r": refused})
	_, err = f.dialer().dial("server", threeRelays, time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.ErrorContains(t, err, "p: refused")
	require.Len(t, <-f.reports, 4)
}
