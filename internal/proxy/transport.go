package proxy

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// maxBackendConns limits the connections to one backend server. Admission keeps the
// number of requests far below it.
const maxBackendConns = 1 << 14

// callKey is the key of the request's user value that holds its call.
const callKey = "call"

var (
	errCallCancelled = errors.New("proxy: call cancelled")
	errConnect       = errors.New("proxy: connect")
	errUnframed      = errors.New("proxy: response without a length ended by connection close")
	// errMalformed means that the bytes that arrived are no response, or no more of one.
	errMalformed    = errors.New("proxy: malformed response")
	errBodyTooLarge = errors.New("proxy: body over the size limit")
	errNoEnd        = fmt.Errorf("%w: body without an end", errMalformed)
	errSwitched     = fmt.Errorf("%w: change of protocol", errMalformed)
	errNoFraming    = fmt.Errorf("%w: body without a length or chunks", errMalformed)
)

// IsMalformed reports whether an error means that a backend server sent bytes that are no response.
func IsMalformed(err error) bool { return errors.Is(err, errMalformed) }

// transport sends each request at most once.
//
// The default transport of the client library resends a request when a connection fails,
// for example a pooled connection that the server has closed. The request could then run
// twice although the caller sent it once. RoundTrip therefore always returns false, which
// forbids a retry.
type transport struct{}

// RoundTrip sends the request and reads the response header. The call in the request's
// user values then owns the connection.
func (transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	c, ok := req.UserValue(callKey).(*call)
	if !ok {
		return false, errors.New("proxy: request has no call")
	}
	if err := c.connect(hc); err != nil {
		return false, err
	}
	resp.SkipBody = true // The call reads the body itself.
	if err := c.exchangeHeaders(req, resp); err != nil {
		return false, err
	}
	c.length = resp.Header.ContentLength()
	if hasBody(req, resp.StatusCode()) {
		c.body = newBodyReader(c.reader, c.length)
	}
	return false, nil
}

// connect acquires a pooled connection that may be reused, or opens a new one.
func (c *call) connect(hc *fasthttp.HostClient) error {
	c.host = hc
	why := NoneIdle
	for c.plan.Mode == paths.DirectFirst {
		if time.Until(c.deadline) <= 0 {
			return fasthttp.ErrTimeout
		}
		pooled, err := c.pool.idle(hc)
		if errors.Is(err, errNoIdleConn) {
			break
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errConnect, err)
		}
		if unfit := c.unfitness(hc, pooled.conn); unfit != "" {
			why = unfit
			pooled.release(false)
			continue
		}
		return c.attachAcquired(pooled.conn, pooled.release)
	}
	return c.open(hc, why)
}

// unfitness returns the reason why a pooled connection must not be reused, or "" if it may be.
func (c *call) unfitness(hc *fasthttp.HostClient, conn *backendConn) DialReason {
	unfit := conn.unusableReason(c.zone, c.now())
	if unfit == ServerClosed && conn.hasBytes() {
		c.pool.distrust(hc.Addr, c.now())
	}
	switch {
	case unfit != "":
		return unfit
	case !c.pool.trusts(hc.Addr, c.now()):
		return ServerClosed
	default:
		return conn.carried.unfitness(c.id)
	}
}

// open opens a connection over the paths that the core has planned. One that a peer relays is used for
// this call only: whether its path is still good cannot be seen from here when it is idle.
func (c *call) open(hc *fasthttp.HostClient, why DialReason) error {
	c.recordDial(why)
	limit := min(time.Until(c.deadline), c.dialTimeout)
	if limit <= 0 {
		return fasthttp.ErrTimeout
	}
	opened, err := c.dial(hc.Addr, limit)
	if err != nil {
		return fmt.Errorf("%w: %w", errConnect, err)
	}
	conn := &backendConn{Conn: opened.conn, defaultKeepAlive: c.defaultKeepAlive, now: c.now, openedAt: c.now()}
	if opened.relay != nil {
		c.relay = opened.relayName()
		c.recordDial(Relayed)
		return c.attachAcquired(conn, func(bool) { _ = conn.Close() })
	}
	pooled, err := c.pool.adopt(hc, conn)
	if err != nil {
		return fmt.Errorf("%w: %w", errConnect, err)
	}
	return c.attachAcquired(pooled.conn, pooled.release)
}

// recordDial records the reason why a connection was opened or why opening one was tried.
func (c *call) recordDial(why DialReason) {
	c.dialReason = why
	c.countDial(why)
}

// attachAcquired attaches an acquired connection to the call. The call passes the connection to
// release when it ends.
func (c *call) attachAcquired(conn *backendConn, release func(reuse bool)) error {
	reused := conn.reused()
	if err := c.attach(conn); err != nil {
		release(reused)
		return err
	}
	c.watch.start()
	defer c.watch.pause()
	if err := c.checkProcess(conn); err != nil {
		// Nothing of the request has been sent.
		c.detach()
		release(false)
		return err
	}
	c.watch.endPart()
	conn.written.Store(0)
	c.release = release
	return nil
}

// exchangeHeaders writes the whole request and reads the response up to its body.
func (c *call) exchangeHeaders(req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := c.beginSend(); err != nil {
		return err
	}
	if err := c.conn.SetDeadline(c.deadline); err != nil {
		return fmt.Errorf("proxy: set deadline: %w", err)
	}
	c.recordCarried(req)
	c.watch.wait()
	defer c.watch.pause()
	if err := c.send(req); err != nil {
		return fmt.Errorf("proxy: send: %w", err)
	}
	c.reader = c.host.AcquireReader(c.conn)
	if err := c.readOwnHeader(resp); err != nil {
		return err
	}
	c.watch.progress()
	c.resp = resp
	c.conn.keepAlive = parseKeepAlive(&resp.Header)
	return nil
}

// recordCarried records that the connection carries the request.
func (c *call) recordCarried(req *fasthttp.Request) {
	c.origin.repeated, c.origin.carried = c.conn.carried.has(c.id), c.conn.carried.count()
	c.conn.carried.add(c.id, req.Header.IsHead())
}

// send writes the whole request.
func (c *call) send(req *fasthttp.Request) error {
	c.watch.setSending(true)
	defer c.watch.setSending(false)
	out := c.host.AcquireWriter(c.conn)
	defer c.host.ReleaseWriter(out)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

func isTimeout(err error) bool {
	var netErr net.Error
	// The HTTP library's own error is no net.Error.
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

// newClient returns the client for backend servers.
func newClient(o Options, pool *connPool) *fasthttp.Client {
	return &fasthttp.Client{
		Transport: transport{},
		// The next two settings also prevent resending, in case a later version of the
		// library retries outside its transport.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		MaxConnsPerHost:           maxBackendConns,
		MaxIdleConnDuration:       max(o.BackendIdle, maxKeepAlive),
		ReadBufferSize:            o.MaxHeader,
		DialTimeout:               pool.dial,
	}
}
