package peer

import (
	"encoding/binary"
	"errors"
	"sync/atomic"
)

// linkStreams is the number of streams of a link. The instance that dialed opens them.
const linkStreams = 2

// maxUnfinished is the maximum number of bytes that a peer sends on its link without completing a message. It has room for a
// frame on each stream, cut into small multiplexer frames.
const maxUnfinished = 4 * maxFrame

// Fields of the header of a yamux frame (yamux specification, "Framing").
const (
	yamuxTypeAt   = 1
	yamuxFlagsAt  = 2
	yamuxLengthAt = 8
	yamuxData     = 0
	yamuxPing     = 2
	yamuxSYN      = 1
)

// Errors for which a link is closed although its session could go on.
var (
	errNoMessage = errors.New("peer: too many bytes without a message")
	errPing      = errors.New("peer: keep-alive frame, which no instance sends")
	errStreams   = errors.New("peer: too many streams")
)

// inputLimit bounds what a peer may send that belongs to no message. The session answers each keep-alive frame from a goroutine
// of its own, so that a peer which sends them and reads nothing could exhaust the memory.
type inputLimit struct {
	header [YamuxHeaderSize]byte
	// have is the number of bytes of the header that have arrived, and payload the number of bytes before the next header.
	have    int
	payload uint32
	// streams is the number of streams that the peer has opened.
	streams int
	// unfinished is the number of bytes since the last message.
	unfinished atomic.Int64
}

// check follows the frames in the next bytes. It returns an error if they exceed the limits.
func (l *inputLimit) check(b []byte) error {
	if l.unfinished.Add(int64(len(b))) > maxUnfinished {
		return errNoMessage
	}
	for len(b) > 0 {
		if l.payload > 0 {
			n := min(uint32(len(b)), l.payload)
			l.payload -= n
			b = b[n:]
			continue
		}
		n := copy(l.header[l.have:], b)
		l.have += n
		b = b[n:]
		if l.have < len(l.header) {
			return nil
		}
		if err := l.checkHeader(); err != nil {
			return err
		}
	}
	return nil
}

// checkHeader begins the frame whose header is complete.
func (l *inputLimit) checkHeader() error {
	l.have = 0
	switch l.header[yamuxTypeAt] {
	case yamuxData:
		l.payload = binary.BigEndian.Uint32(l.header[yamuxLengthAt:])
	case yamuxPing:
		return errPing
	}
	if binary.BigEndian.Uint16(l.header[yamuxFlagsAt:])&yamuxSYN != 0 {
		l.streams++
	}
	if l.streams > linkStreams {
		return errStreams
	}
	return nil
}

// messageCompleted records that a message is complete.
func (l *inputLimit) messageCompleted() { l.unfinished.Store(0) }
