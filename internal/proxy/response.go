package proxy

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
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
	maxRefusalBody = 64 << 10
	// maxUnreadLength is the largest length in bytes that the body of a sound refusal or failure may announce.
	maxUnreadLength = 64 << 20
	// refusalBodyTimeout limits the wait for the body of a refusal, for which another attempt waits.
	refusalBodyTimeout = 100 * time.Millisecond
)

const eventStreamType = "text/event-stream"

var (
	errStreamLost     = errors.New("proxy: engine no longer holds the stream")
	errRefused        = errors.New("proxy: request refused by the backend server")
	errBackendFailure = errors.New("proxy: backend server returned a failure")
	errLongFailure    = errors.New("proxy: too large to be held")
	errMismatched     = errors.New("proxy: response does not belong to this request")
	errSuperseded     = errors.New("proxy: another attempt delivered first")
)

// callerResponse is the response to one request, across all of its attempts. The HTTP
// library reads the body for the caller from it.
type callerResponse struct {
	exchange *exchange
	race     *race
	// source is the attempt from which the response is read, nil while there is none.
	source *attemptResponse
	// eventStream is set if the response is a stream of server-sent events.
	eventStream bool
	// complete is set once the whole response has been taken over.
	complete bool
	// pending holds the event that ends a broken stream.
	pending []byte
	// bodyErr is the error that Read returns after pending, if the response is broken.
	bodyErr         error
	timeToFirstByte time.Duration
}

// openAttempt performs one attempt up to the first bytes of its response that the caller lacks. If that fails,
// it reports the end of the attempt and returns false.
func (r *callerResponse) openAttempt(e core.SendAttempt) bool {
	a := newAttemptResponse(r.exchange, e)
	req, resume := r.buildRequest(&e)
	a.sequence.last = r.race.deliveredUpTo()
	r.race.start(a)
	if req == nil {
		a.abort(retry.Broken, "", errStreamLost)
		return false
	}
	if !a.open(req, resume) {
		return false
	}
	return r.takeOver(a, r.race.claim(a))
}

// takeOver makes an attempt the source of the response, if it may deliver what it has read.
func (r *callerResponse) takeOver(a *attemptResponse, claimed bool) bool {
	if !claimed {
		a.abort(retry.Broken, a.resumeEventID(), errSuperseded)
		return false
	}
	r.source = a
	r.deliver(a)
	return true
}

// deliver records what an attempt has read and may deliver.
func (r *callerResponse) deliver(a *attemptResponse) {
	if r.timeToFirstByte == 0 {
		r.timeToFirstByte = time.Since(r.exchange.startedAt)
	}
	r.eventStream = a.events != nil
	r.complete = a.complete
	a.call.watch.deliver()
	if a.complete {
		a.reportAnswered()
	}
}

// buildRequest builds the request of an attempt, which starts the response or goes on with it. It returns nil if the stream
// could go on at its engine only, and that has lost it: the request would run again in its place.
func (r *callerResponse) buildRequest(e *core.SendAttempt) (req *fasthttp.Request, resume bool) {
	stream, lost := r.race.streamToResume()
	switch {
	case e.ResumeAfter != "" && lost:
		return nil, true
	case e.ResumeAfter != "" && stream.id != "":
		return newResumeRequest(r.exchange, stream, e), true
	}
	r.cancelStream()
	return r.exchange.newRequest(e), false
}

// newResumeRequest builds a request for the rest of a stream at its engine.
func newResumeRequest(x *exchange, stream streamRef, e *core.SendAttempt) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(streamURL(stream))
	req.Header.Set(HeaderLastEventID, e.ResumeAfter)
	req.Header.Set(HeaderRequestID, string(x.id))
	return req
}

// hedge performs an attempt beside those in progress. If it delivers first, the goroutine that serves the caller takes
// it over.
func (r *callerResponse) hedge(e core.SendAttempt) {
	a := newAttemptResponse(r.exchange, e)
	stream := r.race.streamRef()
	resume := e.ResumeAfter != "" && stream.id != ""
	var req *fasthttp.Request
	started := r.race.startHedge(a, func() {
		a.sequence.last = r.race.lastEvent
		if resume {
			req = newResumeRequest(r.exchange, stream, &e)
			return
		}
		req = r.exchange.newOwnedRequest(&e)
	})
	if !started {
		a.superseded = true
		a.reportEnd(core.AttemptEnded{Outcome: retry.NotSent}, errSuperseded)
		return
	}
	if a.open(req, resume) && !r.race.claim(a) {
		a.abort(retry.Broken, a.resumeEventID(), errSuperseded)
	}
}

// sendHead passes the response header to the caller. The HTTP library then reads the
// body from r.
func (r *callerResponse) sendHead() {
	x, a := r.exchange, r.source
	out := &x.ctx.Response
	x.server.options.Dialect.WriteHead(&out.Header, &a.resp.Header, x.request, &a.attempt)
	out.SetStatusCode(a.resp.StatusCode())
	if !r.complete {
		x.server.post(core.AnswerStarted{
			Request: x.id, Attempt: a.attempt.Attempt, Load: a.load, RejectionLimit: a.head.RejectionLimit, ProcessCertain: a.call.processCertain,
		})
		a.load = nil
	}
	size := -1
	if length := a.resp.Header.ContentLength(); length >= 0 && a.events == nil {
		size = length
	}
	out.SetBodyStream(r, size)
}

// endWithError ends the body early with an error, and an event stream with an error event.
func (r *callerResponse) endWithError(e core.Finish) {
	r.end()
	r.bodyErr = endedEarlyError(e)
	if r.eventStream {
		x := r.exchange
		r.pending = x.server.options.Dialect.BrokenEvent(x.request, &e)
	}
}

// end cancels the stream and what is left of the attempts of a request that the core has ended, or whose caller is gone.
func (r *callerResponse) end() {
	r.race.cancel(0, true)
	r.cancelStream()
	if winner := r.race.takeWinner(); winner != nil {
		winner.abort(retry.Broken, "", errCallCancelled)
	}
}

// Read returns the next bytes for the caller to the HTTP library. After an error the
// library omits the final chunk, so that a caller can tell a broken response from a
// whole one.
func (r *callerResponse) Read(p []byte) (int, error) {
	for {
		if n := r.takePending(p); n > 0 {
			r.exchange.server.options.Metrics.CallerBytes(n)
			return n, nil
		}
		switch {
		case r.bodyErr != nil:
			return 0, r.bodyErr
		case r.complete:
			return 0, io.EOF
		}
		if err := r.readMore(); err != nil {
			r.handleBreak(err)
		}
	}
}

// takePending copies bytes that have been read to p.
func (r *callerResponse) takePending(p []byte) int {
	pending := &r.pending
	if r.bodyErr == nil {
		pending = &r.source.pending
	}
	n := copy(p, *pending)
	*pending = (*pending)[n:]
	return n
}

// readMore reads the next event or the next bytes from the source, unless another attempt delivers first.
func (r *callerResponse) readMore() error {
	a := r.source
	if err := a.readMore(); err != nil {
		return err
	}
	if a.keepAlive && !a.complete {
		return r.passKeepAlive(a)
	}
	if !r.race.claim(a) {
		a.pending = nil
		return errSuperseded
	}
	r.deliver(a)
	return nil
}

// passKeepAlive lets the caller have an event without data. It is no part of the answer, and supersedes no other attempt.
func (r *callerResponse) passKeepAlive(a *attemptResponse) error {
	if r.race.isOver(a) {
		a.pending = nil
		return errSuperseded
	}
	return nil
}

// awaitSource waits for an attempt that delivers, and makes it the source of the response. It returns the end of the
// request if the core ends it instead.
func (r *callerResponse) awaitSource() *core.Finish {
	for {
		select {
		case a := <-r.race.won:
			r.takeOver(a, true)
			return nil
		case effect := <-r.exchange.effects:
			switch e := effect.(type) {
			case core.SendAttempt:
				if r.openAttempt(e) {
					return nil
				}
			case core.Finish:
				return &e
			}
		}
	}
}

// handleBreak reports that the source ended after the response had started, and waits for an attempt that goes on with
// it, or for the end of the request.
func (r *callerResponse) handleBreak(err error) {
	r.source.abort(retry.Broken, r.source.resumeEventID(), err)
	if e := r.awaitSource(); e != nil {
		r.endWithError(*e)
	}
}

// Close is called by the HTTP library when the body has been written, or when it
// cannot be written because the caller has disconnected.
func (r *callerResponse) Close() error {
	x := r.exchange
	switch {
	case r.complete:
		r.source.close(r.source.readFramingEnd())
		x.server.options.Metrics.Answered(x.request.target(), r.timeToFirstByte, time.Since(x.startedAt))
	case r.bodyErr == nil:
		x.server.post(core.CallerGone{Request: x.id})
		r.source.abort(retry.Broken, "", io.ErrClosedPipe)
	}
	if !r.complete {
		r.end()
	}
	x.release()
	return nil
}

// cancelStream cancels the stream at the engine if it is not complete.
func (r *callerResponse) cancelStream() {
	if stream := r.race.takeStream(); stream.id != "" && !r.complete {
		r.exchange.server.engine.cancel(stream)
	}
}
