package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/peer"
	"github.com/ebonydyke/ebonydyke/internal/relay"
)

const testTimeout = 10 * time.Second

// fakeMetrics counts relay requests by result.
type fakeMetrics struct {
	mu     sync.Mutex
	counts map[paths.Result]int
}

// Relayed implements relay.Metrics.
func (m *fakeMetrics) Relayed(r paths.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[r]++
}

// relayInstance is an instance that relays.
type relayInstance struct {
	*relay.Server
	metrics fakeMetrics
	address core.PeerAddress
}

func startRelay(t *testing.T) *relayInstance {
	t.Helper()
	in := &relayInstance{metrics: fakeMetrics{counts: make(map[paths.Result]int)}}
	in.Server = relay.NewServer(&in.metrics)
	in.address = startLinks(t, in.Serve)
	return in
}

// startLinks starts the links of an instance named b in fleet f and returns its address.
func startLinks(t *testing.T, serve func(context.Context, *peer.RelayRequest) error) core.PeerAddress {
	t.Helper()
	listener, err := peer.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	links := peer.New(peer.Config{Fleet: "f", Name: "b", Zone: "z", Incarnation: 1, Listener: listener, Post: func(core.Event) {}, Relay: serve})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- links.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return core.PeerAddress{Name: "b", Address: listener.Addr().String()}
}

// backend accepts one connection and passes it to the test.
func backend(t *testing.T) (address string, accepted <-chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conns := make(chan *net.TCPConn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conns <- conn.(*net.TCPConn)
		}
	}()
	return listener.Addr().String(), conns
}

func dialThrough(t *testing.T, relay core.PeerAddress, address string) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return peer.RelayDialer{Fleet: "f", Name: "a"}.DialContext(ctx, relay, address)
}

// connect returns both ends of a relayed connection.
func connect(t *testing.T, in *relayInstance) (requester net.Conn, server *net.TCPConn) {
	t.Helper()
	address, accepted := backend(t)
	requester, err := dialThrough(t, in.address, address)
	require.NoError(t, err)
	server = <-accepted
	t.Cleanup(func() { _, _ = requester.Close(), server.Close() })
	require.NoError(t, requester.SetDeadline(time.Now().Add(testTimeout)))
	require.NoError(t, server.SetDeadline(time.Now().Add(testTimeout)))
	return requester, server
}

// Guards against bytes that are changed or held back between an instance and a backend server.
func TestBytesPassBothWays(t *testing.T) {
	in := startRelay(t)
	requester, server := connect(t, in)
	fromRequester, fromServer := bufio.NewReader(server), bufio.NewReader(requester)
	for range 100 {
		_, err := io.WriteString(requester, "request\n")
		require.NoError(t, err)
		line, err := fromRequester.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "request\n", line)
		_, err = io.WriteString(server, "event\n")
		require.NoError(t, err)
		line, err = fromServer.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "event\n", line)
	}
	require.EqualValues(t, 1, in.Active())
	require.Equal(t, 1, in.metrics.counts[paths.Connected])
}

// Guards against a response that a reset cuts off and that looks complete, and against one that is
// complete and looks cut off.
func TestEndOfTheServerIsPassedOnAsItIs(t *testing.T) {
	in := startRelay(t)
	requester, server := connect(t, in)
	_, err := io.WriteString(server, "whole")
	require.NoError(t, err)
	require.NoError(t, server.Close())
	body, err := io.ReadAll(requester)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))

	requester, server = connect(t, in)
	_, err = io.WriteString(server, "part")
	require.NoError(t, err)
	_, err = io.ReadFull(requester, make([]byte, len("part")))
	require.NoError(t, err)
	require.NoError(t, server.SetLinger(0))
	require.NoError(t, server.Close())
	_, err = io.ReadAll(requester)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a response to a long request that is lost because the server answered before it had
// read the rest.
func TestEarlyResponseSurvivesTheRestOfTheRequest(t *testing.T) {
	in := startRelay(t)
	requester, server := connect(t, in)
	_, err := io.WriteString(server, "too large")
	require.NoError(t, err)
	require.NoError(t, server.Close())
	for range 50 {
		if _, err := requester.Write(make([]byte, 1<<10)); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	body, err := io.ReadAll(requester)
	require.NoError(t, err)
	require.Equal(t, "too large", string(body))
}

// Guards against a backend server that works on for a caller that has left.
func TestServerLearnsThatTheRequesterLeft(t *testing.T) {
	in := startRelay(t)
	requester, server := connect(t, in)
	require.NoError(t, requester.Close())
	_, err := server.Read(make([]byte, 1))
	require.Error(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	in.Drain(ctx)
	require.Zero(t, in.Active())
}

// Guards against a relay's finding of a silent server that is lost on the way to the requester.
func TestSilentServerIsReported(t *testing.T) {
	in := startLinks(t, func(_ context.Context, r *peer.RelayRequest) error { return r.Reply(paths.TimedOut) })
	_, err := dialThrough(t, in, "server")
	require.Equal(t, paths.TimedOut, paths.ResultOf(err))
}

// Guards against an instance that relays to a server that it cannot reach, that is down, or although it
// is stopping, and against a requester that takes these for each other.
func TestFailedRelaysSayWhy(t *testing.T) {
	in := startRelay(t)
	address, _ := backend(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	result := func(relay core.PeerAddress, address string) paths.Result {
		conn, err := dialThrough(t, relay, address)
		if err == nil {
			_ = conn.Close()
		}
		return paths.ResultOf(err)
	}
	require.Equal(t, paths.Refused, result(in.address, closed.Addr().String()))
	in.SetScope(false, []string{address})
	require.Equal(t, paths.NoRelay, result(in.address, address))
	in.SetScope(true, nil)
	require.Equal(t, paths.NoRelay, result(in.address, address))
	in.SetScope(false, nil)
	require.Equal(t, paths.NoRelay, result(core.PeerAddress{Name: "c", Address: in.address.Address}, address), "another instance has the address")
	require.Equal(t, paths.NoRelay, result(core.PeerAddress{Name: "b", Address: closed.Addr().String()}, address))
	require.Equal(t, paths.NoRelay, result(startLinks(t, nil), address), "an instance without relaying")
	require.Equal(t, paths.Connected, result(in.address, address))
}
