package proxy

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connPair returns the caller's end and the instance's end of a TCP connection.
func connPair(t *testing.T) (caller, instance net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	instance, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = instance.Close()
	})
	return caller, instance
}

// Guards against a stopping instance that refuses a request which has already arrived: on
// a busy machine the request is not read yet, and the connection seems to be idle.
func TestRetiringConnectionReadsArrivedRequest(t *testing.T) {
	const request = "POST /v1/chat/completions HTTP/1.1\r\n"
	caller, instance := connPair(t)
	c := &callerConn{Conn: instance, server: &Server{options: Options{Dialect: Native{}}}}
	c.markIdle()
	_, err := caller.Write([]byte(request))
	require.NoError(t, err)
	c.retire(time.Now())
	var p [64]byte
	n, err := c.Read(p[:])
	require.NoError(t, err)
	require.Equal(t, request, string(p[:n]))
	require.False(t, c.isRetired(), "it is served on this connection")
}

// Guards against an instance that closes a connection at its idle timeout although a request has arrived: on a busy
// machine the timeout passes before the request is read.
func TestIdleTimeoutReadsArrivedRequest(t *testing.T) {
	const request = "POST /v1/chat/completions HTTP/1.1\r\n"
	caller, instance := connPair(t)
	c := &callerConn{Conn: instance, server: &Server{options: Options{Dialect: Native{}}}}
	c.markIdle()
	_, err := caller.Write([]byte(request))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Millisecond)))
	var p [64]byte
	n, err := c.Read(p[:])
	require.NoError(t, err)
	require.Equal(t, request, string(p[:n]))
	_, err = c.Read(p[:])
	require.True(t, isTimeout(err), "the timeout of a request that is read stays: %v", err)
}

// Guards against refusing a request as too slow that has arrived in time: an instance that was paused reads it only after the
// deadline. What arrives later is not waited for.
func TestArrivedBytesAreReadAfterDeadline(t *testing.T) {
	const request = "POST /v1/chat/completions HTTP/1.1\r\n"
	caller, instance := connPair(t)
	c := &callerConn{Conn: instance, server: &Server{options: Options{Dialect: Native{}}}}
	_, err := caller.Write([]byte(request))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	var p [64]byte
	n, err := c.Read(p[:])
	require.NoError(t, err)
	require.Equal(t, request, string(p[:n]))
	_, err = c.Read(p[:])
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a caller that is read on after the deadline for as long as it keeps sending.
func TestBytesThatArriveAfterDeadlineAreNotRead(t *testing.T) {
	caller, instance := connPair(t)
	c := &callerConn{Conn: instance, server: &Server{options: Options{Dialect: Native{}}}}
	write := func(text string) {
		_, err := caller.Write([]byte(text))
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	write("in time")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	var p [4]byte
	n, err := c.Read(p[:])
	require.NoError(t, err)
	require.Equal(t, "in t", string(p[:n]))
	write("late")
	n, err = c.Read(p[:])
	require.NoError(t, err)
	require.Equal(t, "ime", string(p[:n]))
	_, err = c.Read(p[:])
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
