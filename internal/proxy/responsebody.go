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

// completeFirstRead reports the attempt as broken if its first read of the response body failed.
func (a *attemptResponse) completeFirstRead(err error) bool {
	switch {
	case errors.Is(err, errMalformed) && a.sequence.last == 0:
		// Nothing of the response was delivered, and its engine has no sound one.
		a.abort(retry.Broken, "", err)
		return false
	case err != nil:
		a.abort(retry.Broken, a.resumeEventID(), err)
		return false
	}
	a.firstByte = time.Since(a.exchange.startedAt)
	return true
}

// readFirstEvent waits for the first event with data. It drops comments before that
// event: nothing is sent to the caller while another attempt is still possible.
func (a *attemptResponse) readFirstEvent() error {
	for {
		e, err := a.readNewEvent()
		if errors.Is(err, io.EOF) {
			a.complete = true
			return nil
		}
		if err != nil {
			return err
		}
		if e.data {
			a.setPending(e)
			return nil
		}
	}
}

// readNewEvent reads the next event that has not been received before. If the HTTP
// framing marks the end of the stream, it returns io.EOF there.
func (a *attemptResponse) readNewEvent() (streamEvent, error) {
	for {
		e, err := a.events.next()
		if errors.Is(err, io.EOF) && (a.head.EndMarked || a.events.partial()) {
			return e, errNoEndMark
		}
		if err != nil {
			return e, err
		}
		fresh, err := a.sequence.accept(e, a.head.EndMarked)
		if err != nil {
			return e, err
		}
		if err := a.countEvent(e, fresh); err != nil {
			return e, err
		}
		if fresh {
			return e, nil
		}
	}
}

// countEvent counts a new event with data as progress. Comments and repeated events are none, however many come.
func (a *attemptResponse) countEvent(e streamEvent, fresh bool) error {
	if fresh && e.data {
		a.events.idle = 0
		a.call.watch.progress()
		return nil
	}
	if e.data {
		a.call.watch.endPart()
	} else {
		a.call.watch.keepAlive()
	}
	return a.events.passOver(len(e.text))
}

// setPending makes the event's text pending and checks for the end mark.
func (a *attemptResponse) setPending(e streamEvent) {
	a.pending = e.text
	a.keepAlive = !e.data
	if e.end && a.head.EndMarked {
		a.complete = true
	}
}

// readFirstBytes reads a small response whole, or the first bytes of a large one.
func (a *attemptResponse) readFirstBytes() error {
	length := a.resp.Header.ContentLength()
	if length >= 0 && length <= maxBufferedBody && a.call.body != nil {
		body := make([]byte, length)
		if _, err := io.ReadFull(a, body); err != nil {
			return fmt.Errorf("proxy: truncated response: %w", err)
		}
		a.pending = body
		a.complete = true
		return nil
	}
	if a.head.BufferBody && length < 0 {
		return a.bufferBody()
	}
	a.buffer = make([]byte, readBufferSize)
	return a.readChunk()
}

// bufferBody reads a body of unknown length to its end, or up to the size limit. A
// larger body is forwarded as it arrives.
func (a *attemptResponse) bufferBody() error {
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedBody))
	if err != nil {
		return fmt.Errorf("proxy: truncated response: %w", err)
	}
	a.pending = body
	if len(body) < maxBufferedBody {
		a.complete = true
	}
	a.buffer = make([]byte, readBufferSize)
	return nil
}

// Read reads the body of a response that is no stream of events. Each byte of it is progress.
func (a *attemptResponse) Read(p []byte) (int, error) {
	n, err := a.call.Read(p)
	if n > 0 {
		a.call.watch.readBody()
	}
	return n, err
}

func (a *attemptResponse) readChunk() error {
	n, err := a.Read(a.buffer)
	a.pending = a.buffer[:n]
	if errors.Is(err, io.EOF) {
		a.complete = true
		return nil
	}
	return err
}

// unframedEnd decides on a response without a length or chunks whose connection was closed in order. The end of the
// server's process closes it as well, in the middle of the response.
func (a *attemptResponse) unframedEnd() error {
	if a.endCheck == nil {
		check := a.exchange.server.ends.checkUnframed(&a.attempt)
		a.endCheck = &check
	}
	if a.endCheck.ended() {
		return errUnframed
	}
	return io.EOF
}

// reportAnswered reports a whole response.
func (a *attemptResponse) reportAnswered() {
	uncertain := a.endCheck != nil && !a.endCheck.connected
	a.reportEnd(core.AttemptEnded{Outcome: retry.Answered, Uncertain: uncertain}, nil)
}

// readMore reads the next event or the next bytes into pending.
func (a *attemptResponse) readMore() error {
	if a.events == nil {
		return a.readChunk()
	}
	e, err := a.readNewEvent()
	if errors.Is(err, io.EOF) {
		a.complete = true
		return nil
	}
	if err != nil {
		return err
	}
	a.setPending(e)
	return nil
}

// resumeEventID returns the event number after which the stream can be resumed, or ""
// if it cannot.
func (a *attemptResponse) resumeEventID() string {
	if !a.resumable(a.exchange.race.streamRef()) {
		return ""
	}
	return strconv.FormatUint(a.sequence.last, 10)
}

// resumable reports whether another attempt can go on with the response. A stream with an end mark needs a stream ID; a
// stream without one can be resumed if its events are numbered.
func (a *attemptResponse) resumable(stream streamRef) bool {
	switch {
	case a.events == nil:
		return false
	case a.head.EndMarked:
		return stream.id != ""
	default:
		return a.sequence.last != 0 && !a.sequence.unnumbered
	}
}

// readFramingEnd reads the end of the HTTP framing after the end of the response, so that
// the connection can be reused. It reports whether the framing ended there.
func (a *attemptResponse) readFramingEnd() bool {
	if a.events == nil {
		return true
	}
	a.call.deadline = time.Now().Add(framingEndTimeout)
	var b [1]byte
	n, err := a.events.reader.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}
