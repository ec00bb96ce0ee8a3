package proxy

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// partlyWritten is a connection that fails in the middle of a write.
type partlyWritten struct{ net.Conn }

func (partlyWritten) Write(p []byte) (int, error) { return len(p) / 2, syscall.EPIPE }

// Guards against a request that runs twice, or runs and is answered as not run, because a part of it was sent before the write
// failed.
func TestPartlyWrittenRequestCountsAsSent(t *testing.T) {
	c := &call{}
	require.NoError(t, c.attach(&backendConn{Conn: partlyWritten{}}))
	require.False(t, c.sent())
	_, err := c.conn.Write(make([]byte, 10))
	require.ErrorIs(t, err, syscall.EPIPE)
	require.True(t, c.sent())
}
