package proxy

import (
	"encoding/json"
	"fmt"
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

// Limits of the values in a caller's headers.
const (
	maxDeadline = 24 * time.Hour
	maxPriority = 9
	maxName     = 256
)

// Native is the dialect of the fleet's own interface: chat completions by model name,
// and plain services under /services/NAME/.
type Native struct{}

// ReadRequest parses a chat or a request to a plain service.
func (Native) ReadRequest(ctx *fasthttp.RequestCtx, id core.RequestID, now time.Time) (*Request, *Rejection) {
	h := &ctx.Request.Header
	if !h.IsHTTP11() {
		// An HTTP/1.0 response of unknown length ends when the connection closes, so the
		// caller could not tell a truncated response from a whole one.
		return nil, &Rejection{Status: http.StatusHTTPVersionNotSupported, Reason: reason.BadRequest, Message: "HTTP/1.1 is needed"}
	}
	r := &Request{Arrived: core.RequestArrived{
		Request:  id,
		Customer: string(h.Peek(HeaderCustomer)),
		Chat:     string(h.Peek(HeaderChat)),
		Key:      string(h.Peek(HeaderKey)),
		Hint:     string(h.Peek(HeaderPlacement)),
	}}
	if rejected := readNativeHeaders(r, h, now); rejected != nil {
		return nil, rejected
	}
	if rejected := readNativeTarget(r, ctx); rejected != nil {
		return nil, rejected
	}
	return r, nil
}

// readNativeHeaders parses and validates the fleet's headers. It rejects a request with
// an invalid header: to assume that a request is idempotent although its caller meant
// the opposite could run the request twice.
func readNativeHeaders(r *Request, h *fasthttp.RequestHeader, now time.Time) *Rejection {
	for _, name := range []string{HeaderCustomer, HeaderChat, HeaderKey} {
		if len(h.Peek(name)) > maxName {
			return BadRequestf("%s is longer than %d bytes", name, maxName)
		}
	}
	switch text := string(h.Peek(HeaderIdempotent)); text {
	case "", "true":
	case "false":
		r.Arrived.NonIdempotent = true
	default:
		return BadRequestf("%s: %q, expected true or false", HeaderIdempotent, text)
	}
	if text := string(h.Peek(HeaderPriority)); text != "" {
		if n, err := strconv.Atoi(text); err != nil || n < 0 || n > maxPriority {
			return BadRequestf("%s: %q, expected 0 to %d", HeaderPriority, text, maxPriority)
		}
	}
	if text := string(h.Peek(HeaderDeadline)); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 || ms > int(maxDeadline/time.Millisecond) {
			return BadRequestf("%s: %q, expected milliseconds above 0", HeaderDeadline, text)
		}
		r.Arrived.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

func readNativeTarget(r *Request, ctx *fasthttp.RequestCtx) *Rejection {
	// The path is forwarded unchanged: decoding it here could turn a part of it into a
	// query or a different path at the backend server.
	path := string(ctx.URI().PathOriginal())
	if path == chatPath {
		return readChat(r, ctx)
	}
	rest, ok := strings.CutPrefix(path, servicePrefix)
	if !ok {
		return &Rejection{Status: http.StatusNotFound, Reason: reason.UnknownService, Message: "no such path"}
	}
	name, target, _ := strings.Cut(rest, "/")
	if name == "" {
		return BadRequestf("the path names no service")
	}
	r.Arrived.Service = name
	r.Target = "/" + target + rawQuery(ctx)
	return nil
}

// rawQuery returns the query as received, with its question mark, or "".
func rawQuery(ctx *fasthttp.RequestCtx) string {
	_, query, found := strings.Cut(string(ctx.RequestURI()), "?")
	if !found {
		return ""
	}
	return "?" + query
}

func readChat(r *Request, ctx *fasthttp.RequestCtx) *Rejection {
	if !ctx.IsPost() {
		return &Rejection{Status: http.StatusMethodNotAllowed, Reason: reason.BadRequest, Message: "a chat is sent by POST"}
	}
	var chat struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &chat); err != nil {
		return BadRequestf("the body is no JSON of a chat: %v", err)
	}
	if chat.Model == "" {
		return BadRequestf("the body names no model")
	}
	r.Arrived.Model = chat.Model
	r.Target = chatPath + rawQuery(ctx)
	r.stream = chat.Stream
	return nil
}

// WriteAttempt copies the caller's headers without hop-by-hop headers and headers that
// are meant for the fleet.
func (Native) WriteAttempt(to, from *fasthttp.Request, e *core.SendAttempt, _ time.Duration) {
	copyRequestHeaders(&to.Header, &from.Header)
	to.Header.Set(HeaderRequestID, string(e.Request))
}

// AttemptID returns the fleet's ID of the request.
func (Native) AttemptID(_ *Request, e *core.SendAttempt) string { return string(e.Request) }

// ResponseID returns the ID that a backend server has echoed.
func (Native) ResponseID(h *fasthttp.ResponseHeader) string { return string(h.Peek(HeaderAnswers)) }

// NamesAllResponses returns false: to name the request is optional.
func (Native) NamesAllResponses() bool { return false }

// ReadHead accepts every response except one which states that the backend server did
// not start the request: backend servers of this interface mark no other kind.
func (Native) ReadHead(h *fasthttp.ResponseHeader, r *Request, e *core.SendAttempt, now time.Time) Head {
	head := Head{
		Load:      parseLoad(e.Backend, h, now),
		Events:    r.stream && isEventStream(h),
		EndMarked: true,
	}
	if notStarted(h) {
		head.Verdict = NotStarted
		head.RetryAfter = ParseRetryAfter(h)
		return head
	}
	if head.Events {
		head.StreamID = string(h.Peek(HeaderStreamID))
		head.Incarnation = string(h.Peek(HeaderIncarnation))
	}
	return head
}

// WriteHead copies the header and adds the fleet's own headers.
func (Native) WriteHead(to, from *fasthttp.ResponseHeader, _ *Request, e *core.SendAttempt) {
	copyResponseHeaders(to, from)
	to.Set(HeaderRequestID, string(e.Request))
	to.Set(HeaderBackend, e.Backend)
	to.Set(HeaderOutcome, string(reason.Answered))
	to.Set(HeaderPlacement, e.Placement)
}

// WriteFinal reports the outcome and its reason in headers and body.
func (Native) WriteFinal(out *fasthttp.Response, _ *Request, e *core.Finish) {
	out.SetStatusCode(nativeStatus(e))
	out.Header.SetContentType("application/json")
	out.Header.Set(HeaderRequestID, string(e.Request))
	out.Header.Set(HeaderOutcome, string(e.Outcome))
	out.Header.Set(HeaderReason, string(e.Reason))
	if e.First != "" {
		out.Header.Set(HeaderFirst, e.First)
	}
	if e.RetryAfter > 0 {
		out.Header.Set("Retry-After", ceilSeconds(e.RetryAfter))
	}
	out.SetBodyRaw(encodeError(errorMessage(e), e.Outcome, e.Reason))
}

// statusCallerGone is only logged, because the caller has disconnected.
const statusCallerGone = 499

// nativeStatus returns the status code of a final response.
func nativeStatus(e *core.Finish) int {
	switch {
	case e.Outcome == reason.Duplicate:
		return http.StatusConflict
	case e.Reason == reason.CallerGone:
		return statusCallerGone
	case e.Reason == reason.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case e.Outcome == reason.Unknown:
		return http.StatusBadGateway
	case e.Reason == reason.UnknownCustomer:
		return http.StatusForbidden
	default:
		return RefusalStatus(e.Reason)
	}
}

// RefusalStatus returns the status code of a refusal that does not depend on the dialect.
func RefusalStatus(why reason.Reason) int {
	switch why {
	case reason.UnknownService, reason.UnknownRoute:
		return http.StatusNotFound
	case reason.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case reason.TooLarge:
		return http.StatusRequestEntityTooLarge
	case reason.CustomerLimit, reason.CustomerShare:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteRejection writes the response to a request that did not reach the core.
func (Native) WriteRejection(out *fasthttp.Response, id core.RequestID, rejected *Rejection) {
	out.SetStatusCode(rejected.Status)
	out.Header.SetContentType("application/json")
	out.Header.Set(HeaderRequestID, string(id))
	out.Header.Set(HeaderOutcome, string(reason.NotRun))
	out.Header.Set(HeaderReason, string(rejected.Reason))
	if rejected.RetryAfter > 0 {
		out.Header.Set("Retry-After", ceilSeconds(rejected.RetryAfter))
	}
	out.SetBodyRaw(encodeError(rejected.Message, reason.NotRun, rejected.Reason))
}

// ProcessPath returns "": engines name their process in each response, and a broken stream goes on at
// the same one only.
func (Native) ProcessPath() string { return "" }

// SameProcess reports that nothing is known.
func (Native) SameProcess([]byte, uint64) (same, known bool) { return false, false }

// BrokenEvent returns the error event that ends an incomplete stream. Callers that do
// not parse events detect the incomplete stream by the missing final chunk.
func (Native) BrokenEvent(_ *Request, e *core.Finish) []byte {
	text := encodeError(errorMessage(e), e.Outcome, e.Reason)
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", text)
}

// retireNotice is the response to a request that crosses the close of an idle
// connection. A caller without an outstanding request treats it as a closed connection,
// as RFC 9110 specifies for status 408.
const retireNotice = "HTTP/1.1 408 Request Timeout\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n" +
	HeaderOutcome + ": not-run\r\n" + HeaderReason + ": stopping\r\nRetry-After: 1\r\n\r\n"

// RetireNotice returns a response which states that the request did not run.
func (Native) RetireNotice() []byte { return []byte(retireNotice) }

// notStarted reports whether the response states that the backend server did not start
// the request. Only the explicit header counts: a plain 503 may come from a server that
// failed while processing the request, so it is passed to the caller.
func notStarted(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() >= fasthttp.StatusBadRequest && string(h.Peek(HeaderNotStarted)) == "true"
}

func errorMessage(e *core.Finish) string {
	return fmt.Sprintf("request %s: %s: %s", e.Request, e.Outcome, e.Reason)
}

// errorBody is the JSON body of a response that the fleet itself generates.
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
