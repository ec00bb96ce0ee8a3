package peer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// delayedConn is one end of a connection whose writes, and whose close after them, take effect a time later and block
// nobody meanwhile.
type delayedConn struct {
	net.Conn
	// writes has nil for the close.
	writes chan []byte
}

// delayedPipe returns both ends of a connection. Each is to be closed.
func delayedPipe(delay time.Duration) (a, b *delayedConn) {
	x, y := net.Pipe()
	a, b = &delayedConn{Conn: x, writes: make(chan []byte, 4)}, &delayedConn{Conn: y, writes: make(chan []byte, 4)}
	go a.deliver(delay)
	go b.deliver(delay)
	return a, b
}

func (c *delayedConn) deliver(delay time.Duration) {
	for {
		p := <-c.writes
		time.Sleep(delay)
		if p == nil {
			_ = c.Conn.Close()
			return
		}
		// The other end may have closed.
		_, _ = c.Conn.Write(p)
	}
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	c.writes <- bytes.Clone(p)
	return len(p), nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.writes <- nil
	return nil
}

// Guards against a relay that seems not to relay because the server, and not the relay, is silent.
func TestSilentServerIsToldFromARelayThatIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, delay = 400 * time.Millisecond, 10 * time.Millisecond
		silent := func(_ context.Context, r *RelayRequest) error {
			time.Sleep(r.Timeout)
			return r.Reply(paths.TimedOut)
		}
		links := New(Config{Fleet: "f", Name: "b", Zone: "z", Incarnation: 1, Post: func(core.Event) {}, Relay: silent})
		requester, relay := delayedPipe(delay)
		defer func() {
			_ = requester.Close()
			time.Sleep(2 * delay) // Until both ends have delivered their close.
		}()
		links.pendingHandshakes <- struct{}{}
		served := make(chan error, 1)
		go func() { served <- links.serveConn(t.Context(), relay, "", false) }()
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		err := RelayDialer{Fleet: "f", Name: "a"}.open(ctx, requester, "b", "server")
		require.Equal(t, paths.TimedOut, paths.ResultOf(err), "%v", err)
		require.NoError(t, <-served)
	})
}
