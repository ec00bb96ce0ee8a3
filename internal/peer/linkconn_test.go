package peer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// slowCloseConn is a connection whose Close takes some time, like a system call.
type slowCloseConn struct {
	net.Conn
	delay time.Duration
}

func (c slowCloseConn) Close() error {
	time.Sleep(c.delay)
	return c.Conn.Close()
}

// After a restart of an instance, one of its peers stalled for 15 s: it sent no responses, wrote no
// logs, accepted nothing and used a whole processor, and then acted on outdated state. The session
// of the link to the restarted instance was shut down while its streams were still open, and a
// goroutine that read from one of them spun in yamux. The readers must return before the close of
// the connection begins.
func TestClosingLinkDoesNotSpin(t *testing.T) {
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	remoteSession, err := openSession(remote, false)
	require.NoError(t, err)
	t.Cleanup(func() { _ = remoteSession.Close() })

	const closeDelay = 400 * time.Millisecond
	conn := &linkConn{Conn: slowCloseConn{Conn: local, delay: closeDelay}}
	session, err := openSession(conn, true)
	require.NoError(t, err)
	ended := make(chan error, 2)
	for _, idle := range []time.Duration{time.Hour, 0} {
		stream, err := session.OpenStream()
		require.NoError(t, err)
		conn.addStream(stream)
		go func() { ended <- readByte(conn, stream, idle) }()
	}
	time.Sleep(50 * time.Millisecond)

	before := cpuTime(t)
	require.NoError(t, session.Close())
	require.Less(t, cpuTime(t)-before, closeDelay/4)
	require.Error(t, <-ended)
	require.Error(t, <-ended)
}

func readByte(conn *linkConn, stream *yamux.Stream, idle time.Duration) error {
	if idle > 0 {
		if err := conn.setReadTimeout(stream, idle); err != nil {
			return err
		}
	}
	_, err := stream.Read(make([]byte, 1))
	return err
}

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
