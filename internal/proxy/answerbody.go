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

// fill completes the first read of the response body: it records the time to first
// byte, or reports the attempt as broken if err is set.
func (r *answer) fill(err error) bool {
	if err != nil {
		r.lost(retry.Broken, r.resumePoint(), err)
		return false
	}
	r.first = time.Since(r.exchange.begun)
	return true
}

// firstEvent waits for the first event with data. It drops comments before that
// event: nothing is sent to the caller while another attempt is still possible.
func (r *answer) firstEvent() error {
	for {
		e, err := r.nextEvent()
		if errors.Is(err, io.EOF) {
			r.wholeNow()
			return nil
		}
		if err != nil {
			return err
		}
		if e.data {
			r.take(e)
			return nil
		}
	}
}

// nextEvent reads the next event that has not been received before. If the HTTP
// framing marks the end of the stream, it returns io.EOF there.
func (r *answer) nextEvent() (streamEvent, error) {
	for {
		e, err := r.events.next()
		if errors.Is(err, io.EOF) && (r.head.Marked || r.events.partial()) {
			return e, errNoEndMark
		}
		if err != nil {
			return e, err
		}
		fresh, err := r.sequence.check(e, r.head.Marked)
		if err != nil {
			return e, err
		}
		if fresh {
			return e, nil
		}
	}
}

// take makes the event's text pending and checks for the end mark.
func (r *answer) take(e streamEvent) {
	r.pending = e.text
	if e.end && r.head.Marked {
		r.wholeNow()
	}
}

// firstBytes reads a small response whole, or the first bytes of a large one.
func (r *answer) firstBytes() error {
	length := r.resp.Header.ContentLength()
	if length >= 0 && length <= wholeBody && r.resp.BodyStream() != nil {
		body := make([]byte, length)
		if _, err := io.ReadFull(r.call, body); err != nil {
			return fmt.Errorf("proxy: truncated response: %w", err)
		}
		r.pending = body
		r.wholeNow()
		return nil
	}
	if r.head.Whole && length < 0 {
		return r.wholeBody()
	}
	r.buffer = make([]byte, copyBuffer)
	return r.copyBytes()
}

// wholeBody reads a body of unknown length to its end, or up to the size limit. A
// larger body is forwarded as it arrives.
func (r *answer) wholeBody() error {
	body, err := io.ReadAll(io.LimitReader(r.call, wholeBody))
	if err != nil {
		return fmt.Errorf("proxy: truncated response: %w", err)
	}
	r.pending = body
	if len(body) < wholeBody {
		r.wholeNow()
	}
	r.buffer = make([]byte, copyBuffer)
	return nil
}

func (r *answer) copyBytes() error {
	n, err := r.call.Read(r.buffer)
	r.pending = r.buffer[:n]
	if errors.Is(err, io.EOF) {
		r.wholeNow()
		return nil
	}
	return err
}

// wholeNow marks the response as complete and reports it.
func (r *answer) wholeNow() {
	r.whole = true
	r.end(core.AttemptEnded{Outcome: retry.Answered}, nil)
}

// Read returns the next bytes for the caller to the HTTP library. After an error the
// library omits the final chunk, so that a caller can tell a broken response from a
// whole one.
func (r *answer) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		switch {
		case r.failed != nil:
			return 0, r.failed
		case r.whole:
			return 0, io.EOF
		}
		if err := r.advance(); err != nil {
			r.broken(err)
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	r.exchange.server.options.Metrics.CallerBytes(n)
	return n, nil
}

// advance reads the next event or the next bytes into pending.
func (r *answer) advance() error {
	if r.events == nil {
		return r.copyBytes()
	}
	e, err := r.nextEvent()
	if errors.Is(err, io.EOF) {
		r.wholeNow()
		return nil
	}
	if err != nil {
		return err
	}
	r.take(e)
	return nil
}

// broken reports that the response was cut after it had started, and executes the
// effects that the core returns: either the same stream is resumed, or the response
// ends with an error.
func (r *answer) broken(err error) {
	r.lost(retry.Broken, r.resumePoint(), err)
	for effect := range r.exchange.effects {
		switch e := effect.(type) {
		case core.SendAttempt:
			if r.open(e) {
				return
			}
		case core.Finish:
			r.fail(e)
			return
		}
	}
}

// resumePoint returns the event number after which the stream can be resumed, or ""
// if it cannot. A stream with an end mark needs a stream ID; a stream without one can
// be resumed if its events are numbered.
func (r *answer) resumePoint() string {
	if r.events == nil {
		return ""
	}
	if r.head.Marked && r.stream.id == "" || !r.head.Marked && r.sequence.last == 0 {
		return ""
	}
	return strconv.FormatUint(r.sequence.last, 10)
}

// readEnd reads the end of the HTTP framing after the end of the response, so that
// the connection can be reused. It reports whether the framing ended there.
func (r *answer) readEnd() bool {
	if r.events == nil {
		return true
	}
	r.call.deadline = time.Now().Add(endWait)
	var b [1]byte
	n, err := r.events.in.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}
