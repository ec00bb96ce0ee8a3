// Package dial opens TCP connections that detect a broken network path.
//
// A network failure may drop packets without an error at either end, and a pending read on such a
// connection blocks forever. TCP keep-alive detects it, because the kernels exchange the probes
// without the applications. Responses that legitimately take long therefore need no short timeout.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of consecutive unanswered keep-alive probes after which a
// connection is closed. With two, a single lost packet does not close a connection.
const keepAliveProbes = 2

// Dialer returns a dialer with the given timeout for the connection setup. Its connections fail if
// neither sent data nor, on an idle connection, keep-alive probes are acknowledged for about
// ackTimeout.
func Dialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive(ackTimeout),
		Control:         func(_, _ string, raw syscall.RawConn) error { return limitUnacknowledged(raw, ackTimeout) },
	}
}

// keepAlive returns probes that close an idle connection after ackTimeout. The limit on unacknowledged
// data, once set, also decides when the kernel gives up on probes, whatever their number; both limits
// are therefore the same.
func keepAlive(ackTimeout time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     ackTimeout / (keepAliveProbes + 1),
		Interval: ackTimeout / (keepAliveProbes + 1),
		Count:    keepAliveProbes,
	}
}

// limitUnacknowledged sets the time after which a connection fails if sent data is not
// acknowledged. The kernel sends no keep-alive probes while data is unacknowledged.
func limitUnacknowledged(raw syscall.RawConn, limit time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
