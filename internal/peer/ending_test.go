package peer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// slowClose is a connection whose Close takes some time, like a system call.
type slowClose struct {
	net.Conn
	takes time.Duration
}

func (c slowClose) Close() error {
	time.Sleep(c.takes)
	return c.Conn.Close()
}

// After a restart of an instance, one of its peers stalled for 15 s: it sent no responses, wrote no
// logs, accepted nothing and used a whole processor, and then acted on outdated state. The session
// of the link to the restarted instance was shut down while its streams were still open, and a
// goroutine that read from one of them spun in yamux. The readers must return before the close of
// the connection begins.
func TestTheEndOfALinkTakesNoProcessorTime(t *testing.T) {
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	remoteSession, err := openSession(remote, false)
	require.NoError(t, err)
	t.Cleanup(func() { _ = remoteSession.Close() })

	const closeDelay = 400 * time.Millisecond
	conn := &endingConn{Conn: slowClose{Conn: local, takes: closeDelay}}
	session, err := openSession(conn, true)
	require.NoError(t, err)
	ended := make(chan error, 2)
	for _, idle := range []time.Duration{time.Hour, 0} {
		stream, err := session.OpenStream()
		require.NoError(t, err)
		conn.add(stream)
		go func() { ended <- readOne(conn, stream, idle) }()
	}
	time.Sleep(50 * time.Millisecond)

	before := processorTime(t)
	require.NoError(t, session.Close())
	require.Less(t, processorTime(t)-before, closeDelay/4)
	require.Error(t, <-ended)
	require.Error(t, <-ended)
}

func readOne(conn *endingConn, stream *yamux.Stream, idle time.Duration) error {
	if idle > 0 {
		if err := conn.readWithin(stream, idle); err != nil {
			return err
		}
	}
	_, err := stream.Read(make([]byte, 1))
	return err
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
