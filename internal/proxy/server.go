// Package proxy moves the bytes of requests and answers between callers and
// backend servers. It decides nothing: it posts events to the core and carries
// out the effects that come back for each request.
package proxy

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// drainInterval is how often a stopping server looks for idle connections.
const drainInterval = 20 * time.Millisecond

// Server takes callers' requests.
type Server struct {
	post     func(core.Event)
	options  Options
	http     *fasthttp.Server
	backends *fasthttp.Client
	zones    *zoneContacts
	engine   *engineClient
	leaving  atomic.Bool
	sequence atomic.Uint64
	log      *logQueue
	prefix   string

	mu        sync.Mutex
	exchanges map[core.RequestID]*exchange
	conns     map[*callerConn]struct{}
	listener  net.Listener
	closing   bool
	// lastOpened is when the last connection came.
	lastOpened time.Time
	// served is set once the accept loop has ended.
	served bool
}

// New returns a server that posts its events with post.
func New(post func(core.Event), o Options) *Server {
	o.fill()
	log := newLogQueue()
	s := &Server{
		post:      post,
		options:   o,
		backends:  newClient(o),
		zones:     newZoneContacts(),
		engine:    newEngineClient(o, log),
		prefix:    strconv.FormatInt(time.Now().UnixNano(), 36),
		log:       log,
		exchanges: make(map[core.RequestID]*exchange),
		conns:     make(map[*callerConn]struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.badRequest,
		ConnState:                    connState,
		MaxRequestBodySize:           o.MaxBody,
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

// discardLogger drops the library's own lines: they hold callers' addresses and
// repeat what badRequest logs.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

func connState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.busy()
	case fasthttp.StateIdle:
		c.rest()
	default:
	}
}

// Serve takes connections until CloseListener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closing := s.closing
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.served = true
	}()
	if closing {
		return l.Close()
	}
	return s.http.Serve(callerListener{Listener: l, server: s})
}

// SetReady says whether the balancer may send new requests. While it may not,
// every answer asks its caller to close the connection.
func (s *Server) SetReady(ready bool) { s.leaving.Store(!ready) }

// CloseListener stops taking connections once none has come for AcceptQuiet. Open
// ones go on. It returns when the listener is closed.
//
// Closing a listener resets the connections that the kernel has taken and this
// process has not: the balancer reads a reset for an answer to a request that
// nobody read. New connections show that it still sends here.
func (s *Server) CloseListener() {
	s.mu.Lock()
	s.closing = true
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	for begun := time.Now(); !s.quiet(begun); {
		time.Sleep(drainInterval)
	}
	_ = l.Close()
	go s.Drain()
}

// quiet tells whether no connection has come for long enough, or connections have
// come for so long that somebody sends here whatever the balancer says.
func (s *Server) quiet(begun time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(begun) > s.options.AcceptMax {
		klog.InfoS("listener closed while connections still come", "waited", s.options.AcceptMax)
		return true
	}
	return time.Since(s.lastOpened) >= s.options.AcceptQuiet
}

// Drain waits until the listener and the last connection are closed. Requests in
// progress and those that still arrive on open connections are served; no timer cuts
// one. Only a connection that has been silent for DrainIdle is closed from this end.
func (s *Server) Drain() {
	for !s.closeIdle() {
		time.Sleep(drainInterval)
	}
}

// closeIdle retires the connections that are silent and tells whether none is left.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := time.Now().Add(-s.options.DrainIdle)
	for c := range s.conns {
		c.retire(silent)
	}
	return s.served && len(s.conns) == 0
}

// connOpened takes a new connection in, if there is a place for it.
func (s *Server) connOpened(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOpened = time.Now()
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

// Deliver hands an effect to the goroutine of its request. It never blocks.
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
		s.record(&e, "")
	}
	if x != nil {
		x.deliver(effect)
	}
}

// Log writes a line without holding up the caller; lines beyond what can be written
// are dropped and counted.
func (s *Server) Log(text string, keysAndValues ...any) { s.log.put(text, keysAndValues...) }

// logAttempt tells where a request goes and what that choice rested on.
func (s *Server) logAttempt(e *core.SendAttempt) {
	b := &e.Selection
	s.log.put("attempt", "request", e.Request, "attempt", e.Attempt, "backend", e.Backend, "address", e.Address,
		"why", e.RetryReason, "customer", e.Customer, "leftMs", e.Deadline.Sub(s.options.Now()).Milliseconds(),
		"resumeAfter", e.ResumeAfter, "source", e.Source, "generation", b.Generation, "revision", b.Revision,
		"session", b.Session, "load", b.Load, "own", b.Parts.Own, "peers", b.Parts.Peers, "unseen", b.Parts.Unseen,
		"average", b.Parts.Average, "mean", b.Mean, "limit", b.Limit, "reportAgeMs", ageMillis(b.ReportAge),
		"waitedMs", b.Waited.Milliseconds())
}

// ageMillis is -1 for what has no age. Rounded, it would say that it is of this moment.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// record counts and logs a final answer of the fleet's own.
func (s *Server) record(e *core.Finish, detail string) {
	s.options.Metrics.Refused(e.Reason)
	s.log.put("request ended without an answer", "request", e.Request, "outcome", e.Outcome,
		"reason", e.Reason, "customer", e.Customer, "service", e.Service,
		"backend", e.Backend, "attempt", e.Attempt, "retryAfterMs", e.RetryAfter.Milliseconds(),
		"passedOn", e.ForwardFailure, "load", e.Utilization.Load, "capacity", e.Utilization.Capacity, "servers", e.Utilization.Servers,
		"detail", detail)
}

// localTime gives a time of the core's clock as one that a connection's deadline can
// be set to: with the steady clock's reading, which no step of the time of day moves.
func (s *Server) localTime(t time.Time) time.Time {
	return time.Now().Add(t.Sub(s.options.Now()))
}

func (s *Server) register(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[x.id] = x
}

func (s *Server) forget(id core.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, id)
}

func (s *Server) nextID() core.RequestID {
	return core.RequestID(s.prefix + "-" + strconv.FormatUint(s.sequence.Add(1), 36))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.leaving.Load() {
		ctx.SetConnectionClose()
	}
	id := s.nextID()
	request, rejected := s.options.Dialect.ReadRequest(ctx, id, s.options.Now())
	if rejected != nil {
		s.reject(ctx, id, rejected)
		return
	}
	request.Arrived.HeaderBytes = headerBytes(&ctx.Request.Header)
	request.Arrived.BodyBytes = len(ctx.Request.Body())
	x := newExchange(s, ctx, request)
	x.run()
}
