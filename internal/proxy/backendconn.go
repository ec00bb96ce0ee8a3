package proxy

import (
	"net"
	"sync/atomic"
	"time"
)

// backendConn is a connection to a backend server that counts the bytes sent on it.
//
// Whether a failed request may have run depends on whether any byte of it was sent,
// and the client library does not expose this: it reports a refused dial, a write to
// a closed connection and a lost response in the same way.
type backendConn struct {
	net.Conn
	written atomic.Int64
	now     func() time.Time
	// watch is that of the attempt in progress.
	watch *silenceWatch
	// carried are the requests that the connection has carried.
	carried carriedRequests
	// openedAt is the time from which the connection leads to one process of the server, and process the
	// incarnation of that process if the server was asked for it, or 0.
	openedAt time.Time
	process  uint64
	// zone records when bytes arrive from the server's zone.
	zone *zoneActivity
	// readFailed is set once a read has failed.
	readFailed atomic.Bool
	// idleSince is the time at which the connection was last returned to the pool.
	idleSince time.Time
	// keepAlive is the idle timeout that the server announced, or 0 if it announced none;
	// defaultKeepAlive applies in that case.
	keepAlive, defaultKeepAlive time.Duration
}

// Read reads from the backend server and records that its zone is reachable.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readFailed.Store(true)
	}
	if n > 0 && c.watch != nil {
		c.watch.recordRead(n)
	}
	if n > 0 && c.zone != nil {
		c.zone.recordRead(c.now())
	}
	return n, err
}

// failed reports whether a read has failed: the connection has ended, or the time for the read.
func (c *backendConn) failed() bool { return c.readFailed.Load() }

// reused reports whether the connection has carried a request before.
func (c *backendConn) reused() bool { return c.written.Load() > 0 }

// Write sends p and counts the bytes that the kernel accepted.
func (c *backendConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// reset closes the connection and discards the bytes that the peer has not received.
//
// After an orderly close the kernel still holds the bytes of an abandoned request and
// delivers them once a network partition heals. The backend server then works for a
// caller that disconnected long ago, or runs a request that was reported as refused.
// A reset discards these bytes.
func (c *backendConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
