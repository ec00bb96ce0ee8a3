package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// linkConn is the connection of a link. Close expires the deadlines of the link's streams before
// it closes the connection.
//
// This works around a busy loop in yamux. A Read on a stream whose session is shutting down neither
// blocks nor returns: it spins without yielding until the session has closed the stream. With a
// single processor, the goroutine that closes the session gives up the processor when it closes the
// connection and does not get it back to close the stream. The end of one link, as at each restart
// of a peer, then stalled a whole instance for 15 s, the idle limit of a link: it sent no responses
// and wrote no logs, and it accepted a revoked key afterwards. An expired deadline ends the loop,
// and yamux calls this Close before it yields.
type linkConn struct {
	net.Conn
	// limit bounds the input of the session, and refused is called once when the input exceeds it. limit is nil before the session
	// is opened.
	limit   *inputLimit
	refused func(error)
	// refusal is the error of the first input over the limit. The session may read on after it.
	refusal error
	// frames writes what the session writes, nil before that is opened.
	frames  *frameWriter
	mu      sync.Mutex
	streams []*yamux.Stream
	closed  bool
}

// beginSession bounds the input from now on, and takes what is written for the frames of a session.
func (c *linkConn) beginSession(refused func(error)) {
	c.limit, c.refused = &inputLimit{}, refused
	c.frames = &frameWriter{to: c.Conn}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.frames == nil {
		return c.Conn.Write(b)
	}
	return c.frames.Write(b)
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	if c.refusal != nil {
		return 0, c.refusal
	}
	n, err := c.Conn.Read(b)
	if c.limit == nil {
		return n, err
	}
	if c.refusal = c.limit.check(b[:n]); c.refusal != nil {
		c.refused(c.refusal)
		return 0, c.refusal
	}
	return n, err
}

// Close aborts pending reads and writes on the streams and closes the connection.
func (c *linkConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, stream := range c.streams {
		expireDeadlines(stream)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// addStream registers a stream whose pending reads and writes Close aborts.
func (c *linkConn) addStream(stream *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, stream)
	if c.closed {
		expireDeadlines(stream)
	}
}

// expireDeadlines aborts all present and future reads and writes on a stream. Setting the deadline
// of a yamux stream never fails; it returns an error only to implement net.Conn.
func expireDeadlines(stream *yamux.Stream) { _ = stream.SetDeadline(time.Unix(1, 0)) }

// setReadTimeout sets the timeout of the next read from a stream.
func (c *linkConn) setReadTimeout(stream *yamux.Stream, timeout time.Duration) error {
	return c.setTimeout(stream.SetReadDeadline, timeout)
}

// clearReadTimeout removes the timeout of the next read from a stream.
func (c *linkConn) clearReadTimeout(stream *yamux.Stream) error {
	return c.setDeadline(stream.SetReadDeadline, time.Time{})
}

// setWriteTimeout sets the timeout of the next write to a stream.
func (c *linkConn) setWriteTimeout(stream *yamux.Stream, timeout time.Duration) error {
	return c.setTimeout(stream.SetWriteDeadline, timeout)
}

func (c *linkConn) setTimeout(set func(time.Time) error, timeout time.Duration) error {
	return c.setDeadline(set, time.Now().Add(timeout))
}

// setDeadline sets a deadline unless the connection is closed. After Close, a new deadline would
// replace the expired one.
func (c *linkConn) setDeadline(set func(time.Time) error, deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(deadline)
}
