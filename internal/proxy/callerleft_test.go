package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against a request that is sent on after its caller has left, because the core decided on it while it was behind.
func TestRequestOfCallerThatHasLeftIsNotSent(t *testing.T) {
	var sent atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
	t.Cleanup(backend.Close)
	events := make(chan core.Event, 10)
	i := &instance{dialled: make(map[proxy.DialReason]int), endCauses: make(map[proxy.EndCause]int)}
	server := proxy.New(func(e core.Event) { events <- e }, proxy.Options{Metrics: i})
	listener, err := proxy.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = server.Serve(listener) }()

	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(caller, "GET /services/portal/x HTTP/1.1\r\nHost: h\r\n%s: branch-recife\r\n\r\n", proxy.HeaderCustomer)
	require.NoError(t, err)
	arrived := nextEvent[core.RequestArrived](t, events)
	require.NoError(t, caller.Close())
	require.Equal(t, arrived.Request, nextEvent[core.CallerGone](t, events).Request)
	// The core has not handled the close yet.
	server.Deliver(arrived.Request, core.SendAttempt{
		Request: arrived.Request, Attempt: 1, Address: backend.Listener.Addr().String(), Deadline: time.Now().Add(time.Minute),
	})
	ended := nextEvent[core.AttemptEnded](t, events)
	require.Equal(t, retry.NotSent, ended.Outcome)
	require.Zero(t, sent.Load())
}

// nextEvent returns the next event for the core, which must be of a type.
func nextEvent[T core.Event](t *testing.T, events <-chan core.Event) T {
	t.Helper()
	select {
	case event := <-events:
		e, ok := event.(T)
		require.True(t, ok, "unexpected event %s", event.EventName())
		return e
	case <-time.After(waitTimeout):
		t.Fatal("no event")
		panic("unreachable")
	}
}
