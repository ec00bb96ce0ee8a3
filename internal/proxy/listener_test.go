package proxy_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// heldListener is a listener whose accept loop can be held, and that calls beforeClose right before
// it closes.
type heldListener struct {
	*net.TCPListener
	hold        chan struct{}
	beforeClose func()
}

func newHeldListener(t *testing.T) *heldListener {
	t.Helper()
	// No other process listens on this address: one that took the port of the closed listener would accept its callers.
	l, err := proxy.Listen(context.Background(), "127.4.0.1:0")
	require.NoError(t, err)
	return &heldListener{TCPListener: l.(*net.TCPListener), hold: make(chan struct{}), beforeClose: func() {}}
}

// Accept accepts a connection once the accept loop is not held.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.hold
	return l.TCPListener.Accept()
}

// Close closes the listener.
func (l *heldListener) Close() error {
	l.beforeClose()
	return l.TCPListener.Close()
}

// Guards against a stopping instance that resets a request in its accept queue: its accept loop
// does not run for longer than the quiet period while a caller connects.
func TestClosingListenerServesQueuedConnections(t *testing.T) {
	_, engines := startEngines(t, 1, time.Millisecond)
	l := newHeldListener(t)
	i := startInstanceOn(t, l, fleetConfig(engines, nil), proxy.Options{AcceptQuiet: time.Millisecond, AcceptMax: time.Millisecond})
	conn := dial(t, i.address)
	request := newChat(t, i.url, false, nil)
	require.NoError(t, request.Write(conn))
	i.loop.Post(core.StopRequested{})
	select {
	case <-i.closed:
		t.Error("the listener closed although a connection was queued")
	case <-time.After(time.Second):
	}
	close(l.hold)
	resp, err := http.ReadResponse(bufio.NewReader(conn), request)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	<-i.closed
	<-i.stopped
}

// Guards against a stopping instance that accepts a connection and resets it, because the caller
// connects after the last look at the accept queue and before the listener closes.
func TestConnectionAtListenerCloseIsRefused(t *testing.T) {
	_, engines := startEngines(t, 1, time.Millisecond)
	l := newHeldListener(t)
	close(l.hold)
	dialled := make(chan error, 1)
	l.beforeClose = func() {
		go func() {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), waitTimeout)
			if err == nil {
				_ = conn.Close()
			}
			dialled <- err
		}()
		time.Sleep(100 * time.Millisecond)
	}
	i := startInstanceOn(t, l, fleetConfig(engines, nil), proxy.Options{AcceptQuiet: time.Millisecond})
	i.loop.Post(core.StopRequested{})
	<-i.closed
	require.ErrorIs(t, <-dialled, syscall.ECONNREFUSED)
	<-i.stopped
}
