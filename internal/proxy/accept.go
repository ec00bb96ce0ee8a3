package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Delays before a connection is accepted again after an error.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about such errors.
	acceptLogInterval = time.Second
)

// transientErrors are errors of the kernel that pass: the process or the machine is out of descriptors or memory, or the
// connection ended before it was accepted.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// isTransient reports whether an error passes.
func isTransient(err error) bool { return isAny(err, transientErrors) }

// lacksDescriptors reports whether an error means that the process or the machine has no descriptor left.
func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func isAny(err error, list []error) bool {
	for _, e := range list {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection. One over the limit receives an overload response and is closed: each connection takes a descriptor
// and buffers, and running out of them would break all others. An error that passes is waited out: the HTTP library would end its
// loop, and with it the process and every request in progress.
func (l callerListener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
		case isTransient(err):
			l.server.acceptFailed(err, delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		default:
			return nil, err
		}
		c := &callerConn{Conn: conn, server: l.server}
		c.markIdle()
		if l.server.connOpened(c) {
			return c, nil
		}
		l.server.recordFinish(&core.Finish{Outcome: reason.NotRun, Reason: reason.Overloaded}, "")
		go c.refuseOverloaded()
	}
}

// acceptFailed reports an error of accepting a connection, makes room if descriptors are short, and waits for delay.
func (s *Server) acceptFailed(err error, delay time.Duration) {
	s.options.Metrics.AcceptFailed()
	if now := time.Now(); now.Sub(s.acceptFailureLogged) > acceptLogInterval {
		s.acceptFailureLogged = now
		klog.InfoS("failed to accept a caller's connection; trying again", "error", err, "connections", s.CallerConns())
	}
	if lacksDescriptors(err) {
		s.makeRoom()
	}
	time.Sleep(delay)
}

// refuseOverloaded sends the overload response and closes the connection.
func (c *callerConn) refuseOverloaded() {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write([]byte(overloadResponse)); err == nil {
		c.linger()
	}
	_ = c.Conn.Close()
}
