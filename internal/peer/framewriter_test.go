package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// recordingConn records the writes to a connection.
type recordingConn struct {
	net.Conn
	frames *frameWriter
	writes [][]byte
}

func (c *recordingConn) Write(b []byte) (int, error) { return c.frames.Write(b) }

// recorder passes writes on to the connection beneath.
type recorder struct{ conn *recordingConn }

func (r recorder) Write(b []byte) (int, error) {
	r.conn.writes = append(r.conn.writes, bytes.Clone(b))
	return r.conn.Conn.Write(b)
}

// Guards against two system calls, and two wake-ups of the receiver, for each message to a peer.
func TestEachFrameIsWrittenAtOnce(t *testing.T) {
	near, far := net.Pipe()
	conn := &recordingConn{Conn: near}
	conn.frames = &frameWriter{to: recorder{conn}}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	client, err := yamux.Client(conn, cfg)
	require.NoError(t, err)
	server, err := yamux.Server(far, cfg)
	require.NoError(t, err)
	stream, err := client.OpenStream()
	require.NoError(t, err)
	accepted, err := server.AcceptStream()
	require.NoError(t, err)

	sizes := []int{1, yamuxHeaderSize, 500, 3 * maxKeptBuffer, 7}
	var sent []byte
	go func() {
		for i, size := range sizes {
			_, _ = stream.Write(bytes.Repeat([]byte{byte(i)}, size))
		}
		_ = stream.Close()
	}()
	for i, size := range sizes {
		sent = append(sent, bytes.Repeat([]byte{byte(i)}, size)...)
	}
	received, err := io.ReadAll(accepted)
	require.NoError(t, err)
	require.Equal(t, sent, received)
	require.NoError(t, client.Close())
	for _, write := range conn.writes {
		require.False(t, precedesBody(write), "a header without its body")
	}
	require.LessOrEqual(t, cap(conn.frames.frame), maxKeptBuffer)
}

// Guards against a link that goes on after a frame could not be written.
func TestFailedFrameIsReported(t *testing.T) {
	failed := errors.New("failed")
	w := &frameWriter{to: writerFunc(func([]byte) (int, error) { return 0, failed })}
	header := make([]byte, yamuxHeaderSize)
	header[yamuxHeaderSize-1] = 1
	_, err := w.Write(header)
	require.NoError(t, err)
	_, err = w.Write([]byte{1})
	require.ErrorIs(t, err, failed)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
