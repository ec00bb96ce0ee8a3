package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
)

// Limits of what a caller may say in its headers.
const (
	maxDeadline = 24 * time.Hour
	maxPriority = 9
	maxName     = 256
)

// parsedRequest is a caller's request as the proxy understands it.
type parsedRequest struct {
	arrived core.RequestArrived
	// path is the path at the backend server.
	path string
	// stream is set on a chat that asks for server-sent events.
	stream bool
}

// badInput is a request that cannot be taken, and what to tell its caller.
type badInput struct {
	status int
	why    reason.Reason
	text   string
}

func badRequestf(format string, args ...any) *badInput {
	return &badInput{status: http.StatusBadRequest, why: reason.BadRequest, text: fmt.Sprintf(format, args...)}
}

func (s *Server) parse(ctx *fasthttp.RequestCtx, id core.RequestID) (*parsedRequest, *badInput) {
	h := &ctx.Request.Header
	if !h.IsHTTP11() {
		// An HTTP/1.0 answer of unknown length ends with its connection, so its
		// caller could not tell a cut answer from a whole one.
		return nil, &badInput{http.StatusHTTPVersionNotSupported, reason.BadRequest, "HTTP/1.1 is needed"}
	}
	p := &parsedRequest{arrived: core.RequestArrived{
		Request:  id,
		Customer: string(h.Peek(HeaderCustomer)),
		Chat:     string(h.Peek(HeaderChat)),
		Key:      string(h.Peek(HeaderKey)),
		Hint:     string(h.Peek(HeaderPlacement)),
	}}
	if refused := p.readHeaders(h, s.options.Now()); refused != nil {
		return nil, refused
	}
	if refused := p.readTarget(ctx); refused != nil {
		return nil, refused
	}
	return p, nil
}

// readHeaders reads the headers that have a form of their own. One that cannot be
// read is refused: to guess "idempotent" where a caller meant to say otherwise
// could run its request twice.
func (p *parsedRequest) readHeaders(h *fasthttp.RequestHeader, now time.Time) *badInput {
	for _, name := range []string{HeaderCustomer, HeaderChat, HeaderKey} {
		if len(h.Peek(name)) > maxName {
			return badRequestf("%s is longer than %d bytes", name, maxName)
		}
	}
	switch text := string(h.Peek(HeaderIdempotent)); text {
	case "", "true":
	case "false":
		p.arrived.NonIdempotent = true
	default:
		return badRequestf("%s: %q, expected true or false", HeaderIdempotent, text)
	}
	if text := string(h.Peek(HeaderPriority)); text != "" {
		if n, err := strconv.Atoi(text); err != nil || n < 0 || n > maxPriority {
			return badRequestf("%s: %q, expected 0 to %d", HeaderPriority, text, maxPriority)
		}
	}
	if text := string(h.Peek(HeaderDeadline)); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 || ms > int(maxDeadline/time.Millisecond) {
			return badRequestf("%s: %q, expected milliseconds above 0", HeaderDeadline, text)
		}
		p.arrived.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

func (p *parsedRequest) readTarget(ctx *fasthttp.RequestCtx) *badInput {
	// The path goes on as it came: decoding it here could turn a part of it into
	// a query or another path at the backend server.
	path := string(ctx.URI().PathOriginal())
	if path == chatPath {
		return p.readChat(ctx)
	}
	rest, ok := strings.CutPrefix(path, servicePrefix)
	if !ok {
		return &badInput{http.StatusNotFound, reason.UnknownService, "no such path"}
	}
	name, target, _ := strings.Cut(rest, "/")
	if name == "" {
		return badRequestf("the path names no service")
	}
	p.arrived.Service = name
	p.path = "/" + target
	return nil
}

func (p *parsedRequest) readChat(ctx *fasthttp.RequestCtx) *badInput {
	if !ctx.IsPost() {
		return &badInput{http.StatusMethodNotAllowed, reason.BadRequest, "a chat is sent by POST"}
	}
	var chat struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &chat); err != nil {
		return badRequestf("the body is no JSON of a chat: %v", err)
	}
	if chat.Model == "" {
		return badRequestf("the body names no model")
	}
	p.arrived.Model = chat.Model
	p.path = chatPath
	p.stream = chat.Stream
	return nil
}

// errorBody is the JSON body of an answer that the fleet makes itself.
type errorBody struct {
	Error struct {
		Message string         `json:"message"`
		Type    reason.Outcome `json:"type"`
		Code    reason.Reason  `json:"code"`
	} `json:"error"`
}

func encodeError(message string, outcome reason.Outcome, why reason.Reason) []byte {
	var body errorBody
	body.Error.Message = message
	body.Error.Type = outcome
	body.Error.Code = why
	text, _ := json.Marshal(body)
	return text
}

// refuse answers a request that never reached the core.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, id core.RequestID, b *badInput) {
	s.record(core.Finish{
		Request:  id,
		Customer: string(ctx.Request.Header.Peek(HeaderCustomer)),
		Status:   b.status,
		Outcome:  reason.NotRun,
		Reason:   b.why,
	})
	out := &ctx.Response
	out.SetStatusCode(b.status)
	out.Header.SetContentType("application/json")
	out.Header.Set(HeaderRequestID, string(id))
	out.Header.Set(HeaderOutcome, string(reason.NotRun))
	out.Header.Set(HeaderReason, string(b.why))
	out.SetBodyRaw(encodeError(b.text, reason.NotRun, b.why))
}

// badRequest answers what the HTTP library could not read. The library closes the
// connection afterwards, for where the next request begins is not known.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	b := badRequestf("the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		b = &badInput{http.StatusRequestHeaderFieldsTooLarge, reason.TooLarge, "the header is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		b = &badInput{http.StatusRequestEntityTooLarge, reason.TooLarge, "the body is too large"}
	case isTimeout(err):
		b = &badInput{http.StatusRequestTimeout, reason.BadRequest, "the request came too slowly"}
	}
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.leaveUnread()
	}
	s.refuse(ctx, s.nextID(), b)
}

// seconds rounds up, so that nobody comes back too early.
func seconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// service names the request's target in metrics.
func (p *parsedRequest) service() string {
	if p.arrived.Service != "" {
		return p.arrived.Service
	}
	return p.arrived.Model
}
