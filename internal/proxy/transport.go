package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
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

// call is one request to a backend server on one connection, with its response.
type call struct {
	resp     *fasthttp.Response
	deadline time.Time
	// unframedEnd is called when an orderly close of the connection ends a response without a length or chunks. It
	// returns io.EOF if the response is whole. If it is nil, no such response is.
	unframedEnd func() error
	// zone records when bytes arrive from the backend server's availability zone.
	zone *zoneActivity
	now  func() time.Time
	// dialReason is the reason why a connection was opened for the call; "" if a pooled
	// connection was reused.
	dialReason DialReason
	// countDial counts the connections that are opened.
	countDial func(DialReason)
	// watch reports silence of the server. It ends nothing.
	watch *silenceWatch
	// dialTimeout limits the time to open a connection, over the paths of plan.
	dialTimeout time.Duration
	plan        core.DialPlan
	// attempt is the number of the request's attempt.
	attempt int
	// process is the process of the server that the request must reach, or nil; processPath is where a
	// server tells its process, and sameProcess compares what it tells.
	process     *core.ProcessCheck
	processPath string
	sameProcess func(body []byte, incarnation uint64) (same, known bool)
	// processCertain is set once the connection is known to lead to process.
	processCertain bool
	dialer         planDialer
	// defaultKeepAlive is the idle timeout of a connection to a server that announces none.
	defaultKeepAlive time.Duration
	pool             *connPool
	// relay is the name of the peer that relays the connection, "" if none does.
	relay string
	// id is the ID that a response to the call names, and responseID reads that of a response.
	id         string
	responseID func(*fasthttp.ResponseHeader) string
	// origin tells where the response comes from, and countResponse counts responses.
	origin        responseOrigin
	countResponse func(Identity)

	host *fasthttp.HostClient
	// release returns the connection to the pool if reuse is set, or closes it.
	release func(reuse bool)
	reader  *bufio.Reader
	// length is the Content-Length of the response, or one of fasthttp's values for a
	// chunked body (-1) and for a body that ends when the connection closes (-2).
	length int
	// body reads the response body, nil if there is none. bodyBytes counts its bytes, at most maxBody.
	body               io.Reader
	bodyBytes, maxBody int64

	mu        sync.Mutex
	conn      *backendConn
	cancelled bool
	// sending is set once the request may be sent, and withdrawn is closed if the call is withdrawn during a dial.
	sending   bool
	withdrawn chan struct{}
}

// attach assigns the connection to the call, so that cancel can reset it.
func (c *call) attach(conn *backendConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return errCallCancelled
	}
	conn.written.Store(0)
	conn.watch = c.watch
	if c.relay == "" {
		conn.zone = c.zone
	}
	c.conn = conn
	return nil
}

// cancel ends the call; any goroutine may call it. It resets the connection instead of
// returning it to the pool, because a late response must not reach another request.
func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.conn != nil {
		c.conn.reset()
	}
}

// detach removes the connection from the call, so that cancel no longer affects it, and
// reports whether the call was not cancelled. It clears the call's deadline, which must
// not apply to the connection's next use.
func (c *call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.conn.SetDeadline(time.Time{})
	c.conn.watch = nil
	c.conn = nil
	return err == nil && !c.cancelled
}

// sent reports whether any byte of the request may have been sent.
func (c *call) sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.conn.written.Load() > 0
}

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

// readHeader reads a response header and finds out which request it names.
func (c *call) readHeader(resp *fasthttp.Response) error {
	if err := c.checkStart(); err != nil {
		return err
	}
	if err := resp.ReadLimitBody(c.reader, 0); err != nil {
		return fmt.Errorf("proxy: read header: %w", c.readError(err))
	}
	c.origin.identity = identityOf(c.responseID(&resp.Header), c.id, c.origin.repeated)
	c.countResponse(c.origin.identity)
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

// responseStart is what each response begins with.
const responseStart = "HTTP/1."

// checkStart reads the first bytes of the response, and returns an error as soon as they are not those of one. The HTTP
// library would wait for a whole header. It also passes over empty lines before one.
func (c *call) checkStart() error {
	for n := 1; n <= len(responseStart); n++ {
		start, err := c.reader.Peek(n)
		if err != nil {
			return fmt.Errorf("proxy: read header: %w", err)
		}
		if start[0] == '\r' || start[0] == '\n' {
			return nil
		}
		if string(start) != responseStart[:n] {
			return fmt.Errorf("%w: %q in place of a header", errMalformed, start)
		}
	}
	return nil
}

// Read reads the response body. It returns io.EOF only at the end that the framing of
// the response marks, or at the close of the connection if unframedEnd allows that; any
// other end is an error.
func (c *call) Read(p []byte) (int, error) {
	if c.body == nil {
		return 0, io.EOF
	}
	if err := c.conn.SetReadDeadline(c.deadline); err != nil {
		return 0, fmt.Errorf("proxy: set deadline: %w", err)
	}
	c.watch.wait()
	n, err := c.body.Read(p)
	c.watch.pause()
	c.bodyBytes += int64(n)
	switch {
	case c.bodyBytes > c.maxBody:
		return n, errBodyTooLarge
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && c.hasFramedEnd():
		return n, io.EOF
	case errors.Is(err, io.EOF) && c.unframedEnd != nil:
		return n, c.unframedEnd()
	case errors.Is(err, io.EOF):
		return n, errUnframed
	default:
		return n, fmt.Errorf("proxy: read response: %w", c.readError(err))
	}
}

// readError returns the error of a failed read of the response. One that the connection has not reported means that the
// bytes that arrived are no response.
func (c *call) readError(err error) error {
	if c.conn.failed() {
		return err
	}
	return fmt.Errorf("%w: %s", errMalformed, err.Error())
}

// hasFramedEnd reports whether the end of the response can be told from a cut connection.
func (c *call) hasFramedEnd() bool { return c.length >= -1 }

// bodyFraming tells how the end of a response's body is marked.
type bodyFraming string

// The framings.
const (
	framedByLength bodyFraming = "length"
	framedByChunks bodyFraming = "chunks"
	framedByClose  bodyFraming = "close"
)

func (c *call) framing() bodyFraming {
	switch {
	case c.length >= 0:
		return framedByLength
	case c.hasFramedEnd():
		return framedByChunks
	default:
		return framedByClose
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// close ends the call. The connection is reused only if the response was read to the end
// that its framing marks and no bytes follow it.
func (c *call) close(whole bool) {
	c.watch.stop()
	if c.release == nil {
		return
	}
	conn := c.conn
	intact := c.detach()
	if !whole {
		conn.reset()
	}
	reuse := whole && intact && c.hasFramedEnd() && c.reader != nil && c.readChunksEnd(conn) &&
		c.resp != nil && !c.resp.ConnectionClose()
	if reuse && c.reader.Buffered() > 0 {
		c.pool.distrust(c.host.Addr, c.now())
	}
	reuse = reuse && c.pool.trusts(c.host.Addr, c.now())
	conn.idleSince = c.now()
	if c.reader != nil {
		c.host.ReleaseReader(c.reader)
	}
	c.release(reuse)
	c.release = nil
}

// readChunksEnd reads the empty line that follows the last chunk, and reports whether it was there. A connection with trailers
// is not reused: they bring nothing that is passed on, and may have no end.
func (c *call) readChunksEnd(conn *backendConn) bool {
	if c.length != chunkedLength || c.body == nil {
		return true
	}
	if err := conn.SetReadDeadline(time.Now().Add(framingEndTimeout)); err != nil {
		return false
	}
	return c.readLineEnd() && conn.SetReadDeadline(time.Time{}) == nil
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
