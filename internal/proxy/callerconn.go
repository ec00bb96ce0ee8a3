package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pastDeadline is a deadline that makes a blocked read or write return at once.
var pastDeadline = time.Unix(1, 0)

const (
	// lingerTimeout is how long a connection waits for the caller to close its end, so
	// that a reset does not discard the notice or response.
	lingerTimeout = 2 * time.Second
	// maxLinger is the number of bytes that are discarded meanwhile.
	maxLinger = 128 << 20
	// maxReadAhead is the number of bytes that may be read while a request is processed.
	maxReadAhead = 4096
)

const overloadResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n" +
	HeaderOutcome + ": not-run\r\n" + HeaderReason + ": overloaded\r\nRetry-After: 1\r\n\r\n"

// callerConn is a connection from a caller.
//
// The HTTP library does not read from a connection while it processes a request, so
// it detects that the caller disconnected only at its next write. watchClose reads
// from the connection meanwhile; Read then returns these bytes to the library. The library reads headers only: see readBody.
type callerConn struct {
	net.Conn
	server *Server
	// readAhead holds bytes that were read from the connection before they were asked for.
	readAhead []byte
	next      nextRequest
	state     connProgress
	// method and head check the request that arrives, and badInput is set once it cannot become one. Only the goroutine that
	// serves the connection uses them.
	method   methodCheck
	head     headScanner
	badInput error
	// pipelined is set if the next request has begun to arrive together with the end of the last one.
	pipelined bool

	mu sync.Mutex
	// idleSince is zero while a request is read or processed.
	idleSince time.Time
	// deadline is the read deadline that the HTTP library set, within the bounds of the request that arrives, if any.
	deadline time.Time
	arriving *requestDeadlines
	// arrived is the number of bytes that may still be read after the deadline, if arrivedKnown is set.
	arrived      int
	arrivedKnown bool
	// retired is set while the connection is being closed for being idle.
	retired bool
	closed  bool
	// unread is set if a request was rejected before all of it was read.
	unread bool
	// timedOut is set once a read has ended at its deadline.
	timedOut bool
}

// Read returns the next bytes of a request's header to the HTTP library, and none behind an empty line. After bytes that
// cannot begin a request it returns an error. The library reads the first byte of each request by itself.
func (c *callerConn) Read(p []byte) (n int, err error) {
	if c.badInput != nil {
		return 0, c.badInput
	}
	if len(p) == 1 && c.isIdle() {
		c.method.begin(c.pipelined)
		c.head = headScanner{}
	}
	if len(c.readAhead) > 0 {
		n = c.takeReadAhead(p[:c.head.next(c.readAhead[:min(len(p), len(c.readAhead))])])
	} else {
		arrived, failed := c.readConn(p)
		n, err = c.head.next(p[:arrived]), failed
		c.setReadAhead(append(c.readAhead, p[n:arrived]...))
	}
	c.badInput = c.method.check(p[:n])
	if c.badInput != nil {
		c.markUnread()
	}
	return n, err
}

// takeReadAhead moves bytes that were read ahead to p, and returns their number.
func (c *callerConn) takeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.setReadAhead(c.readAhead[n:])
	c.markRead()
	return n
}

// setReadAhead replaces the bytes that were read ahead. It releases their memory if there are none.
func (c *callerConn) setReadAhead(b []byte) {
	if len(b) == 0 {
		b = nil
	}
	c.readAhead = b
	c.next.set(b)
}

// readConn reads from the connection. If the connection is retired and no request has arrived, it ends the connection.
func (c *callerConn) readConn(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markRead()
		return n, err
	}
	if isTimeout(err) {
		n, err = c.readAtTimeout(p, err)
	}
	if err != nil {
		c.state.ended(connEndOf(err))
	}
	return n, err
}

// readAtTimeout reads what had arrived on a connection at its deadline, or ends it.
func (c *callerConn) readAtTimeout(p []byte, timeout error) (int, error) {
	if c.isRetired() {
		if n := c.readAvailable(p); n > 0 {
			c.markRead()
			return n, c.restoreDeadline()
		}
		c.sendRetireNotice()
		return 0, net.ErrClosed
	}
	if n := c.readArrived(p); n > 0 {
		c.markRead()
		return n, c.restoreDeadline()
	}
	c.markTimedOut()
	return 0, errors.Join(timeout, c.restoreDeadline())
}

// readArrived reads bytes after the deadline that lay in the kernel at the first read after it.
func (c *callerConn) readArrived(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.arrivedKnown {
		c.arrivedKnown, c.arrived = true, c.queuedBytes()
	}
	if c.arrived == 0 {
		return 0
	}
	n := c.readAvailable(p[:min(len(p), c.arrived)])
	c.arrived -= n
	return n
}

// queuedBytes returns the number of bytes that have arrived and are not read.
func (c *callerConn) queuedBytes() (n int) {
	err := control(c.Conn, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	if err != nil {
		return 0 // The connection is closed.
	}
	return n
}

// restoreDeadline sets the deadline again that readAvailable has removed.
func (c *callerConn) restoreDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// readAvailable reads the bytes that have arrived, without blocking, and removes the deadline.
// After the read deadline has passed, an ordinary read returns no data: on a busy
// machine a request may have arrived unread while the connection seems idle, or its sender slow.
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
	if c.arriving != nil && !t.IsZero() {
		t = c.arriving.bound(t)
	}
	c.deadline, c.arrivedKnown = t, false
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
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
	if unread || c.hasUnread() {
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

// markRead records that bytes of a request were read.
func (c *callerConn) markRead() {
	c.state.read(false)
	c.markBusy()
}

// markTimedOut records that a read has ended at its deadline.
func (c *callerConn) markTimedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timedOut = true
}

// hasTimedOut reports whether a read has ended at its deadline. The HTTP library hides that error where a chunk's line is cut.
func (c *callerConn) hasTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timedOut
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

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero()
}

// markIdle records that the connection is idle.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
	c.arriving = nil
}

// beginRequest bounds the time of a request whose first byte has arrived.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	bounds := c.server.beginRequest(time.Now())
	c.arriving = &bounds
}

// retire makes the connection close itself if it has been idle since t or earlier.
// Its reader decides: a request that has arrived by then is still served. It reports whether the reader was told now.
func (c *callerConn) retire(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.idleSince.After(t) || c.retired {
		return false
	}
	c.retired = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
	return true
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
		_, _ = io.CopyN(io.Discard, tcp, maxLinger)
	}
}

// watchClose calls gone if the caller closes the connection before stop is called.
func (c *callerConn) watchClose(gone func()) (stop func()) {
	done := make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [512]byte
		for read := 0; read < maxReadAhead; {
			n, err := c.Conn.Read(b[:])
			read += n
			if n > 0 {
				c.setReadAhead(append(c.readAhead, b[:n]...))
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
