package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Dialect translates between the core and the HTTP conventions of a deployment's
// callers and backend servers, such as header names and the status codes of refusals.
// It makes no decisions. Its methods must be safe for concurrent use.
type Dialect interface {
	// ReadRequest parses a caller's request. The id identifies it in the logs.
	ReadRequest(ctx *fasthttp.RequestCtx, id core.RequestID, now time.Time) (*Request, *Rejection)
	// WriteAttempt writes the headers of a request to a backend server. The caller's
	// deadline expires after remaining. The proxy sets the target and the body.
	WriteAttempt(to, from *fasthttp.Request, e *core.SendAttempt, remaining time.Duration)
	// AttemptID returns the ID by which a response names the request of an attempt, and ResponseID the ID that a response
	// names, "" if it names none.
	AttemptID(r *Request, e *core.SendAttempt) string
	ResponseID(h *fasthttp.ResponseHeader) string
	// NamesAllResponses reports whether backend servers name the request in each response to one.
	NamesAllResponses() bool
	// ReadHead interprets the header of a backend server's response.
	ReadHead(h *fasthttp.ResponseHeader, r *Request, e *core.SendAttempt, now time.Time) Head
	// WriteHead writes the response header for the caller from that of a backend server.
	WriteHead(to, from *fasthttp.ResponseHeader, r *Request, e *core.SendAttempt)
	// ProcessPath returns the path at which a backend server tells which process it is, "" if servers
	// do not tell. SameProcess reports whether the body of its answer is that of the process with the
	// given incarnation; known is false if it does not tell.
	ProcessPath() string
	SameProcess(body []byte, incarnation uint64) (same, known bool)
	// WriteFinal writes a final response that the fleet itself generates.
	WriteFinal(out *fasthttp.Response, r *Request, e *core.Finish)
	// WriteRejection writes the response to a request that the dialect or the HTTP
	// server rejected before it reached the core.
	WriteRejection(out *fasthttp.Response, id core.RequestID, rejected *Rejection)
	// BrokenEvent returns the event that ends a stream which broke off early, or nil if
	// the dialect has no such event.
	BrokenEvent(r *Request, e *core.Finish) []byte
	// RetireNotice returns the bytes that the proxy writes on an idle connection before
	// it closes the connection, or nil for none. A caller whose request crosses the close
	// receives them as the response.
	RetireNotice() []byte
}

// Request is a caller's request as parsed by a dialect.
type Request struct {
	Arrived core.RequestArrived
	// CallerID is the request ID that the caller assigned, if any.
	CallerID string
	// Target is the path and query for the backend server, as the caller sent them.
	Target string
	// LastEventID is the number of the last event that the caller received of an earlier,
	// broken response.
	LastEventID uint64
	// stream is set if a chat requests server-sent events.
	stream bool
}

// target returns the service or model name that metrics use for the request.
func (r *Request) target() string {
	if r.Arrived.Service != "" {
		return r.Arrived.Service
	}
	return r.Arrived.Model
}

// Rejection describes why a request was rejected and how to respond to its caller.
type Rejection struct {
	Status  int
	Reason  reason.Reason
	Message string
	// RetryAfter is when the caller may come back, 0 if it should not.
	RetryAfter time.Duration
}

// Verdict classifies the response of a backend server by its header.
type Verdict int

// The verdicts.
const (
	// Accepted responses come from the backend server and are passed to the caller.
	Accepted Verdict = iota
	// NotStarted responses state that the backend server did not start the request.
	NotStarted
	// Failure responses come from the backend server and report that it failed.
	Failure
	// Mismatched responses are not the backend server's response to this request.
	Mismatched
)

// Head is the header of a backend server's response as interpreted by a dialect.
type Head struct {
	Verdict Verdict
	// Load is nil if the response does not report the load.
	Load *membership.Report
	// RetryAfter is the delay after which a server that did not start the request may
	// be tried again.
	RetryAfter time.Duration
	// Events is set if the body is a stream of server-sent events.
	Events bool
	// EndMarked is set if an event marks the end of the stream; otherwise the HTTP framing
	// marks it.
	EndMarked bool
	// StreamID and Incarnation identify a stream that can be resumed at its engine.
	StreamID, Incarnation string
	// BufferBody is set if a body of moderate size is buffered to its end before any of it is
	// sent to the caller, so that a truncated response can still be retried.
	BufferBody bool
	// RejectionLimit is the number of requests that the server can reject within a second without
	// failing, or 0 if it announces none.
	RejectionLimit int
	// AllowUnframed is set if an orderly close of the connection ends a body without a
	// length; otherwise such a body is treated as truncated.
	AllowUnframed bool
}
