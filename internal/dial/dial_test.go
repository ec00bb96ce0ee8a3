package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/ebonydyke/ebonydyke/internal/dial"
)

// The network path to the store breaks while a watch is pending, and no packet reports it. The
// keep-alive probes and the limit on unacknowledged data must end the watch. A test without
// privileges cannot drop packets, so it checks the socket options.
func TestConnectionsDetectBrokenPath(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := dial.Dialer(time.Second, 3*time.Second).Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()

	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) (value int) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			var err error
			value, err = unix.GetsockoptInt(int(fd), level, name)
			require.NoError(t, err)
		}))
		return value
	}
	require.Equal(t, 3000, option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	require.Equal(t, 1, option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
	require.Equal(t, 1, option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
	require.Equal(t, 2, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}
