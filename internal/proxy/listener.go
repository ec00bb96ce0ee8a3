package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// handshakeTime is the time for handshakes in progress to complete before the listener is
	// closed, a few round trips.
	handshakeTime = 200 * time.Millisecond
	// emptyQueueTimeout limits the wait for the accept loop to take all connections from the accept
	// queue, in case it cannot.
	emptyQueueTimeout = 10 * time.Second
)

// Listen returns a listener for callers' connections. It does not use Multipath TCP, for which the
// kernel supports no socket filter: see ignoreHandshakes.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(ctx, "tcp", address)
}

// CloseListener closes the listener once no new connection has arrived for AcceptQuiet,
// and then returns. Open connections continue.
//
// Closing a listener resets the connections in its accept queue, whose callers may have sent a
// request already. So the listener first ignores new handshakes and accepts what is queued.
func (s *Server) CloseListener() {
	s.mu.Lock()
	s.closing = true
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	for begun := time.Now(); !s.acceptsQuiet(begun); {
		time.Sleep(drainInterval)
	}
	if err := ignoreHandshakes(l); err != nil {
		klog.InfoS("connections that arrive while the listener closes may be reset", "error", err)
	} else {
		time.Sleep(handshakeTime)
	}
	awaitEmptyQueue(l)
	_ = l.Close()
	go s.Drain()
}

// CloseListenerAtOnce closes the listener as CloseListener does, but does not wait until no connections arrive. It ends such
// a wait.
func (s *Server) CloseListenerAtOnce() {
	s.mu.Lock()
	s.closeAtOnce = true
	waiting := s.closing
	s.mu.Unlock()
	if !waiting {
		s.CloseListener()
	}
}

// acceptsQuiet reports whether no connection has arrived for AcceptQuiet, or whether the wait
// has exceeded AcceptMax: some client then connects regardless of readiness.
func (s *Server) acceptsQuiet(begun time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeAtOnce {
		klog.InfoS("closing the listener before the process ends", "sinceLastAccept", time.Since(s.lastAccept))
		return true
	}
	if time.Since(begun) > s.options.AcceptMax {
		klog.InfoS("closing the listener although new connections still arrive", "waited", s.options.AcceptMax)
		return true
	}
	return time.Since(s.lastAccept) >= s.options.AcceptQuiet
}

// awaitEmptyQueue waits until the accept loop has accepted all connections in the accept queue.
func awaitEmptyQueue(l net.Listener) {
	for begun := time.Now(); ; time.Sleep(drainInterval) {
		queued, err := hasQueuedConns(l)
		switch {
		case err != nil:
			klog.InfoS("closing the listener although connections may be queued", "error", err)
			return
		case !queued:
			return
		case time.Since(begun) > emptyQueueTimeout:
			klog.InfoS("closing the listener although connections are queued", "waited", emptyQueueTimeout)
			return
		}
	}
}

// handshakeFilter is a socket filter that drops the first segment of a handshake, which has SYN but
// not ACK set, and accepts all others. The connections that are still accepted inherit it, and
// never receive such a segment.
var handshakeFilter = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpFlagSYN | tcpFlagACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: dropSegment},
	{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
}

// Fields of the TCP header, and results of a socket filter: the number of bytes that are kept.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagACK     = 0x10
	dropSegment    = 0
	acceptSegment  = 1<<32 - 1
)

// ignoreHandshakes makes the kernel drop new attempts to connect. Their callers repeat them after a
// second, when the closed listener refuses them, and connect to another instance.
func ignoreHandshakes(l net.Listener) error {
	program := unix.SockFprog{Len: uint16(len(handshakeFilter)), Filter: &handshakeFilter[0]}
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// hasQueuedConns reports whether the accept queue holds a connection.
func hasQueuedConns(l net.Listener) (queued bool, err error) {
	err = control(l, func(fd int) error {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if errors.Is(err, unix.EINTR) {
			ready, err = 1, nil // It is checked again.
		}
		queued = ready > 0
		return err
	})
	return queued, err
}

// control calls do with the file descriptor of a listener or a connection.
func control(socket any, do func(fd int) error) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return fmt.Errorf("proxy: socket %T: %w", socket, errors.ErrUnsupported)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("proxy: socket: %w", err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = do(int(fd)) }); err != nil {
		return fmt.Errorf("proxy: socket: %w", err)
	}
	return failed
}
