package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/ebonydyke/ebonydyke/internal/dial"
)

// ackTimeout exceeds the second for which a kernel may leave a probe unanswered.
const ackTimeout = 2 * time.Second

// watched returns a connection that is watched and its other end. The channel is closed once the watch calls lost.
func watched(t *testing.T) (conn net.Conn, other *net.TCPConn, lost <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	called := make(chan struct{})
	stop, err := dial.Watch(conn, ackTimeout, func() { close(called) })
	require.NoError(t, err)
	t.Cleanup(func() {
		stop()
		_, _ = conn.Close(), accepted.Close()
	})
	return conn, accepted.(*net.TCPConn), called
}

// fill writes until the other end, which reads nothing, has no room.
func fill(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, err := conn.Write(make([]byte, 32<<20))
	require.Error(t, err)
}

// loseMachine drops all packets that arrive for a connection.
func loseMachine(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program))
	}))
}

func requireLostWithin(t *testing.T, lost <-chan struct{}, limit time.Duration) {
	t.Helper()
	begun := time.Now()
	select {
	case <-lost:
		t.Logf("lost after %v", time.Since(begun))
	case <-time.After(limit):
		require.Fail(t, "not lost", "within %v", limit)
	}
}

// Guards against taking an end that has no room, but acknowledges, for one that is gone.
func TestWatchKeepsEndWithoutRoom(t *testing.T) {
	t.Parallel()
	conn, _, lost := watched(t)
	fill(t, conn)
	select {
	case <-lost:
		require.Fail(t, "lost an end that acknowledges")
	case <-time.After(4 * ackTimeout):
	}
}

// Guards against keeping a connection whose other end acknowledges nothing, whether it had room or not.
func TestWatchLosesEndThatAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	t.Run("with room", func(t *testing.T) {
		t.Parallel()
		conn, other, lost := watched(t)
		loseMachine(t, other)
		_, err := conn.Write([]byte("anything"))
		require.NoError(t, err)
		requireLostWithin(t, lost, 2*ackTimeout)
	})
	t.Run("without room", func(t *testing.T) {
		t.Parallel()
		conn, other, lost := watched(t)
		fill(t, conn)
		time.Sleep(ackTimeout)
		loseMachine(t, other)
		// A kernel without a limit of its own sends its next probes after as long as there has been no room, and twice that.
		requireLostWithin(t, lost, 4*ackTimeout)
	})
}
