package relay_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/peer"
)

const (
	// ackTimeout is that of the relay, and ackMargin how much later a connection may end.
	ackTimeout = 5 * time.Second
	ackMargin  = 2 * time.Second
	// interruption is how long a path is interrupted.
	interruption = 1200 * time.Millisecond
	// manyBytes exceeds what the buffers on a relayed path hold.
	manyBytes = 24 << 20
	fewBytes  = 1 << 20
)

// transfer sends bytes from one end of a relayed connection to the other, which reads nothing before pause has passed.
func transfer(t *testing.T, from, to net.Conn, size int, pause time.Duration) {
	t.Helper()
	sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	var group errgroup.Group
	group.Go(func() error {
		_, err := from.Write(sent)
		return err
	})
	time.Sleep(pause)
	got := make([]byte, size)
	_, err := io.ReadFull(to, got)
	require.NoError(t, err)
	require.NoError(t, group.Wait())
	require.True(t, bytes.Equal(sent, got))
}

// extendDeadlines gives a test that waits for the timeout of a relay the time for it.
func extendDeadlines(t *testing.T, conns ...net.Conn) {
	t.Helper()
	for _, c := range conns {
		require.NoError(t, c.SetDeadline(time.Now().Add(2*ackTimeout+testTimeout)))
	}
}

// Guards against cutting a response because its caller reads nothing for a while, though its machine acknowledges.
func TestSlowCallerIsNotCut(t *testing.T) {
	t.Parallel()
	requester, server := connect(t, startRelay(t))
	extendDeadlines(t, requester, server)
	transfer(t, server, requester, manyBytes, 2*ackTimeout+ackMargin)
}

// Guards against cutting a response because the path to its caller, who has no room, was interrupted for a second.
func TestSlowCallerIsNotCutByInterruption(t *testing.T) {
	t.Parallel()
	requester, server := connect(t, startRelay(t))
	extendDeadlines(t, requester, server)
	time.AfterFunc(ackTimeout, func() {
		reconnect := disconnect(t, requester)
		time.AfterFunc(interruption, reconnect)
	})
	transfer(t, server, requester, manyBytes, 2*ackTimeout+ackMargin)
}

// Guards against cutting a request because its server is paused with full buffers, though its machine acknowledges.
func TestPausedServerIsNotCut(t *testing.T) {
	t.Parallel()
	requester, server := connect(t, startRelay(t))
	extendDeadlines(t, requester, server)
	transfer(t, requester, server, manyBytes, 2*ackTimeout+ackMargin)
}

// Guards against cutting the rest of a response that its server has ended, which its caller reads late.
func TestEndOfResponseWaitsForSlowCaller(t *testing.T) {
	t.Parallel()
	requester, server := connect(t, startRelay(t))
	extendDeadlines(t, requester, server)
	_, err := server.Write(make([]byte, fewBytes))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	time.Sleep(ackTimeout + ackMargin)
	got, err := io.ReadAll(requester)
	require.NoError(t, err, "after %d bytes", len(got))
	require.Len(t, got, fewBytes)
}

// disconnect drops all packets that arrive for a connection, as if its machine had lost power, until the returned
// function is called.
func disconnect(t *testing.T, conn net.Conn) (reconnect func()) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program))
	}))
	return func() {
		require.NoError(t, raw.Control(func(fd uintptr) {
			require.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0))
		}))
	}
}

// requireEnd checks that the other end of a connection is reset within the timeout.
func requireEnd(t *testing.T, other net.Conn) {
	t.Helper()
	begun := time.Now()
	_, err := io.Copy(io.Discard, other)
	require.ErrorIs(t, err, unix.ECONNRESET)
	require.Less(t, time.Since(begun), ackTimeout+ackMargin)
}

// Guards against connections that stay when the machine of either end has lost power.
func TestEndThatAcknowledgesNothingIsLeft(t *testing.T) {
	for name, c := range map[string]struct{ serverDies, sending bool }{
		"idle server": {serverDies: true}, "server that is sent to": {serverDies: true, sending: true},
		"idle requester": {}, "requester that is sent to": {sending: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requester, server := connect(t, startRelay(t))
			extendDeadlines(t, requester, server)
			dead, other := requester, net.Conn(server)
			if c.serverDies {
				dead, other = server, requester
			}
			disconnect(t, dead)
			if c.sending {
				_, err := other.Write([]byte("anything"))
				require.NoError(t, err)
			}
			requireEnd(t, other)
		})
	}
}

// Guards against losing what was under way when the path to either end was interrupted for a second.
func TestPathThatHealsLosesNothing(t *testing.T) {
	for name, serverCut := range map[string]bool{"server": true, "requester": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requester, server := connect(t, startRelay(t))
			extendDeadlines(t, requester, server)
			cut, other := requester, net.Conn(server)
			if serverCut {
				cut, other = server, requester
			}
			reconnect := disconnect(t, cut)
			time.AfterFunc(interruption, reconnect)
			transfer(t, other, cut, fewBytes, 0)
			transfer(t, cut, other, fewBytes, 0)
		})
	}
}

// Guards against ending relayed connections with the link between the two instances, when it is lost or replaced.
func TestRelayedConnectionOutlastsLinks(t *testing.T) {
	in := startRelay(t)
	requester, server := connect(t, in)
	for incarnation := range uint64(3) {
		listener, err := peer.Listen(t.Context(), "127.0.0.1:0")
		require.NoError(t, err)
		connected := make(chan struct{}, 1)
		links := peer.New(peer.Config{Fleet: "f", Name: "a", Zone: "z", Incarnation: 1 + incarnation, Listener: listener, Post: func(e core.Event) {
			if _, ok := e.(core.PeerConnected); ok {
				connected <- struct{}{}
			}
		}})
		links.SetPeers([]core.PeerAddress{in.address})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- links.Run(ctx) }()
		<-connected
		cancel()
		require.NoError(t, <-done)
		requirePass(t, requester, server)
		requirePass(t, server, requester)
	}
}

func requirePass(t *testing.T, from, to net.Conn) {
	t.Helper()
	_, err := io.WriteString(from, "event")
	require.NoError(t, err)
	_, err = io.ReadFull(to, make([]byte, len("event")))
	require.NoError(t, err)
}

// Guards against a stopping relay that ends before the connections that it relays, while both ends are silent.
func TestStopWaitsForSilentRelayedConnection(t *testing.T) {
	in := startRelay(t)
	requester, server := connect(t, in)
	in.SetScope(true, nil)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		in.Drain(t.Context())
	}()
	select {
	case <-drained:
		require.Fail(t, "the relay ends")
	case <-time.After(interruption):
	}
	requirePass(t, server, requester)
	require.NoError(t, server.Close())
	_, err := io.ReadAll(requester)
	require.NoError(t, err)
	require.NoError(t, requester.Close())
	<-drained
}
