// Package proxy forwards requests and responses between callers and backend servers.
// It makes no routing decisions: it posts events to the core and executes the effects
// that the core returns for each request.
package proxy

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// drainInterval is the interval at which a stopping server checks for idle connections.
const drainInterval = 20 * time.Millisecond

// Server accepts callers' requests and forwards them to backend servers.
type Server struct {
	post     func(core.Event)
	options  Options
	http     *fasthttp.Server
	backends *fasthttp.Client
	pool     *connPool
	zones    *zoneActivities
	// activities holds what backend servers with attempts in progress send.
	activities *backendActivities
	engine     *engineClient
	ends       endChecker
	limits     callerLimits
	// bodies bounds the memory for the bodies of requests.
	bodies *bodyBudget
	// chunkBuffers holds the buffers for bodies in chunks.
	chunkBuffers readerPool
	// notReady is set while the load balancer must not send new requests.
	notReady atomic.Bool
	// lastRequestID and requestIDPrefix form the request IDs.
	lastRequestID   atomic.Uint64
	log             *logQueue
	requestIDPrefix string

	mu        sync.Mutex
	exchanges map[core.RequestID]*exchange
	conns     map[*callerConn]struct{}
	listener  net.Listener
	closing   bool
	// closeAtOnce is set once the listener closes whether or not connections still arrive.
	closeAtOnce bool
	// roomMadeAt is when idle connections were last searched for.
	roomMadeAt time.Time
	// lastAccept is the time of the last new connection.
	lastAccept time.Time
	// acceptFailureLogged is when an error of the accept loop was last logged. Only that loop uses it.
	acceptFailureLogged time.Time
	// acceptEnded is set once the accept loop has ended.
	acceptEnded bool
}

// New returns a server that posts its events to the core with post.
func New(post func(core.Event), o Options) *Server {
	o.setDefaults()
	log := newLogQueue()
	pool := &connPool{}
	s := &Server{
		post:            post,
		options:         o,
		backends:        newClient(o, pool),
		pool:            pool,
		zones:           newZoneActivities(),
		activities:      newBackendActivities(),
		ends:            endChecker{countDial: o.Metrics.Dialled, relays: o.Relays, connect: connectOnce},
		engine:          newEngineClient(o, log),
		requestIDPrefix: strconv.FormatInt(time.Now().UnixNano(), 36),
		log:             log,
		bodies:          newBodyBudget(o.MaxBodies),
		exchanges:       make(map[core.RequestID]*exchange),
		conns:           make(map[*callerConn]struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.rejectUnreadable,
		ConnState:                    connState,
		HeaderReceived:               s.headerReceived,
		ReadBufferSize:               o.MaxHeader,
		ReadTimeout:                  o.ReadTimeout,
		IdleTimeout:                  o.CallerIdle,
		NoDefaultServerHeader:        true,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger discards the log lines of the HTTP library: they contain callers'
// addresses and repeat what rejectUnreadable logs.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}

func connState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.markBusy()
		c.beginRequest()
	case fasthttp.StateIdle:
		c.state.answered()
		c.markIdle()
	default:
	}
}

// Serve accepts connections until CloseListener closes the listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closing := s.closing
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.acceptEnded = true
	}()
	if closing {
		return l.Close()
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.sweepIdle(stop)
	return s.http.Serve(callerListener{Listener: l, server: s})
}

// BodyBytes returns the number of bytes that the bodies of requests take.
func (s *Server) BodyBytes() int64 { return s.bodies.Held() }

// SetReady sets whether the load balancer may send new requests. While it may not,
// every response asks the caller to close the connection.
func (s *Server) SetReady(ready bool) { s.notReady.Store(!ready) }

// Drain waits until the listener and the last connection are closed. Requests in
// progress, and requests that still arrive on open connections, are served without a
// time limit. Only a connection that has been idle for DrainIdle is closed by the server.
func (s *Server) Drain() {
	for !s.closeIdle() {
		time.Sleep(drainInterval)
	}
}

// closeIdle retires idle connections and reports whether the accept loop has ended and
// no connection is left.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idleBefore := time.Now().Add(-s.options.DrainIdle)
	for c := range s.conns {
		c.retire(idleBefore)
	}
	return s.acceptEnded && len(s.conns) == 0
}

// connOpened registers a new connection. It returns false if MaxConns is reached.
func (s *Server) connOpened(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAccept = time.Now()
	if len(s.conns) >= s.nearLimit() {
		s.closeLongestIdle(max(1, s.options.MaxConns/roomShare/2))
	}
	if len(s.conns) >= s.options.MaxConns {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) connClosed(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Deliver passes an effect to the goroutine of its request. It never blocks.
func (s *Server) Deliver(id core.RequestID, effect core.Effect) {
	s.mu.Lock()
	x := s.exchanges[id]
	s.mu.Unlock()
	switch e := effect.(type) {
	case core.SendAttempt:
		if e.RetryReason != reason.None {
			s.options.Metrics.Retried(e.RetryReason)
		}
		s.logAttempt(&e)
	case core.Finish:
		s.recordFinish(&e, "")
	}
	if x != nil {
		x.deliver(effect)
	}
}

// Log queues a log line without blocking. If the queue is full, the line is dropped and
// counted.
func (s *Server) Log(text string, keysAndValues ...any) { s.log.put(text, keysAndValues...) }

// logAttempt logs the backend server selected for an attempt and the inputs of the
// selection.
func (s *Server) logAttempt(e *core.SendAttempt) {
	b := &e.Selection
	s.log.put("attempt", "request", e.Request, "attempt", e.Attempt, "backend", e.Backend, "version", e.Version, "address", e.Address,
		"why", e.RetryReason, "customer", e.Customer, "leftMs", e.Deadline.Sub(s.options.Now()).Milliseconds(),
		"resumeAfter", e.ResumeAfter, "continues", e.Continues, "basis", e.ContinuationBasis, "source", e.Source, "generation", b.Generation, "revision", b.Revision,
		"session", b.Session, "load", b.Load, "own", b.Parts.Own, "peers", b.Parts.Peers, "unseen", b.Parts.Unseen,
		"average", b.Parts.Average, "mean", b.Mean, "limit", b.Limit, "reportAgeMs", ageMillis(b.ReportAge),
		"waitedMs", b.Waited.Milliseconds(), "content", hexContent(e.Content), "dial", e.Dial.Mode,
		"permitIssuer", b.PermitIssuer)
}

// hexContent returns a request's content hash as it is logged, "" if there is none.
func hexContent(content uint64) string {
	if content == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", content)
}

// ageMillis returns age in milliseconds, or -1 if there is no report (a negative age).
// Rounding a negative age could yield 0, which means a report of this moment.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// recordFinish counts and logs a final response that the fleet itself generated.
func (s *Server) recordFinish(e *core.Finish, detail string) {
	s.options.Metrics.Refused(e.Reason)
	s.log.put("request refused or failed", "request", e.Request, "outcome", e.Outcome,
		"reason", e.Reason, "customer", e.Customer, "service", e.Service,
		"backend", e.Backend, "attempt", e.Attempt, "retryAfterMs", e.RetryAfter.Milliseconds(),
		"passedOn", e.ForwardFailure, "load", e.Utilization.Load, "capacity", e.Utilization.Capacity, "servers", e.Utilization.Servers,
		"generation", e.Generation, "detail", detail, "content", hexContent(e.Content), "continues", e.Continues, "waiting", e.Waiting, "queuedMs", e.Queued.Milliseconds())
}

// connDeadline converts a time of the core's clock to a connection deadline. The result has
// a monotonic clock reading, so steps of the wall clock do not move it.
func (s *Server) connDeadline(t time.Time) time.Time {
	return time.Now().Add(t.Sub(s.options.Now()))
}

func (s *Server) register(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[x.id] = x
}

func (s *Server) unregister(id core.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, id)
}

func (s *Server) nextID() core.RequestID {
	return core.RequestID(s.requestIDPrefix + "-" + strconv.FormatUint(s.lastRequestID.Add(1), 36))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*callerConn); ok {
		grant := bodyGrant{budget: s.bodies}
		defer grant.release()
		if err := c.readBody(&ctx.Request, s.maxBody(), &grant); err != nil {
			s.rejectUnreadable(ctx, err)
			ctx.SetConnectionClose()
			return
		}
		c.pipelined = len(c.readAhead) > 0
		c.state.process(nil)
	}
	s.respond(ctx)
	s.announceClose(ctx)
}

// respond processes a request up to the first byte of its response.
func (s *Server) respond(ctx *fasthttp.RequestCtx) {
	id := s.nextID()
	now := s.options.Now()
	request, rejected := s.options.Dialect.ReadRequest(ctx, id, now)
	if rejected != nil {
		s.reject(ctx, id, rejected)
		return
	}
	request.Arrived.ReadAt = now
	request.Arrived.HeaderBytes = headerBytes(&ctx.Request.Header)
	request.Arrived.BodyBytes = len(ctx.Request.Body())
	request.Arrived.Content = contentHash(&ctx.Request, request)
	x := newExchange(s, ctx, request)
	x.run()
}
