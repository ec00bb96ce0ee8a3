// Package proxy moves the bytes of requests and answers between callers and
// backend servers. It decides nothing: it posts events to the core and carries
// out the effects that come back for each request.
package proxy

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Headers of the callers' interface.
const (
	HeaderCustomer   = "Ebonydyke-Customer"
	HeaderChat       = "Ebonydyke-Chat"
	HeaderDeadline   = "Ebonydyke-Deadline-Ms"
	HeaderIdempotent = "Ebonydyke-Idempotent"
	HeaderKey        = "Idempotency-Key"
	HeaderPlacement  = "Ebonydyke-Placement"
	HeaderRequestID  = "Ebonydyke-Request-Id"
	HeaderBackend    = "Ebonydyke-Backend"
	HeaderOutcome    = "Ebonydyke-Outcome"
	HeaderReason     = "Ebonydyke-Reason"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	// effectQueue holds the effects of one request: at most one attempt, one
	// cancel and one final answer wait at a time.
	effectQueue = 4
)

// Server takes callers' requests.
type Server struct {
	post     func(core.Event)
	http     *fasthttp.Server
	client   *fasthttp.Client
	ready    atomic.Bool
	sequence atomic.Uint64
	prefix   string

	mu       sync.Mutex
	requests map[core.RequestID]chan core.Effect
	listener net.Listener
}

// New returns a server that posts its events with post.
func New(post func(core.Event)) *Server {
	s := &Server{
		post:     post,
		client:   newClient(),
		prefix:   strconv.FormatInt(time.Now().UnixNano(), 36),
		requests: make(map[core.RequestID]chan core.Effect),
	}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	s.ready.Store(true)
	return s
}

// Serve takes connections until CloseListener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	return s.http.Serve(l)
}

// SetReady says whether the balancer may send new requests.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// CloseListener stops taking connections.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// Deliver hands an effect to the goroutine of its request. It never blocks.
func (s *Server) Deliver(id core.RequestID, effect core.Effect) {
	s.mu.Lock()
	effects := s.requests[id]
	s.mu.Unlock()
	select {
	case effects <- effect:
	default:
	}
}

func (s *Server) register(id core.RequestID) chan core.Effect {
	effects := make(chan core.Effect, effectQueue)
	s.mu.Lock()
	s.requests[id] = effects
	s.mu.Unlock()
	return effects
}

func (s *Server) forget(id core.RequestID) {
	s.mu.Lock()
	delete(s.requests, id)
	s.mu.Unlock()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrived := core.RequestArrived{
		Request:       s.nextID(),
		Customer:      string(ctx.Request.Header.Peek(HeaderCustomer)),
		Chat:          string(ctx.Request.Header.Peek(HeaderChat)),
		NonIdempotent: string(ctx.Request.Header.Peek(HeaderIdempotent)) == "false",
		Key:           string(ctx.Request.Header.Peek(HeaderKey)),
		Hint:          string(ctx.Request.Header.Peek(HeaderPlacement)),
		Deadline:      deadline(ctx),
	}
	x := &exchange{server: s, ctx: ctx, id: arrived.Request}
	path := string(ctx.Path())
	switch {
	case path == chatPath:
		x.path = chatPath
		arrived.Model = modelOf(ctx.PostBody())
	case strings.HasPrefix(path, servicePrefix):
		name, rest, _ := strings.Cut(path[len(servicePrefix):], "/")
		arrived.Service = name
		x.path = "/" + rest
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	x.run(arrived)
}

func (s *Server) nextID() core.RequestID {
	return core.RequestID(s.prefix + "-" + strconv.FormatUint(s.sequence.Add(1), 36))
}

func deadline(ctx *fasthttp.RequestCtx) time.Time {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderDeadline)))
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

func modelOf(body []byte) string {
	var request struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &request)
	return request.Model
}

// errorBody is the JSON body of an answer that the fleet makes itself.
type errorBody struct {
	Error struct {
		Message string         `json:"message"`
		Type    reason.Outcome `json:"type"`
		Code    reason.Reason  `json:"code"`
	} `json:"error"`
}
