package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Dialect is how the callers and backend servers of a deployment speak: which
// headers say what, and which status a refusal has. It translates and decides
// nothing. Its methods are called from many goroutines.
type Dialect interface {
	// ReadRequest reads a caller's request. The id names it in the logs.
	ReadRequest(ctx *fasthttp.RequestCtx, id core.RequestID, now time.Time) (*Request, *Rejection)
	// WriteAttempt makes the head of a request to a backend server, whose caller's
	// time is over after left. Target and body are set already.
	WriteAttempt(to, from *fasthttp.Request, e *core.SendAttempt, left time.Duration)
	// ReadHead reads the head of a backend server's answer.
	ReadHead(h *fasthttp.ResponseHeader, r *Request, e *core.SendAttempt, now time.Time) Head
	// WriteHead passes the head of a backend server's answer on to the caller.
	WriteHead(to, from *fasthttp.ResponseHeader, r *Request, e *core.SendAttempt)
	// WriteFinal makes the fleet's own final answer.
	WriteFinal(out *fasthttp.Response, r *Request, e *core.Finish)
	// WriteRejection answers a request that cannot be taken.
	WriteRejection(out *fasthttp.Response, id core.RequestID, rejected *Rejection)
	// BrokenEvent is what follows the last event of a stream that ends early, if
	// anything does.
	BrokenEvent(r *Request, e *core.Finish) []byte
	// RetireNotice is what a caller finds that sends a request on an idle connection
	// while this end closes it, if anything.
	RetireNotice() []byte
}

// Request is a caller's request as a dialect understands it.
type Request struct {
	Arrived core.RequestArrived
	// CallerID is the caller's own name for the request, if it gives one.
	CallerID string
	// Target is the path at the backend server with its query, as the caller wrote it.
	Target string
	// Since is the last event that the caller has of an earlier answer that broke.
	Since uint64
	// stream is set on a chat that asks for server-sent events.
	stream bool
}

// target names what the request asks for, in metrics.
func (r *Request) target() string {
	if r.Arrived.Service != "" {
		return r.Arrived.Service
	}
	return r.Arrived.Model
}

// Rejection is a request that cannot be taken, and what to tell its caller.
type Rejection struct {
	Status int
	Why    reason.Reason
	Text   string
}

// Verdict is what the head of an answer means for the attempt.
type Verdict int

// The verdicts.
const (
	// Accepted answers are the backend server's own and go to the caller.
	Accepted Verdict = iota
	// NotStarted is the backend server's word that it did not start the request.
	NotStarted
	// Failure is the backend server's own answer, which says that it failed.
	Failure
	// Foreign is no answer of the backend server's to this request.
	Foreign
)

// Head is what the head of an answer says.
type Head struct {
	Verdict Verdict
	// Load is nil if the answer says nothing of it.
	Load *membership.Report
	// RetryAfter is when a server that did not start the request may be asked again.
	RetryAfter time.Duration
	// Events says that the body is a stream of events.
	Events bool
	// Marked says that the stream's end is marked by an event of its own; else the
	// framing marks it.
	Marked bool
	// StreamID and Incarnation name a stream that can be resumed where it runs.
	StreamID, Incarnation string
	// Whole says that nothing of a body of moderate size goes to the caller before its
	// end has come, so that a cut answer can still be asked for again.
	Whole bool
	// Unframed says that a body without a length ends where the connection is closed
	// in order; else such a body is taken for a cut one.
	Unframed bool
}
