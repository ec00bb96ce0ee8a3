package proxy

import (
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// streamRef identifies a resumable stream of one incarnation of an engine.
type streamRef struct {
	address     string
	id          string
	incarnation string
}

// attemptResponse is the response of a backend server to one attempt. One goroutine at a time uses it, but for the
// fields that a race guards.
type attemptResponse struct {
	exchange *exchange
	attempt  core.SendAttempt
	call     *call
	resp     *fasthttp.Response
	head     Head
	load     *membership.Report
	// events is nil if the body is not a stream of server-sent events.
	events   *eventReader
	sequence eventSequence
	// stream identifies the stream at its engine, if the engine lets it be resumed. It is guarded by the race.
	stream streamRef
	// pending holds bytes that the caller has not read yet, and buffer the space for them.
	pending []byte
	buffer  []byte
	// keepAlive is set if pending is an event without data, which keeps the caller's connection alive.
	keepAlive bool
	// complete is set once the end of the response has been read.
	complete bool
	// closed is set once the call has been closed, and sent if a byte of the request may have been sent until then.
	closed, sent bool
	// superseded is set once another attempt has delivered first. It is guarded by the race.
	superseded bool

	// dialReason is the reason why the call opened a connection, if it did.
	dialReason DialReason
	// firstByte is the time from the request's arrival to the first bytes of the response, 0 until then.
	firstByte time.Duration
	// origin tells where the response comes from.
	origin responseOrigin
	// relay is the name of the peer that relayed the connection, if one did.
	relay string
	// endCheck is the check whether the server has ended that an unframed response needed; nil if it needed none.
	endCheck *endCheck
	// status is the status code, or 0 if none was received, and framing how the end of the body is marked.
	status  int
	framing bodyFraming
	// silence is the time without a byte of the response before the call ended, negative if none had arrived.
	silence time.Duration
}

func newAttemptResponse(x *exchange, e core.SendAttempt) *attemptResponse {
	a := &attemptResponse{exchange: x, attempt: e, silence: -1}
	s := x.server
	a.call = &call{
		deadline:         s.connDeadline(e.Deadline),
		dialTimeout:      s.options.DialTimeout,
		plan:             e.Dial,
		attempt:          e.Attempt,
		process:          e.Process,
		processPath:      s.options.Dialect.ProcessPath(),
		sameProcess:      s.options.Dialect.SameProcess,
		dialer:           s.planDialer(e.Backend),
		defaultKeepAlive: s.options.BackendIdle,
		pool:             s.pool,
		zone:             s.zones.get(e.Zone),
		now:              s.options.Now,
		countDial:        s.options.Metrics.Dialled,
		maxBody:          s.options.MaxResponse,
		id:               s.options.Dialect.AttemptID(x.request, &e),
		responseID:       s.options.Dialect.ResponseID,
		namesAll:         s.options.Dialect.NamesAllResponses(),
		countResponse:    s.options.Metrics.ResponseIdentified,
	}
	a.call.watch = newSilenceWatch(a)
	return a
}

// open sends the request and reads the response up to its first bytes that the caller lacks. If that fails, it reports
// the end of the attempt and returns false.
func (a *attemptResponse) open(req *fasthttp.Request, resume bool) bool {
	defer fasthttp.ReleaseRequest(req)
	x := a.exchange
	req.SetUserValue(callKey, a.call)
	a.resp = fasthttp.AcquireResponse()
	err := x.server.backends.Do(req, a.resp)
	a.dialReason, a.relay, a.origin = a.call.dialReason, a.call.relay, a.call.origin
	if err != nil {
		a.abort(outcomeWithoutResponse(a.call), "", err)
		return false
	}
	a.status, a.framing = a.resp.StatusCode(), a.call.framing()
	options := &x.server.options
	a.head = options.Dialect.ReadHead(&a.resp.Header, x.request, &a.attempt, options.Now())
	// The end of a relay's process also closes a connection in order, and must not look like the end
	// of a response.
	if a.head.AllowUnframed && a.call.relay == "" {
		a.call.unframedEnd = a.unframedEnd
	}
	a.load = a.head.Load
	if resume {
		return a.handleResumedHead()
	}
	return a.handleHead()
}

// streamURL returns the URL of a stream's rest at its engine.
func streamURL(s streamRef) string {
	return "http://" + s.address + "/v1/streams/" + url.PathEscape(s.id)
}

// handleHead handles the header of an attempt that does not resume a stream at its engine, and waits for the first bytes.
func (a *attemptResponse) handleHead() bool {
	if a.origin.identity == NamesOther {
		a.mismatched()
		return false
	}
	switch a.head.Verdict {
	case NotStarted:
		if !a.origin.answersAttempt() {
			a.mismatched()
			return false
		}
		a.endRefused()
		return false
	case Failure:
		a.holdFailure()
		return false
	case Mismatched:
		a.mismatched()
		return false
	}
	if a.status == http.StatusSwitchingProtocols {
		a.abort(retry.Broken, "", errSwitched)
		return false
	}
	if a.cannotEnd() {
		a.abort(retry.Broken, "", errNoFraming)
		return false
	}
	if a.call.length >= 0 {
		a.call.maxBody = math.MaxInt64 // Its length is its limit.
	}
	if a.head.Events {
		a.exchange.race.setStream(a, streamRef{address: a.attempt.Address, id: a.head.StreamID, incarnation: a.head.Incarnation})
		a.watchStream()
		a.readEvents()
		return a.completeFirstRead(a.readFirstEvent())
	}
	if a.attempt.ResumeAfter != "" {
		a.abort(retry.Spoiled, "", errMismatched)
		return false
	}
	return a.completeFirstRead(a.readFirstBytes())
}

// mismatched ends an attempt whose response is not known to be its own. Nothing that the response says is believed.
func (a *attemptResponse) mismatched() {
	a.load, a.head.RejectionLimit = nil, 0
	a.abort(retry.Spoiled, "", errMismatched)
}

// endRefused reads the body of a refusal, so that the connection can be reused, and reports it. A body with a length may come
// late or be long. One without that does not end in time may have no end, which is a fault of the server.
func (a *attemptResponse) endRefused() {
	a.call.deadline = time.Now().Add(refusalBodyTimeout)
	_, err := io.CopyN(io.Discard, a.call, maxRefusalBody)
	whole := errors.Is(err, io.EOF)
	endless := a.call.length < 0 && !whole || a.call.length > maxUnreadLength
	a.close(whole)
	a.reportEnd(core.AttemptEnded{
		Outcome: retry.Refused, RetryAfter: a.head.RetryAfter, Malformed: endless || errors.Is(err, errMalformed),
	}, errRefused)
}

// handleResumedHead handles the header of an attempt that resumes a stream at its engine. It checks that the
// engine continues the same stream of the same incarnation; any other stream would
// join two different outputs.
func (a *attemptResponse) handleResumedHead() bool {
	stream := a.exchange.race.streamRef()
	same := a.resp.StatusCode() == fasthttp.StatusOK && a.head.Events &&
		a.head.StreamID == stream.id && a.head.Incarnation == stream.incarnation
	if !same {
		// Beside a hedge the stream goes on at its engine.
		if !a.attempt.Hedge {
			a.exchange.race.streamLost(stream)
		}
		a.abort(retry.Broken, "", errStreamLost)
		return false
	}
	a.exchange.race.setStream(a, stream)
	a.watchStream()
	a.readEvents()
	return a.completeFirstRead(a.readFirstEvent())
}

// cannotEnd reports whether nothing can mark the end of the response, which therefore never is a whole answer.
func (a *attemptResponse) cannotEnd() bool {
	return a.call.body != nil && !a.call.hasFramedEnd() && !a.head.AllowUnframed && !a.head.Events
}

// readEvents makes the body a stream of events. The events have limits, their number has none.
func (a *attemptResponse) readEvents() {
	a.call.maxBody = math.MaxInt64
	a.events = newEventReader(a.call)
}

// watchStream sets the time after which a stream that its engine can resume counts as silent.
func (a *attemptResponse) watchStream() {
	if a.head.StreamID != "" {
		a.call.watch.setTimeout(a.exchange.server.options.Inactivity)
	}
}

// abort closes the call and reports an attempt that ended without a whole response.
func (a *attemptResponse) abort(outcome retry.Outcome, resumeAfter string, err error) {
	a.close(false)
	a.reportEnd(core.AttemptEnded{Outcome: outcome, LastEventID: resumeAfter}, err)
}

// reportEnd reports the end of the attempt to the core.
func (a *attemptResponse) reportEnd(event core.AttemptEnded, err error) {
	superseded := a.exchange.race.ended(a)
	if event.Outcome != retry.Answered && a.exchange.race.isAbandoned(a) {
		a.exchange.server.engine.cancel(a.stream)
	}
	if !superseded && errors.Is(err, errSuperseded) {
		err = errCallCancelled // The request has ended.
	}
	if superseded && event.Outcome != retry.Answered {
		event, err = core.AttemptEnded{Outcome: retry.Superseded, Unsent: !a.sent}, errSuperseded
	}
	event.Attempt = a.attempt.Attempt
	event.Load, event.RejectionLimit = a.load, a.head.RejectionLimit
	a.load = nil
	a.exchange.attemptEnded(a, event, err)
}

// close ends the call and releases its connection.
func (a *attemptResponse) close(whole bool) {
	if a.closed {
		return
	}
	a.closed = true
	a.sent = a.call.sent()
	a.silence = a.call.watch.sinceLastByte()
	a.call.close(whole)
	if a.resp != nil {
		fasthttp.ReleaseResponse(a.resp)
		a.resp = nil
	}
}
