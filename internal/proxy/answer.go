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
	// maxDialDoublings bounds how often the wait for a connection is doubled. The first
	// attempt of a request waits shortly, for another server most likely answers; if the
	// whole network is slow, the later ones have the time.
	maxDialDoublings = 3
	// wholeBody is the largest answer that is read to its end before the caller
	// gets its first byte, so that a cut one can still be asked for again.
	wholeBody  = 64 << 10
	copyBuffer = 4096
	// endWait is how long the framing's end may follow the stream's end mark.
	endWait = 100 * time.Millisecond
	// maxRefusalBody is what is read of a refusal to keep its connection.
	maxRefusalBody = 4096
)

const eventStream = "text/event-stream"

var (
	errStreamLost = errors.New("proxy: the engine does not know the stream")
	errRefused    = errors.New("proxy: refused by the backend server")
	errFailed     = errors.New("proxy: the backend server answered with a failure")
	errForeign    = errors.New("proxy: not the backend server's answer to this request")
)

// stream identifies a resumable stream of one incarnation of an engine.
type stream struct {
	address     string
	id          string
	incarnation string
}

// answer is the answer to one request, over all its attempts. It is the reader
// that the HTTP library sends the caller's body from.
type answer struct {
	exchange *exchange
	send     core.SendAttempt
	call     *call
	resp     *fasthttp.Response
	head     Head
	load     *membership.Report
	// failure is the backend server's own answer that says it failed, held until it
	// is known that no other attempt brings a better one.
	failure *heldAnswer
	// events is nil when the answer is framed by HTTP alone.
	events   *eventReader
	sequence sequence
	stream   stream

	// pending is what the caller has yet to read.
	pending []byte
	buffer  []byte
	// dialled is why the last call opened a connection, if it did.
	dialled DialReason
	// status is that of the last call's answer, 0 if none began.
	status int
	// begun is set once the answer's header is the caller's.
	begun bool
	// whole is set once the answer's own end was read.
	whole bool
	// failed is the error in which a broken answer ends.
	failed error
	first  time.Duration
}

// open carries out one attempt up to the first byte of its answer. If that fails
// it reports the attempt's end and returns false.
func (a *answer) open(e core.SendAttempt) bool {
	a.send = e
	req, resume := a.request(&e)
	defer fasthttp.ReleaseRequest(req)
	x := a.exchange
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
	a.call, a.resp = c, fasthttp.AcquireResponse()
	x.enter(e.Attempt, c)
	err := x.server.backends.Do(req, a.resp)
	a.dialled, a.status = c.dialled, 0
	if err != nil {
		a.lost(outcomeOf(c), "", err)
		return false
	}
	a.status = a.resp.StatusCode()
	options := &x.server.options
	a.head = options.Dialect.ReadHead(&a.resp.Header, x.request, &e, options.Now())
	c.unframed = a.head.Unframed
	a.load = a.head.Load
	if resume {
		return a.resumed()
	}
	return a.started()
}

// request builds the request that begins or resumes the answer.
func (a *answer) request(e *core.SendAttempt) (req *fasthttp.Request, resume bool) {
	if e.ResumeAfter != "" && a.stream.id != "" {
		req = fasthttp.AcquireRequest()
		req.SetRequestURI(streamURL(a.stream))
		req.Header.Set(HeaderLastEventID, e.ResumeAfter)
		req.Header.Set(HeaderRequestID, string(a.exchange.id))
		return req, true
	}
	a.abandon()
	if e.ResumeAfter == "" {
		a.sequence = sequence{last: a.exchange.request.Since}
	}
	return a.exchange.newRequest(e), false
}

func streamURL(s stream) string {
	return "http://" + s.address + "/v1/streams/" + url.PathEscape(s.id)
}

// started takes the header of an attempt that is no resumption in place, and waits
// for the first byte, unless the caller has that already.
func (a *answer) started() bool {
	switch a.head.Verdict {
	case NotStarted:
		_, err := io.CopyN(io.Discard, a.call, maxRefusalBody)
		a.closeCall(errors.Is(err, io.EOF))
		a.end(core.AttemptEnded{Outcome: retry.Refused, RetryAfter: a.head.RetryAfter}, errRefused)
		return false
	case Failure:
		a.holdFailure()
		return false
	case Foreign:
		a.lost(retry.Spoiled, "", errForeign)
		return false
	}
	if a.head.Events {
		a.stream = stream{address: a.send.Address, id: a.head.StreamID, incarnation: a.head.Incarnation}
		a.events = newEventReader(a.call)
		if a.begun {
			return true
		}
		return a.fill(a.firstEvent())
	}
	if a.begun {
		a.lost(retry.Spoiled, "", errForeign)
		return false
	}
	return a.fill(a.firstBytes())
}

// resumed checks that the stream goes on where it broke: the same stream of the
// same incarnation. Anything else would splice two outputs.
func (a *answer) resumed() bool {
	same := a.resp.StatusCode() == fasthttp.StatusOK && a.head.Events &&
		a.head.StreamID == a.stream.id && a.head.Incarnation == a.stream.incarnation
	if !same {
		a.stream = stream{}
		a.lost(retry.Broken, "", errStreamLost)
		return false
	}
	a.events = newEventReader(a.call)
	if a.begun {
		return true
	}
	return a.fill(a.firstEvent())
}

// begin gives the caller the answer's header; the HTTP library then reads the
// body from a.
func (a *answer) begin() {
	x := a.exchange
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &a.resp.Header, x.request, &a.send)
	out.SetStatusCode(a.resp.StatusCode())
	a.begun = true
	if !a.whole {
		x.server.post(core.AnswerStarted{Request: x.id, Attempt: a.send.Attempt, Load: a.load})
		a.load = nil
	}
	size := -1
	if length := a.resp.Header.ContentLength(); length >= 0 && a.events == nil {
		size = length
	}
	out.SetBodyStream(a, size)
}

func (a *answer) fail(e core.Finish) {
	a.abandon()
	a.failed = finishReason(e)
	if a.events != nil {
		x := a.exchange
		a.pending = x.server.options.Dialect.BrokenEvent(x.request, &e)
	}
}

// lost reports an attempt that ended without the whole answer.
func (a *answer) lost(outcome retry.Outcome, resumeAfter string, err error) {
	a.closeCall(false)
	a.end(core.AttemptEnded{Outcome: outcome, LastEventID: resumeAfter}, err)
}

func (a *answer) end(event core.AttemptEnded, err error) {
	event.Attempt = a.send.Attempt
	event.Load = a.load
	a.load = nil
	a.exchange.ended(event, err)
}

// Close is called by the HTTP library when the body is written, or cannot be
// because the caller has gone.
func (a *answer) Close() error {
	x := a.exchange
	switch {
	case a.whole:
		a.closeCall(a.readEnd())
		x.server.options.Metrics.Answered(x.request.target(), a.first, time.Since(x.begun))
	case a.failed == nil:
		x.server.post(core.CallerGone{Request: x.id})
		a.abandon()
		a.lost(retry.Broken, "", io.ErrClosedPipe)
	}
	x.leave()
	return nil
}

// abandon stops the engine's work on a stream that nobody reads any more.
func (a *answer) abandon() {
	if a.stream.id != "" && !a.whole {
		a.exchange.server.engine.cancel(a.stream)
	}
	a.stream = stream{}
}

// closeCall ends the running call and its hold on the connection.
func (a *answer) closeCall(whole bool) {
	if a.call == nil {
		return
	}
	a.call.close(whole)
	a.call = nil
	fasthttp.ReleaseResponse(a.resp)
	a.resp = nil
}
