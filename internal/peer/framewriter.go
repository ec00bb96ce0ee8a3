package peer

import (
	"encoding/binary"
	"io"
)

// Format of the header of a yamux frame.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
	// maxKeptBuffer bounds the buffer that is kept between frames, in bytes.
	maxKeptBuffer = 4096
)

// frameWriter writes the header and the body of a yamux frame at once. The session writes them one after the other, which costs the
// sender a system call more, and the receiver a wake-up more, for each message. It is not safe for concurrent use.
type frameWriter struct {
	to io.Writer
	// frame holds the header of the frame whose body comes next, nothing if there is none.
	frame []byte
}

// Write implements io.Writer for the session, which writes the whole header of a frame and then its whole body. A header that was
// taken is written with the body, and so are errors.
func (w *frameWriter) Write(b []byte) (int, error) {
	if len(w.frame) == 0 && precedesBody(b) {
		w.frame = append(w.frame, b...)
		return len(b), nil
	}
	if len(w.frame) == 0 {
		return w.to.Write(b)
	}
	w.frame = append(w.frame, b...)
	_, err := w.to.Write(w.frame)
	w.frame = w.frame[:0]
	if cap(w.frame) > maxKeptBuffer {
		w.frame = nil
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// precedesBody reports whether b is the header of a frame with a body.
func precedesBody(b []byte) bool {
	return len(b) == yamuxHeaderSize && b[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
