package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEvent bounds one server-sent event, and so the memory that an engine can
// take of this instance for one stream.
const maxEvent = 1 << 20

// endMark is the data of the event that ends a whole chat stream.
const endMark = "[DONE]"

var (
	errEventTooLarge = errors.New("proxy: event over the size limit")
	errEventGap      = errors.New("proxy: event missing from the stream")
	errNoEndMark     = errors.New("proxy: stream ended without its end mark")
)

// streamEvent is one whole server-sent event.
type streamEvent struct {
	// text is the event as it came, with its closing blank line. It is valid
	// until the next read.
	text []byte
	// id is the event's number, or 0 if it has none.
	id uint64
	// data tells an event from a comment that only keeps the connection alive.
	data bool
	// end is set on the event that carries the end mark.
	end bool
}

// eventReader cuts a stream into whole events.
//
// Only whole events reach the caller: when an engine dies inside an event, the
// resumed stream can begin at an event's start and nothing is sent twice.
type eventReader struct {
	in   *bufio.Reader
	text []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReader(r)}
}

// next reads one event.
func (r *eventReader) next() (streamEvent, error) {
	r.text = r.text[:0]
	var e streamEvent
	for {
		line, err := r.line()
		if err != nil {
			return streamEvent{}, err
		}
		if len(line) == 0 {
			if len(r.text) <= len("\r\n") {
				r.text = r.text[:0]
				continue
			}
			e.text = r.text
			return e, nil
		}
		e.take(line)
	}
}

// partial tells whether the reading ended inside an event.
func (r *eventReader) partial() bool { return len(r.text) > 0 }

// line adds one line to the text and returns it without its end.
func (r *eventReader) line() ([]byte, error) {
	start := len(r.text)
	for {
		part, err := r.in.ReadSlice('\n')
		r.text = append(r.text, part...)
		if len(r.text) > maxEvent {
			return nil, errEventTooLarge
		}
		if err == nil {
			return bytes.TrimRight(r.text[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func (e *streamEvent) take(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.id, _ = strconv.ParseUint(string(value), 10, 64)
	case "data":
		e.data = true
		e.end = string(value) == endMark
	}
}

// sequence follows the numbers of a stream's events across resumptions.
type sequence struct {
	last uint64
}

// check tells whether the event is new. An event seen before is a repeat, to be
// dropped. Where every number is given, one left out is an error, for the caller
// would lack a part of its answer without any sign of it.
func (s *sequence) check(e streamEvent, everyNumber bool) (bool, error) {
	switch {
	case e.id == 0:
		return true, nil
	case e.id <= s.last:
		return false, nil
	case everyNumber && e.id > s.last+1:
		return false, fmt.Errorf("%w: %d after %d", errEventGap, e.id, s.last)
	default:
		s.last = e.id
		return true, nil
	}
}
