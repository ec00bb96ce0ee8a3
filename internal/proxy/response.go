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
	// maxBufferedBody is the size limit in bytes up to which a response is buffered whole
	// before the caller receives its first byte, so that a truncated response can
	// still be retried.
	maxBufferedBody = 64 << 10
	readBufferSize  = 4096
	// framingEndTimeout limits the wait for the end of the HTTP framing after the stream's
	// end mark.
	framingEndTimeout = 100 * time.Millisecond
	// maxRefusalBody limits the bytes that are read from the body of a refusal so
	// that its connection can be reused.
	maxRefusalBody = 4096
)

const eventStreamType = "text/event-stream"

var (
	errStreamLost     = errors.New("proxy: engine no longer holds the stream")
	errRefused        = errors.New("proxy: request refused by the backend server")
	errBackendFailure = errors.New("proxy: backend server returned a failure")
	errMismatched     = errors.New("proxy: response does not belong to this request")
)

// streamRef identifies a resumable stream of one incarnation of an engine.
type streamRef struct {
	address     string
	id          string
	incarnation string
}

// callerResponse is the response to one request, across all of its attempts. The HTTP
// library reads the body for the caller from it.
type callerResponse struct {
	exchange *exchange
	attempt  core.SendAttempt
	call     *call
	resp     *fasthttp.Response
	head     Head
	load     *membership.Report
	// heldFailure is a failure response of the backend server. It is held until no
	// further attempt can return a better response.
	heldFailure *heldResponse
	// events is nil if the body is not a stream of server-sent events.
	events   *eventReader
	sequence eventSequence
	stream   streamRef

	// pending holds bytes that the caller has not read yet.
	pending []byte
	buffer  []byte
	// dialReason is the reason why the last call opened a connection, if it did.
	dialReason DialReason
	// relay is the name of the peer that relayed the last call's connection, if one did.
	relay string
	// endCheck is the check whether the server has ended that an unframed response needed; nil if it needed none.
	endCheck *endCheck
	// status is the status code of the last call's response, or 0 if none was received, and framing how the end of
	// its body is marked.
	status  int
	framing bodyFraming
	// headSent is set once the response header has been passed to the caller.
	headSent bool
	// complete is set once the end of the response has been read.
	complete bool
	// bodyErr is the error that Read returns after pending, if the response is broken.
	bodyErr         error
	timeToFirstByte time.Duration
	// silence is the time without a byte of the response before the last call ended, negative if none had arrived.
	silence time.Duration
}

// openAttempt performs one attempt up to the first byte of its response. If that fails,
// it reports the end of the attempt and returns false.
func (r *callerResponse) openAttempt(e core.SendAttempt) bool {
	r.attempt = e
	req, resume := r.buildRequest(&e)
	defer fasthttp.ReleaseRequest(req)
	x := r.exchange
	c := &call{
		deadline:          x.server.connDeadline(e.Deadline),
		firstByteTimeout:  e.FirstByteTimeout,
		inactivityTimeout: x.server.options.Inactivity,
		dialTimeout:       x.server.options.DialTimeout,
		plan:              e.Dial,
		process:           e.Process,
		processPath:       x.server.options.Dialect.ProcessPath(),
		sameProcess:       x.server.options.Dialect.SameProcess,
		dialer:            x.server.planDialer(e.Backend),
		defaultKeepAlive:  x.server.options.BackendIdle,
		pool:              x.server.pool,
		zone:              x.server.zones.get(e.Zone),
		now:               x.server.options.Now,
		countDial:         x.server.options.Metrics.Dialled,
	}
	if e.StallTimeout > 0 {
		c.inactivityTimeout = e.StallTimeout
	}
	r.head = Head{}
	req.SetUserValue(callKey, c)
	r.call, r.resp = c, fasthttp.AcquireResponse()
	x.setRunning(e.Attempt, c)
	err := x.server.backends.Do(req, r.resp)
	r.dialReason, r.relay, r.status, r.framing, r.endCheck = c.dialReason, c.relay, 0, "", nil
	r.silence = -1
	if err != nil {
		r.abortAttempt(outcomeWithoutResponse(c), "", err)
		return false
	}
	r.status, r.framing = r.resp.StatusCode(), c.framing()
	options := &x.server.options
	r.head = options.Dialect.ReadHead(&r.resp.Header, x.request, &e, options.Now())
	// The end of a relay's process also closes a connection in order, and must not look like the end
	// of a response.
	if r.head.AllowUnframed && c.relay == "" {
		c.unframedEnd = r.unframedEnd
	}
	r.load = r.head.Load
	if resume {
		return r.handleResumedHead()
	}
	return r.handleHead()
}

// buildRequest builds the request of an attempt, which starts or resumes the response.
func (r *callerResponse) buildRequest(e *core.SendAttempt) (req *fasthttp.Request, resume bool) {
	if e.ResumeAfter != "" && r.stream.id != "" {
		req = fasthttp.AcquireRequest()
		req.SetRequestURI(streamURL(r.stream))
		req.Header.Set(HeaderLastEventID, e.ResumeAfter)
		req.Header.Set(HeaderRequestID, string(r.exchange.id))
		return req, true
	}
	r.cancelStream()
	if e.ResumeAfter == "" {
		r.sequence = eventSequence{last: r.exchange.request.LastEventID}
	}
	return r.exchange.newRequest(e), false
}

func streamURL(s streamRef) string {
	return "http://" + s.address + "/v1/streams/" + url.PathEscape(s.id)
}

// handleHead handles the header of an attempt that does not resume a stream. It waits
// for the first byte, unless the caller has received the first byte already.
func (r *callerResponse) handleHead() bool {
	switch r.head.Verdict {
	case NotStarted:
		_, err := io.CopyN(io.Discard, r.call, maxRefusalBody)
		r.closeCall(errors.Is(err, io.EOF))
		r.reportEnd(core.AttemptEnded{Outcome: retry.Refused, RetryAfter: r.head.RetryAfter}, errRefused)
		return false
	case Failure:
		r.holdFailure()
		return false
	case Mismatched:
		r.abortAttempt(retry.Spoiled, "", errMismatched)
		return false
	}
	if r.head.Events {
		r.stream = streamRef{address: r.attempt.Address, id: r.head.StreamID, incarnation: r.head.Incarnation}
		r.events = newEventReader(r.call)
		if r.headSent {
			return true
		}
		return r.completeFirstRead(r.readFirstEvent())
	}
	if r.headSent {
		r.abortAttempt(retry.Spoiled, "", errMismatched)
		return false
	}
	return r.completeFirstRead(r.readFirstBytes())
}

// handleResumedHead handles the header of an attempt that resumes a stream. It checks that the
// engine continues the same stream of the same incarnation; any other stream would
// join two different outputs.
func (r *callerResponse) handleResumedHead() bool {
	same := r.resp.StatusCode() == fasthttp.StatusOK && r.head.Events &&
		r.head.StreamID == r.stream.id && r.head.Incarnation == r.stream.incarnation
	if !same {
		r.stream = streamRef{}
		r.abortAttempt(retry.Broken, "", errStreamLost)
		return false
	}
	r.events = newEventReader(r.call)
	if r.headSent {
		return true
	}
	return r.completeFirstRead(r.readFirstEvent())
}

// sendHead passes the response header to the caller. The HTTP library then reads the
// body from r.
func (r *callerResponse) sendHead() {
	x := r.exchange
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &r.resp.Header, x.request, &r.attempt)
	out.SetStatusCode(r.resp.StatusCode())
	r.headSent = true
	if !r.complete {
		x.server.post(core.AnswerStarted{
			Request: x.id, Attempt: r.attempt.Attempt, Load: r.load, RejectionLimit: r.head.RejectionLimit, ProcessCertain: r.call.processCertain,
		})
		r.load = nil
	}
	size := -1
	if length := r.resp.Header.ContentLength(); length >= 0 && r.events == nil {
		size = length
	}
	out.SetBodyStream(r, size)
}

// endWithError ends the body early with an error, and an event stream with an error event.
func (r *callerResponse) endWithError(e core.Finish) {
	r.cancelStream()
	r.bodyErr = endedEarlyError(e)
	if r.events != nil {
		x := r.exchange
		r.pending = x.server.options.Dialect.BrokenEvent(x.request, &e)
	}
}

// abortAttempt closes the call and reports an attempt that ended without a whole response.
func (r *callerResponse) abortAttempt(outcome retry.Outcome, resumeAfter string, err error) {
	r.closeCall(false)
	r.reportEnd(core.AttemptEnded{Outcome: outcome, LastEventID: resumeAfter}, err)
}

// reportEnd reports the end of the attempt to the core.
func (r *callerResponse) reportEnd(event core.AttemptEnded, err error) {
	event.Attempt = r.attempt.Attempt
	event.Load, event.RejectionLimit = r.load, r.head.RejectionLimit
	r.load = nil
	r.exchange.attemptEnded(event, err)
}

// Close is called by the HTTP library when the body has been written, or when it
// cannot be written because the caller has disconnected.
func (r *callerResponse) Close() error {
	x := r.exchange
	switch {
	case r.complete:
		r.closeCall(r.readFramingEnd())
		x.server.options.Metrics.Answered(x.request.target(), r.timeToFirstByte, time.Since(x.startedAt))
	case r.bodyErr == nil:
		x.server.post(core.CallerGone{Request: x.id})
		r.cancelStream()
		r.abortAttempt(retry.Broken, "", io.ErrClosedPipe)
	}
	x.release()
	return nil
}

// cancelStream cancels the stream at the engine if it is not complete.
func (r *callerResponse) cancelStream() {
	if r.stream.id != "" && !r.complete {
		r.exchange.server.engine.cancel(r.stream)
	}
	r.stream = streamRef{}
}

// closeCall ends the running call and releases its connection.
func (r *callerResponse) closeCall(whole bool) {
	if r.call == nil {
		return
	}
	r.silence = r.call.sinceLastByte()
	r.call.close(whole)
	r.call = nil
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
}
