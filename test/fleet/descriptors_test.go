package fleet_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// Guards against an instance that ends by itself, with all requests in progress, once it has no file descriptor left.
func TestInstanceOutOfDescriptorsGoesOn(t *testing.T) {
	f := startFleet(t, []string{"zone-1"}, 1, 500*time.Millisecond)
	i := f.instances[0]
	const descriptors, callers = 120, 200
	lowered := unix.Rlimit{Cur: descriptors, Max: descriptors}
	require.NoError(t, unix.Prlimit(i.process.Process.Pid, unix.RLIMIT_NOFILE, &lowered, nil))
	var idle []net.Conn
	t.Cleanup(func() {
		for _, conn := range idle {
			_ = conn.Close()
		}
	})
	var answered atomic.Int64
	var group errgroup.Group
	for n := range 20 {
		group.Go(func() error {
			if f.send(i, fmt.Sprint("early-", n)).status == 200 {
				answered.Add(1)
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	for range callers {
		if conn, err := net.DialTimeout("tcp", i.callerAddr, time.Second); err == nil {
			idle = append(idle, conn)
		}
	}
	require.NoError(t, group.Wait())
	require.EqualValues(t, 20, answered.Load(), "requests in progress are answered")
	select {
	case <-i.exited:
		require.Fail(t, "the instance has ended")
	case <-time.After(2 * time.Second):
	}
	require.Equal(t, 200, f.send(i, "late").status, "idle connections make room for new ones")
}
