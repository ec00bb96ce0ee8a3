package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// pastDeadline is a deadline that makes a blocked read or write return at once.
var pastDeadline = time.Unix(1, 0)

const (
	// lingerTimeout is how long a connection waits for the caller to close its end, so
	// that a reset does not discard the notice or response.
	lingerTimeout = 2 * time.Second
	// maxReadAhead is the number of bytes of the next request that may be read while the
	// current request is processed.
	maxReadAhead = 4096
)

const overloadResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n" +
	HeaderOutcome + ": not-run\r\n" + HeaderReason + ": overloaded\r\nRetry-After: 1\r\n\r\n"

// callerConn is a connection from a caller.
//
// The HTTP library does not read from a connection while it processes a request, so
// it detects that the caller disconnected only at its next write. watchClose reads
// from the connection meanwhile; Read then returns these bytes to the library.
type callerConn struct {
	net.Conn
	server *Server
	// readAhead holds bytes that watchClose has read.
	readAhead []byte
	next      nextRequest
	state     connProgress

	mu sync.Mutex
	// idleSince is zero while a request is read or processed.
	idleSince time.Time
	// deadline is the read deadline that the HTTP library set.
	deadline time.Time
	// retired is set while the connection is being closed for being idle.
	retired bool
	closed  bool
	// unread is set if a request was rejected before all of it was read.
	unread bool
}

// Read returns bytes that watchClose has read, or reads from the connection. If the
// connection is retired and no request has arrived, it ends the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.next.ahead.Store(len(c.readAhead) > 0)
		c.markRead(n)
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markRead(n)
		return n, err
	}
	if isTimeout(err) && c.isIdle() {
		n, err = c.readAtTimeout(p, err)
	}
	if err != nil {
		c.state.ended(connEndOf(err))
	}
	return n, err
}

// readAtTimeout reads a request that has arrived on a connection that was idle for too long, or ends the connection.
func (c *callerConn) readAtTimeout(p []byte, timeout error) (int, error) {
	retired := c.isRetired()
	if n := c.readAvailable(p); n > 0 {
		c.markRead(n)
		c.restoreReadDeadline()
		return n, nil
	}
	if !retired {
		return 0, timeout
	}
	c.sendRetireNotice()
	return 0, net.ErrClosed
}

// readAvailable reads the bytes that have arrived on an idle connection, without blocking.
// After the read deadline has passed, an ordinary read returns no data: on a busy
// machine a request may have arrived unread while the connection seems idle.
func (c *callerConn) readAvailable(p []byte) int {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0 // The connection is closed.
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	n := 0
	err = raw.Read(func(fd uintptr) (done bool) {
		n, _ = syscall.Read(int(fd), p) // If no data has arrived, n is -1.
		return true
	})
	if err != nil {
		return 0
	}
	return max(0, n)
}

// SetReadDeadline stores the deadline of the HTTP library. It applies the deadline
// unless the connection is retired, because the blocked read must then return at once.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// restoreReadDeadline applies the deadline of the HTTP library again.
func (c *callerConn) restoreReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// Write writes p unless the caller accepts no byte for WriteStall. A caller that reads
// slowly is not cut: the engine then waits for it, and this instance buffers no more
// than one event and the kernel's buffers for it.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.server.options.WriteStall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil {
			return written, nil
		}
		if n == 0 || !isTimeout(err) {
			c.state.ended(writeEndOf(err))
			return written, err
		}
	}
}

// Close closes the connection once.
func (c *callerConn) Close() error {
	c.mu.Lock()
	closed, unread := c.closed, c.unread
	c.closed = true
	c.mu.Unlock()
	if closed {
		return nil
	}
	c.reportClose(unread)
	if unread {
		c.linger()
	}
	c.server.connClosed(c)
	return c.Conn.Close()
}

// markUnread records that the rest of the caller's request will not be read.
func (c *callerConn) markUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
}

// markRead records that the HTTP library has read n bytes of a request.
func (c *callerConn) markRead(n int) {
	c.mu.Lock()
	idle := !c.idleSince.IsZero()
	c.mu.Unlock()
	c.next.readByLibrary(n, idle)
	c.state.read(false)
	c.markBusy()
}

// markBusy records that a request is arriving, and revokes a retirement: a request that
// began to arrive before the connection was closed is served.
func (c *callerConn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if c.retired {
		c.retired = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// markIdle records that the connection is idle.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
}

// retire makes the connection close itself if it has been idle since t or earlier.
// Its reader decides: a request that has arrived by then is still served.
func (c *callerConn) retire(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.idleSince.After(t) || c.retired {
		return
	}
	c.retired = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero()
}

func (c *callerConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// sendRetireNotice sends the dialect's notice, if there is one, before an idle connection is
// closed. A request may be in flight at this moment; the notice states correctly that
// it did not run.
func (c *callerConn) sendRetireNotice() {
	notice := c.server.options.Dialect.RetireNotice()
	if len(notice) == 0 {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write(notice); err == nil {
		c.linger()
	}
}

// linger closes the write side and discards input until the caller closes. Closing
// with unread bytes would reset the connection, and the reset would discard the part
// of the response that the caller has not read.
func (c *callerConn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	if err := tcp.CloseWrite(); err == nil {
		_, _ = io.Copy(io.Discard, tcp)
	}
}

// watchClose calls gone if the caller closes the connection before stop is called.
func (c *callerConn) watchClose(gone func()) (stop func()) {
	done := make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [512]byte
		for len(c.readAhead) < maxReadAhead {
			n, err := c.Conn.Read(b[:])
			c.readAhead = append(c.readAhead, b[:n]...)
			if n > 0 {
				c.next.ahead.Store(true)
				c.state.read(true)
			}
			if err != nil {
				if !isTimeout(err) && !errors.Is(err, net.ErrClosed) {
					c.reportGone(err)
					gone()
				}
				return
			}
		}
	}()
	return func() {
		_ = c.Conn.SetReadDeadline(pastDeadline)
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection. A connection over the limit receives an overload
// response and is closed: each connection holds buffers, and running out of memory
// would break all others.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
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

// refuseOverloaded sends the overload response and closes the connection.
func (c *callerConn) refuseOverloaded() {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write([]byte(overloadResponse)); err == nil {
		c.linger()
	}
	_ = c.Conn.Close()
}
