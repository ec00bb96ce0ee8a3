package dial

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// looksPerTimeout is the number of successive looks at a connection that must show no acknowledgement. Looks are
	// counted, not the time: a machine that was paused has not heard anything either.
	looksPerTimeout = 10
	// minUnanswered is the number of transmissions without an acknowledgement after which the other end may be lost. A single
	// one may have met an interruption of the path, or a limit on the rate of acknowledgements.
	minUnanswered = 2
	// maxRetryInterval limits the time after which the kernel repeats a transmission. Without it the times between them
	// grow while the other end has no room, and so does the time until its loss is noticed.
	maxRetryInterval = time.Second
	// clockStep bounds the error of the kernel's times of acknowledgements.
	clockStep = 10 * time.Millisecond
)

// Watch calls lost once the other end of a connection acknowledges nothing for about ackTimeout, neither data nor
// keep-alive probes. Call stop when the connection has ended.
//
// Unlike Dialer's limit on unacknowledged data, it does not count the time for which the other end acknowledges and has
// no room: that of an application that reads nothing for a while.
func Watch(conn net.Conn, ackTimeout time.Duration, lost func()) (stop func(), err error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("dial: watch %T: %w", conn, errors.ErrUnsupported)
	}
	if err := tcp.SetKeepAliveConfig(keepAlive(ackTimeout)); err != nil {
		return nil, fmt.Errorf("dial: keep-alive: %w", err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("dial: socket: %w", err)
	}
	if err := limitRetryInterval(raw); err != nil {
		return nil, fmt.Errorf("dial: retry interval: %w", err)
	}
	stopped := make(chan struct{})
	w := &ackWatch{raw: raw, lookedAt: time.Now()}
	go w.run(ackTimeout/looksPerTimeout, lost, stopped)
	return sync.OnceFunc(func() { close(stopped) }), nil
}

// ackWatch is the state of a watch of one connection.
type ackWatch struct {
	raw      syscall.RawConn
	lookedAt time.Time
	// silentLooks counts the successive looks without an acknowledgement while one is due, and unanswered the
	// transmissions seen in them.
	silentLooks, unanswered int
}

// run looks at the connection until it is lost or closed, or until stopped is closed.
func (w *ackWatch) run(interval time.Duration, lost func(), stopped <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for w.silentLooks < looksPerTimeout || w.unanswered < minUnanswered {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		if err := w.look(); err != nil {
			return // The connection is closed.
		}
	}
	lost()
}

// look counts a look at the connection. An acknowledgement is due once data or a probe of a full receive buffer has been
// sent, maybe again, after the last one arrived. Unacknowledged data alone does not make one due: an end without room
// drops it, says so, and is sent it again after ever longer times.
func (w *ackWatch) look() error {
	info, err := tcpInfo(w.raw)
	if err != nil {
		return err
	}
	elapsed := time.Since(w.lookedAt)
	w.lookedAt = w.lookedAt.Add(elapsed)
	recent := func(age uint32) bool { return time.Duration(age)*time.Millisecond <= elapsed+clockStep }
	due := info.Probes > 0 || info.Unacked > 0 && info.Last_data_sent < info.Last_ack_recv
	if !due || recent(info.Last_ack_recv) {
		w.silentLooks, w.unanswered = 0, 0
		return nil
	}
	w.silentLooks++
	if info.Unacked > 0 && recent(info.Last_data_sent) {
		w.unanswered++
	}
	w.unanswered = max(w.unanswered, int(info.Probes))
	return nil
}

// limitRetryInterval sets the limit, if the kernel has such an option.
func limitRetryInterval(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_RTO_MAX_MS, int(maxRetryInterval.Milliseconds()))
	})
	if errors.Is(optErr, unix.ENOPROTOOPT) {
		optErr = nil // Linux before 6.15.
	}
	return errors.Join(err, optErr)
}

// tcpInfo returns the kernel's information on a connection.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
