package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a relay that reads without end what a requester sends after the backend server has closed.
func TestBytesAfterTheServersEndAreBounded(t *testing.T) {
	const (
		// allowed is the rest of any request, and the buffers of the kernel on top.
		allowed = 160 << 20
		piece   = 1 << 20
	)
	in := startRelay(t)
	requester, server := connect(t, in)
	require.NoError(t, server.Close())
	sent := 0
	var err error
	for err == nil && sent <= allowed {
		var n int
		n, err = requester.Write(make([]byte, piece))
		sent += n
	}
	require.Error(t, err, "%d bytes were read", sent)
	require.Eventually(t, func() bool { return in.Active() == 0 }, testTimeout, 10*time.Millisecond)
}

// Guards against a bound that cuts off the rest of a long request, whose answer came early.
func TestRestOfARequestIsReadAfterTheServersEnd(t *testing.T) {
	const rest, piece = 32 << 20, 1 << 20
	in := startRelay(t)
	requester, server := connect(t, in)
	_, err := server.Write([]byte("answer"))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	for sent := 0; sent < rest; sent += piece {
		_, err = requester.Write(make([]byte, piece))
		require.NoError(t, err)
	}
	answer := make([]byte, len("answer"))
	_, err = requester.Read(answer)
	require.NoError(t, err)
	require.Equal(t, "answer", string(answer))
}

// Guards against a relay that keeps what a faulty server sends without end while nobody reads it.
func TestBytesWithoutEndFromAServerAreNotKept(t *testing.T) {
	const piece, buffers, settle = 1 << 16, 32 << 20, time.Second
	in := startRelay(t)
	requester, server := connect(t, in)
	sent := 0
	require.NoError(t, server.SetWriteDeadline(time.Now().Add(settle)))
	for {
		n, err := server.Write(make([]byte, piece))
		sent += n
		if err != nil {
			break
		}
	}
	require.Less(t, sent, buffers, "the buffers of the kernel and of the relay")
	require.NoError(t, requester.Close())
	require.Eventually(t, func() bool { return in.Active() == 0 }, testTimeout, 10*time.Millisecond)
}
