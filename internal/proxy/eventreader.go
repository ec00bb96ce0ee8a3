package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventSize limits the size of a server-sent event in bytes, and so the memory of this
// instance that an engine can use for one stream.
const maxEventSize = 1 << 20

// maxIdleBytes limits the bytes between two new events with data, such as comments and repeated events. Comments that keep a
// connection alive need hours for it.
const maxIdleBytes = 1 << 20

// endMark is the data of the event that ends a complete chat stream.
const endMark = "[DONE]"

var (
	errEventTooLarge = fmt.Errorf("%w: event over the size limit", errMalformed)
	errNoEvents      = fmt.Errorf("%w: too much between two events", errMalformed)
	errEventGap      = errors.New("proxy: event missing from the stream")
	errNoEndMark     = errors.New("proxy: stream ended without its end mark")
)

// streamEvent is one complete server-sent event.
type streamEvent struct {
	// text is the event as received, including the blank line that ends it. It is
	// valid until the next read.
	text []byte
	// id is the event's number, or 0 if it has none.
	id uint64
	// data is set on an event with data, unlike a comment that only keeps the
	// connection alive.
	data bool
	// end is set on the event that carries the end mark.
	end bool
}

// eventReader splits a stream into complete events.
//
// Only complete events are sent to the caller: if an engine fails within an event, the
// resumed stream starts at the beginning of an event and nothing is sent twice.
type eventReader struct {
	reader *bufio.Reader
	// text holds the event that is being read.
	text []byte
	// idle counts the bytes since the last new event with data.
	idle int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

// next reads one event.
func (r *eventReader) next() (streamEvent, error) {
	r.text = r.text[:0]
	var e streamEvent
	for {
		line, err := r.readLine()
		if err != nil {
			return streamEvent{}, err
		}
		if len(line) == 0 {
			if len(r.text) <= len("\r\n") {
				if err := r.passOver(len(r.text)); err != nil {
					return streamEvent{}, err
				}
				r.text = r.text[:0]
				continue
			}
			e.text = r.text
			return e, nil
		}
		e.parseLine(line)
	}
}

// passOver counts bytes that are no new event with data.
func (r *eventReader) passOver(n int) error {
	r.idle += n
	if r.idle > maxIdleBytes {
		return errNoEvents
	}
	return nil
}

// partial reports whether reading ended within an event.
func (r *eventReader) partial() bool { return len(r.text) > 0 }

// readLine appends one line to the text and returns it without its line ending.
func (r *eventReader) readLine() ([]byte, error) {
	start := len(r.text)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.text = append(r.text, part...)
		if len(r.text) > maxEventSize {
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

// maxEventIDBits is the size of an event number in bits. The core compares them as signed integers.
const maxEventIDBits = 63

// ParseEventID returns the number in the ID of an event, or 0 if the ID is no number in range.
func ParseEventID(text string) uint64 {
	number, err := strconv.ParseUint(text, 10, maxEventIDBits)
	if err != nil {
		return 0
	}
	return number
}

// parseLine parses one line of the event.
func (e *streamEvent) parseLine(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.id = ParseEventID(string(value))
	case "data":
		e.data = true
		e.end = string(value) == endMark
	}
}

// eventSequence tracks the event numbers of a stream across resumptions.
type eventSequence struct {
	last uint64
	// unnumbered is set if an event with data and without a number has followed the last one.
	unnumbered bool
}

// accept reports whether the event is new; a repeated event must be dropped. If
// everyNumber is set, event numbers are contiguous and a gap is an error, because the
// caller would miss a part of the response without notice.
func (s *eventSequence) accept(e streamEvent, everyNumber bool) (bool, error) {
	switch {
	case e.id == 0:
		s.unnumbered = s.unnumbered || e.data
		return true, nil
	case e.id <= s.last:
		return false, nil
	case everyNumber && e.id > s.last+1:
		return false, fmt.Errorf("%w: %d after %d", errEventGap, e.id, s.last)
	default:
		s.last, s.unnumbered = e.id, false
		return true, nil
	}
}
