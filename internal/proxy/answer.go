package proxy

import (
	"errors"
	"io"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// maxDialDoublings bounds how often the dial timeout is doubled. The first attempt
	// of a request has a short timeout, because another server most likely responds
	// sooner; if the whole network is slow, later attempts have enough time.
	maxDialDoublings = 3
	// wholeBody is the size limit in bytes up to which a response is buffered whole
	// before the caller receives its first byte, so that a truncated response can
	// still be retried.
	wholeBody  = 64 << 10
	copyBuffer = 4096
	// endWait limits the wait for the end of the HTTP framing after the stream's
	// end mark.
	endWait = 100 * time.Millisecond
	// maxRefusalBody limits the bytes that are read from the body of a refusal so
	// that its connection can be reused.
	maxRefusalBody = 4096
)

const eventStream = "text/event-stream"

var (
	errStreamLost = errors.New("proxy: engine no longer holds the stream")
	errRefused    = errors.New("proxy: request refused by the backend server")
	errFailed     = errors.New("proxy: backend server returned a failure")
	errForeign    = errors.New("proxy: response does not belong to this request")
)

// stream identifies a resumable stream of one incarnation of an engine.
type stream struct {
	address     string
	id          string
	incarnation string
}

// answer is the response to one request, across all of its attempts. The HTTP
// library reads the body for the caller from it.
type answer struct {
	exchange *exchange
	send     core.SendAttempt
	call     *call
	resp     *fasthttp.Response
	head     Head
	load     *membership.Report
	// failure is a failure response of the backend server. It is held until no
	// further attempt can return a better response.
	failure *heldAnswer
	// events is nil if the body is not a stream of server-sent events.
	events   *eventReader
	sequence sequence
	stream   stream

	// pending holds bytes that the caller has not read yet.
	pending []byte
	buffer  []byte
	// dialled is the reason why the last call opened a connection, if it did.
	dialled DialReason
	// status is the status code of the last call's response, or 0 if none was received.
	status int
	// begun is set once the response header has been passed to the caller.
	begun bool
	// whole is set once the end of the response has been read.
	whole bool
	// failed is the error that Read returns after pending, if the response is broken.
	failed error
	first  time.Duration
}

// open performs one attempt up to the first byte of its response. If that fails,
// it reports the end of the attempt and returns false.
func (r *answer) open(e core.SendAttempt) bool {
	r.send = e
	req, resume := r.request(&e)
	defer fasthttp.ReleaseRequest(req)
	x := r.exchange
	c := &call{
		deadline:   x.server.localTime(e.Deadline),
		first:      e.FirstByteTimeout,
		inactivity: x.server.options.Inactivity,
		dial:       x.server.options.DialTimeout << min(e.Attempt-1, maxDialDoublings),
		zone:       x.server.zones.of(e.Zone),
		now:        x.server.options.Now,
		count:      x.server.options.Metrics.Dialled,
	}
	if e.StallTimeout > 0 {
		c.inactivity = e.StallTimeout
	}
	req.SetUserValue(callKey, c)
	r.call, r.resp = c, fasthttp.AcquireResponse()
	x.enter(e.Attempt, c)
	err := x.server.backends.Do(req, r.resp)
	r.dialled, r.status = c.dialled, 0
	if err != nil {
		r.lost(outcomeOf(c), "", err)
		return false
	}
	r.status = r.resp.StatusCode()
	options := &x.server.options
	r.head = options.Dialect.ReadHead(&r.resp.Header, x.request, &e, options.Now())
	c.unframed = r.head.Unframed
	r.load = r.head.Load
	if resume {
		return r.resumed()
	}
	return r.started()
}

// request builds the request of an attempt, which starts or resumes the response.
func (r *answer) request(e *core.SendAttempt) (req *fasthttp.Request, resume bool) {
	if e.ResumeAfter != "" && r.stream.id != "" {
		req = fasthttp.AcquireRequest()
		req.SetRequestURI(streamURL(r.stream))
		req.Header.Set(HeaderLastEventID, e.ResumeAfter)
		req.Header.Set(HeaderRequestID, string(r.exchange.id))
		return req, true
	}
	r.abandon()
	if e.ResumeAfter == "" {
		r.sequence = sequence{last: r.exchange.request.Since}
	}
	return r.exchange.newRequest(e), false
}

func streamURL(s stream) string {
	return "http://" + s.address + "/v1/streams/" + url.PathEscape(s.id)
}

// started handles the header of an attempt that does not resume a stream. It waits
// for the first byte, unless the caller has received the first byte already.
func (r *answer) started() bool {
	switch r.head.Verdict {
	case NotStarted:
		_, err := io.CopyN(io.Discard, r.call, maxRefusalBody)
		r.closeCall(errors.Is(err, io.EOF))
		r.end(core.AttemptEnded{Outcome: retry.Refused, RetryAfter: r.head.RetryAfter}, errRefused)
		return false
	case Failure:
		r.holdFailure()
		return false
	case Foreign:
		r.lost(retry.Spoiled, "", errForeign)
		return false
	}
	if r.head.Events {
		r.stream = stream{address: r.send.Address, id: r.head.StreamID, incarnation: r.head.Incarnation}
		r.events = newEventReader(r.call)
		if r.begun {
			return true
		}
		return r.fill(r.firstEvent())
	}
	if r.begun {
		r.lost(retry.Spoiled, "", errForeign)
		return false
	}
	return r.fill(r.firstBytes())
}

// resumed handles the header of an attempt that resumes a stream. It checks that the
// engine continues the same stream of the same incarnation; any other stream would
// join two different outputs.
func (r *answer) resumed() bool {
	same := r.resp.StatusCode() == fasthttp.StatusOK && r.head.Events &&
		r.head.StreamID == r.stream.id && r.head.Incarnation == r.stream.incarnation
	if !same {
		r.stream = stream{}
		r.lost(retry.Broken, "", errStreamLost)
		return false
	}
	r.events = newEventReader(r.call)
	if r.begun {
		return true
	}
	return r.fill(r.firstEvent())
}

// begin passes the response header to the caller. The HTTP library then reads the
// body from r.
func (r *answer) begin() {
	x := r.exchange
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &r.resp.Header, x.request, &r.send)
	out.SetStatusCode(r.resp.StatusCode())
	r.begun = true
	if !r.whole {
		x.server.post(core.AnswerStarted{Request: x.id, Attempt: r.send.Attempt, Load: r.load})
		r.load = nil
	}
	size := -1
	if length := r.resp.Header.ContentLength(); length >= 0 && r.events == nil {
		size = length
	}
	out.SetBodyStream(r, size)
}

// fail ends the body early with an error, and an event stream with an error event.
func (r *answer) fail(e core.Finish) {
	r.abandon()
	r.failed = finishReason(e)
	if r.events != nil {
		x := r.exchange
		r.pending = x.server.options.Dialect.BrokenEvent(x.request, &e)
	}
}

// lost closes the call and reports an attempt that ended without a whole response.
func (r *answer) lost(outcome retry.Outcome, resumeAfter string, err error) {
	r.closeCall(false)
	r.end(core.AttemptEnded{Outcome: outcome, LastEventID: resumeAfter}, err)
}

// end reports the end of the attempt to the core.
func (r *answer) end(event core.AttemptEnded, err error) {
	event.Attempt = r.send.Attempt
	event.Load = r.load
	r.load = nil
	r.exchange.ended(event, err)
}

// Close is called by the HTTP library when the body has been written, or when it
// cannot be written because the caller has disconnected.
func (r *answer) Close() error {
	x := r.exchange
	switch {
	case r.whole:
		r.closeCall(r.readEnd())
		x.server.options.Metrics.Answered(x.request.target(), r.first, time.Since(x.begun))
	case r.failed == nil:
		x.server.post(core.CallerGone{Request: x.id})
		r.abandon()
		r.lost(retry.Broken, "", io.ErrClosedPipe)
	}
	x.leave()
	return nil
}

// abandon cancels the stream at the engine if it is not complete.
func (r *answer) abandon() {
	if r.stream.id != "" && !r.whole {
		r.exchange.server.engine.cancel(r.stream)
	}
	r.stream = stream{}
}

// closeCall ends the running call and releases its connection.
func (r *answer) closeCall(whole bool) {
	if r.call == nil {
		return
	}
	r.call.close(whole)
	r.call = nil
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
}
