package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBackendConns bounds the connections to one backend server; admission stays
// far below it.
const maxBackendConns = 1 << 14

// callKey is the request's user value that holds its call.
const callKey = "call"

var (
	errCallCancelled = errors.New("proxy: call cancelled")
	errInactive      = errors.New("proxy: backend server silent for too long")
	errUnframed      = errors.New("proxy: answer framed by the connection's end only")
)

// backendConn is a connection to a backend server that counts what left through it.
//
// Whether a failed request may have run depends on whether any byte of it left,
// and the client library does not tell: it reports a refused dial, a write to a
// closed connection and a lost answer alike.
type backendConn struct {
	net.Conn
	written atomic.Int64
}

// Write sends p and counts what the kernel took of it.
func (c *backendConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// reset closes the connection and drops what the other side has not received.
//
// An orderly close leaves the bytes of an abandoned request with the kernel, which
// delivers them once a cut on the way heals: the backend server then begins to work
// for a caller who left long ago, or runs what was refused. A reset takes them back.
func (c *backendConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// reusable tells whether an idle connection is open and silent.
//
// A backend server may close a kept connection at any time, and a late answer to
// a request that was given up would be taken for the next one's. Either shows as
// something to read on a connection where nothing may arrive.
func (c *backendConn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// call is one request to a backend server over one connection, and its answer.
type call struct {
	resp     *fasthttp.Response
	deadline time.Time
	// unframed takes the connection's orderly end for the end of an answer without a
	// length.
	unframed bool
	// once keeps the connection out of the pool, before and after.
	once bool
	// first bounds the wait for the first bytes of the answer, if not 0.
	first time.Duration
	// inactivity bounds the silence between two reads of the answer's body.
	inactivity time.Duration
	// dial bounds the opening of a connection.
	dial time.Duration
	// begun is set once a byte of the answer's body has come.
	begun bool
	// firstAt is when the first bytes must have come, once it is worked out.
	firstAt time.Time

	host *fasthttp.HostClient
	// give returns the connection to the pool, or closes it.
	give func(reuse bool)
	in   *bufio.Reader
	// length is the answer's, or fasthttp's mark for a chunked one (-1) or one
	// that ends with its connection (-2).
	length int

	mu        sync.Mutex
	conn      *backendConn
	cancelled bool
}

// attach ties the call to its connection, so that cancel can cut it.
func (c *call) attach(conn *backendConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return errCallCancelled
	}
	conn.written.Store(0)
	c.conn = conn
	return nil
}

// cancel ends the call from any goroutine. Its connection is closed and not
// pooled: an answer that comes late must meet no other request.
func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.conn != nil {
		c.conn.reset()
	}
}

// detach takes the connection out of cancel's reach and tells whether it was
// never cut. The call's deadline must not strike the connection's next use.
func (c *call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.conn.SetDeadline(time.Time{})
	c.conn = nil
	return err == nil && !c.cancelled
}

// sent tells whether any byte of the request may have left.
func (c *call) sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.conn.written.Load() > 0
}

// transport sends each request exactly once.
//
// The client's own transport sends again when a connection fails, also on a kept
// connection that the server closed: a request that runs twice without any
// caller having asked twice. RoundTrip always says that it may not.
type transport struct{}

// RoundTrip sends the request and reads the answer's header. The call that the
// request carries then owns the connection.
func (transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	c, ok := req.UserValue(callKey).(*call)
	if !ok {
		return false, errors.New("proxy: request without a call")
	}
	if err := c.connect(hc); err != nil {
		return false, err
	}
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	if err := c.exchangeHeaders(req, resp); err != nil {
		return false, err
	}
	c.length = resp.Header.ContentLength()
	return false, nil
}

// connect takes a kept connection that is still good, or dials.
func (c *call) connect(hc *fasthttp.HostClient) error {
	for {
		left := time.Until(c.deadline)
		if left <= 0 {
			return fasthttp.ErrTimeout
		}
		cc, err := hc.AcquireConn(min(left, c.dial), false)
		if err != nil {
			return fmt.Errorf("proxy: connect: %w", err)
		}
		conn, ok := cc.Conn().(*backendConn)
		if !ok {
			hc.CloseConn(cc)
			return errors.New("proxy: connection of another kind")
		}
		kept := conn.written.Load() > 0
		if kept && !conn.reusable() {
			hc.CloseConn(cc)
			continue
		}
		c.host = hc
		c.give = func(reuse bool) {
			if reuse {
				hc.ReleaseConn(cc)
				return
			}
			hc.CloseConn(cc)
		}
		if err := c.attach(conn); err != nil {
			c.give(kept)
			c.give = nil
			return err
		}
		return nil
	}
}

// exchangeHeaders writes the whole request and reads the answer up to its body.
func (c *call) exchangeHeaders(req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := c.conn.SetDeadline(c.firstDeadline()); err != nil {
		return fmt.Errorf("proxy: set deadline: %w", err)
	}
	out := c.host.AcquireWriter(c.conn)
	err := req.Write(out)
	if err == nil {
		err = out.Flush()
	}
	c.host.ReleaseWriter(out)
	if err != nil {
		return fmt.Errorf("proxy: send: %w", err)
	}
	c.in = c.host.AcquireReader(c.conn)
	if err := resp.ReadLimitBody(c.in, 0); err != nil {
		return fmt.Errorf("proxy: read header: %w", err)
	}
	c.resp = resp
	return nil
}

// Read reads the answer's body. It gives io.EOF only at the end that the
// answer's own framing marks; any other end is an error.
func (c *call) Read(p []byte) (int, error) {
	body := c.resp.BodyStream()
	if body == nil {
		return 0, io.EOF
	}
	if err := c.conn.SetReadDeadline(c.readDeadline()); err != nil {
		return 0, fmt.Errorf("proxy: set deadline: %w", err)
	}
	n, err := body.Read(p)
	c.begun = c.begun || n > 0
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && (c.framed() || c.unframed):
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, errUnframed
	case isTimeout(err) && time.Now().Before(c.deadline):
		return n, errInactive
	default:
		return n, fmt.Errorf("proxy: read answer: %w", err)
	}
}

// framed tells whether the answer's end can be told from a cut connection.
func (c *call) framed() bool { return c.length >= -1 }

// firstDeadline is when the first bytes of the answer must have come. It is worked
// out once, when the request is sent.
func (c *call) firstDeadline() time.Time {
	if c.first > 0 && c.firstAt.IsZero() {
		c.firstAt = earlier(time.Now().Add(c.first), c.deadline)
	}
	if c.first > 0 {
		return c.firstAt
	}
	return c.deadline
}

func (c *call) readDeadline() time.Time {
	if c.first > 0 && !c.begun {
		return c.firstDeadline()
	}
	return earlier(time.Now().Add(c.inactivity), c.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// close ends the call. Only an answer that was read to its marked end, with
// nothing after it, leaves the connection fit for another request.
func (c *call) close(whole bool) {
	if c.give == nil {
		return
	}
	conn := c.conn
	intact := c.detach()
	if !whole {
		conn.reset()
	}
	reuse := whole && intact && !c.once && c.framed() && c.in != nil && c.in.Buffered() == 0 &&
		c.resp != nil && !c.resp.ConnectionClose()
	if c.resp != nil {
		_ = c.resp.CloseBodyStream()
	}
	if c.in != nil {
		c.host.ReleaseReader(c.in)
	}
	c.give(reuse)
	c.give = nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// newClient returns the client for backend servers.
func newClient(o Options) *fasthttp.Client {
	return &fasthttp.Client{
		Transport: transport{},
		// The two limits below guard the same promise as transport, should a
		// later version of the library retry above its transport.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		MaxConnsPerHost:           maxBackendConns,
		MaxIdleConnDuration:       o.BackendIdle,
		ReadBufferSize:            o.MaxHeader,
		DialTimeout: func(address string, left time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, min(left, o.DialTimeout))
			if err != nil {
				return nil, err
			}
			return &backendConn{Conn: conn}, nil
		},
	}
}
