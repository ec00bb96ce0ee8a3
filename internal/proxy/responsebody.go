package proxy

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// completeFirstRead completes the first read of the response body: it records the time to first
// byte, or reports the attempt as broken if err is set.
func (r *callerResponse) completeFirstRead(err error) bool {
	if err != nil {
		r.abortAttempt(retry.Broken, r.resumeEventID(), err)
		return false
	}
	r.timeToFirstByte = time.Since(r.exchange.startedAt)
	return true
}

// readFirstEvent waits for the first event with data. It drops comments before that
// event: nothing is sent to the caller while another attempt is still possible.
func (r *callerResponse) readFirstEvent() error {
	for {
		e, err := r.readNewEvent()
		if errors.Is(err, io.EOF) {
			r.markComplete()
			return nil
		}
		if err != nil {
			return err
		}
		if e.data {
			r.setPending(e)
			return nil
		}
	}
}

// readNewEvent reads the next event that has not been received before. If the HTTP
// framing marks the end of the stream, it returns io.EOF there.
func (r *callerResponse) readNewEvent() (streamEvent, error) {
	for {
		e, err := r.events.next()
		if errors.Is(err, io.EOF) && (r.head.EndMarked || r.events.partial()) {
			return e, errNoEndMark
		}
		if err != nil {
			return e, err
		}
		fresh, err := r.sequence.accept(e, r.head.EndMarked)
		if err != nil {
			return e, err
		}
		if fresh {
			return e, nil
		}
	}
}

// setPending makes the event's text pending and checks for the end mark.
func (r *callerResponse) setPending(e streamEvent) {
	r.pending = e.text
	if e.end && r.head.EndMarked {
		r.markComplete()
	}
}

// readFirstBytes reads a small response whole, or the first bytes of a large one.
func (r *callerResponse) readFirstBytes() error {
	length := r.resp.Header.ContentLength()
	if length >= 0 && length <= maxBufferedBody && r.resp.BodyStream() != nil {
		body := make([]byte, length)
		if _, err := io.ReadFull(r.call, body); err != nil {
			return fmt.Errorf("proxy: truncated response: %w", err)
		}
		r.pending = body
		r.markComplete()
		return nil
	}
	if r.head.BufferBody && length < 0 {
		return r.bufferBody()
	}
	r.buffer = make([]byte, readBufferSize)
	return r.readChunk()
}

// bufferBody reads a body of unknown length to its end, or up to the size limit. A
// larger body is forwarded as it arrives.
func (r *callerResponse) bufferBody() error {
	body, err := io.ReadAll(io.LimitReader(r.call, maxBufferedBody))
	if err != nil {
		return fmt.Errorf("proxy: truncated response: %w", err)
	}
	r.pending = body
	if len(body) < maxBufferedBody {
		r.markComplete()
	}
	r.buffer = make([]byte, readBufferSize)
	return nil
}

func (r *callerResponse) readChunk() error {
	n, err := r.call.Read(r.buffer)
	r.pending = r.buffer[:n]
	if errors.Is(err, io.EOF) {
		r.markComplete()
		return nil
	}
	return err
}

// unframedEnd decides on a response without a length or chunks whose connection was closed in order. The end of the
// server's process closes it as well, in the middle of the response.
func (r *callerResponse) unframedEnd() error {
	if r.endCheck == nil {
		check := r.exchange.server.ends.check(&r.attempt)
		r.endCheck = &check
	}
	if r.endCheck.ended() {
		return errUnframed
	}
	return io.EOF
}

// markComplete marks the response as complete and reports it.
func (r *callerResponse) markComplete() {
	r.complete = true
	uncertain := r.endCheck != nil && !r.endCheck.connected
	r.reportEnd(core.AttemptEnded{Outcome: retry.Answered, Uncertain: uncertain}, nil)
}

// Read returns the next bytes for the caller to the HTTP library. After an error the
// library omits the final chunk, so that a caller can tell a broken response from a
// whole one.
func (r *callerResponse) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
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
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	r.exchange.server.options.Metrics.CallerBytes(n)
	return n, nil
}

// readMore reads the next event or the next bytes into pending.
func (r *callerResponse) readMore() error {
	if r.events == nil {
		return r.readChunk()
	}
	e, err := r.readNewEvent()
	if errors.Is(err, io.EOF) {
		r.markComplete()
		return nil
	}
	if err != nil {
		return err
	}
	r.setPending(e)
	return nil
}

// handleBreak reports that the response was cut off after it had started, and executes the
// effects that the core returns: either the same stream is resumed, or the response
// ends with an error.
func (r *callerResponse) handleBreak(err error) {
	r.abortAttempt(retry.Broken, r.resumeEventID(), err)
	for effect := range r.exchange.effects {
		switch e := effect.(type) {
		case core.SendAttempt:
			if r.openAttempt(e) {
				return
			}
		case core.Finish:
			r.endWithError(e)
			return
		}
	}
}

// resumeEventID returns the event number after which the stream can be resumed, or ""
// if it cannot. A stream with an end mark needs a stream ID; a stream without one can
// be resumed if its events are numbered.
func (r *callerResponse) resumeEventID() string {
	if r.events == nil {
		return ""
	}
	if r.head.EndMarked && r.stream.id == "" || !r.head.EndMarked && r.sequence.last == 0 {
		return ""
	}
	return strconv.FormatUint(r.sequence.last, 10)
}

// readFramingEnd reads the end of the HTTP framing after the end of the response, so that
// the connection can be reused. It reports whether the framing ended there.
func (r *callerResponse) readFramingEnd() bool {
	if r.events == nil {
		return true
	}
	r.call.deadline = time.Now().Add(framingEndTimeout)
	var b [1]byte
	n, err := r.events.reader.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}
