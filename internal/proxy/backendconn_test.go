package proxy

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// partlyWritten is a connection that fails in the middle of a write.
type partlyWritten struct{ net.Conn }

func (partlyWritten) Write(p []byte) (int, error) { return len(p) / 2, syscall.EPIPE }

// attachPartlyWritten attaches a connection that fails in the middle of a write to a call.
func attachPartlyWritten(t *testing.T, c *call) {
	t.Helper()
	here, _ := net.Pipe()
	require.NoError(t, c.attach(&backendConn{Conn: partlyWritten{here}}))
}

// Guards against a request that runs twice, or runs and is answered as not run, because a part of it was sent before the write
// failed or the call was cancelled.
func TestPartlyWrittenRequestCountsAsSent(t *testing.T) {
	c := &call{}
	attachPartlyWritten(t, c)
	require.False(t, c.sent())
	_, err := c.conn.Write(make([]byte, 10))
	require.ErrorIs(t, err, syscall.EPIPE)
	require.True(t, c.sent())
	c.cancel()
	require.True(t, c.sent())
}

// Guards against a request that is answered as not run although a superseded attempt of it was sent.
func TestSupersededAttemptTellsWhetherItWasSent(t *testing.T) {
	for name, sent := range map[string]bool{"sent": true, "not sent": false} {
		t.Run(name, func(t *testing.T) {
			x := newTestExchange()
			var ended []core.AttemptEnded
			x.server = New(func(e core.Event) { ended = append(ended, e.(core.AttemptEnded)) }, Options{})
			a := newAttemptResponse(x, core.SendAttempt{Attempt: 1, Deadline: time.Now().Add(time.Second)})
			x.race.start(a)
			attachPartlyWritten(t, a.call)
			if sent {
				_, _ = a.call.conn.Write(make([]byte, 10))
			}
			x.race.supersede(a)
			a.abort(outcomeWithoutResponse(a.call), "", errCallCancelled)
			require.Len(t, ended, 1)
			require.Equal(t, retry.Superseded, ended[0].Outcome)
			require.Equal(t, !sent, ended[0].Unsent)
		})
	}
}
