package proxy_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// failingListener returns an error instead of a connection while fails is set.
type failingListener struct {
	net.Listener
	fails atomic.Pointer[error]
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.fails.Load(); err != nil {
		return nil, *err
	}
	return l.Listener.Accept()
}

// startFailingInstance starts an instance whose listener can fail.
func startFailingInstance(t *testing.T, o proxy.Options) (*instance, *failingListener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &failingListener{Listener: inner}
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstanceOn(t, l, fleetConfig(addresses, nil), o)
	require.Eventually(t, func() bool { return i.generation() == 1 }, waitTimeout, pollInterval)
	return i, l
}

// Guards against an instance that ends, with all requests in progress, because a connection could not be accepted for want of
// descriptors or memory, or ended before it was accepted.
func TestErrorOfAcceptThatPassesIsWaitedOut(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			i, l := startFailingInstance(t, proxy.Options{})
			kept := dial(t, i.address)
			keepWithOneRequest(t, i, kept)
			var failure error = &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
			l.fails.Store(&failure)
			// The accept loop already waits for a connection, and sees the error after this one.
			keepWithOneRequest(t, i, dial(t, i.address))
			require.Eventually(t, func() bool { return i.acceptErrors.Load() > 2 }, waitTimeout, pollInterval)
			keepWithOneRequest(t, i, kept)
			l.fails.Store(nil)
			keepWithOneRequest(t, i, dial(t, i.address))
		})
	}
}

// Guards against an accept loop that tries a broken listener again for good, while the process seems to serve.
func TestErrorOfAcceptThatStaysEndsTheLoop(t *testing.T) {
	t.Parallel()
	l := &failingListener{}
	failure := errors.New("broken")
	l.fails.Store(&failure)
	require.ErrorIs(t, proxy.New(nil, proxy.Options{}).Serve(l), failure)
}

// Guards against idle connections that keep new callers out, and against closing those that are in use.
func TestLongestIdleConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	const limit = 64
	i, _ := startFailingInstance(t, proxy.Options{MaxConns: limit})
	var conns []net.Conn
	for range limit / 2 {
		conns = append(conns, dial(t, i.address))
		keepWithOneRequest(t, i, conns[len(conns)-1])
	}
	time.Sleep(700 * time.Millisecond)
	keepWithOneRequest(t, i, conns[0]) // It has not been idle for longest any more.
	for n := range 3 * limit / 4 {
		conn := dial(t, i.address)
		keepWithOneRequest(t, i, conn)
		require.LessOrEqual(t, i.server.CallerConns(), limit, "connection %d", n)
	}
	require.Positive(t, i.idleCloses.Load())
	keepWithOneRequest(t, i, conns[0])
	status, _, err := readUntilClosed(conns[1])
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, status, "the notice before an idle connection is closed")
}

// Guards against idle connections that stay open for longer than the operators permit, and against closing one that its caller may
// still use.
func TestIdleTimeoutOfOperatorsIsEnforced(t *testing.T) {
	t.Parallel()
	const limit = 2 * time.Second
	i, _ := limitedInstance(t, config.CallerLimits{IdleTimeout: config.Duration(limit)})
	conn := dial(t, i.address)
	keepWithOneRequest(t, i, conn)
	time.Sleep(limit * 4 / 5)
	keepWithOneRequest(t, i, conn)
	idleSince := time.Now()
	status, _, err := readUntilClosed(conn)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, status, "the notice before an idle connection is closed")
	require.GreaterOrEqual(t, time.Since(idleSince), limit-10*time.Millisecond)
	require.Less(t, time.Since(idleSince), limit+2*time.Second)
	resp, err := http.Get(fmt.Sprintf("http://%s/", i.address))
	require.NoError(t, err, "new connections are accepted")
	require.NoError(t, resp.Body.Close())
}
