package proxy

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
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
	// namesAll is set if the server names the request in each response to one.
	namesAll bool
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
