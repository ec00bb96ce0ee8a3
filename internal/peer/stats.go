package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Kind is the kind of a message. It is a label of the control traffic metrics.
type Kind int

// The kinds of messages. LinkOverhead counts traffic that belongs to no message: hellos and yamux
// frames without data.
const (
	DigestKind Kind = iota
	ConfigOfferKind
	ConfigWantedKind
	EntriesOfferKind
	EntriesWantedKind
	ClaimKind
	ClaimReplyKind
	StreamOfferKind
	StreamQuestionKind
	StreamAnswerKind
	SlotKind
	RetryKind
	PermitKind
	LinkOverhead
	kinds
)

// String returns the value of the metric label.
func (k Kind) String() string {
	return [kinds]string{
		"digest", "config-offer", "config-wanted", "entries-offer", "entries-wanted", "claim", "claim-reply",
		"stream-offer", "stream-question", "stream-answer", "slot", "retry", "permit", "link",
	}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	out := make([]Kind, kinds)
	for k := range out {
		out[k] = Kind(k)
	}
	return out
}

// KindOf returns the kind of a message. A digest that is sent along with another message is
// counted under the kind of that message.
func KindOf(m core.PeerMessage) Kind {
	switch {
	case m.ConfigOffer != nil:
		return ConfigOfferKind
	case m.ConfigWanted != nil:
		return ConfigWantedKind
	case m.EntriesOffer != nil:
		return EntriesOfferKind
	case m.EntriesWanted != nil:
		return EntriesWantedKind
	case m.Claim != nil:
		return ClaimKind
	case m.ClaimReply != nil:
		return ClaimReplyKind
	case m.StreamOffer != nil:
		return StreamOfferKind
	case m.StreamQuestion != nil:
		return StreamQuestionKind
	case m.StreamAnswer != nil:
		return StreamAnswerKind
	case m.Slot != nil:
		return SlotKind
	case m.Retry != nil:
		return RetryKind
	case m.Permit != nil:
		return PermitKind
	default:
		return DigestKind
	}
}

// YamuxHeaderSize is the size in bytes of the header of a yamux frame (yamux specification,
// "Framing").
const YamuxHeaderSize = 12

// Count is the traffic of one kind in one direction.
type Count struct {
	Messages uint64
	// Bytes counts the bytes on the connection: frame, length prefix and yamux header.
	Bytes uint64
}

type counter struct{ messages, bytes atomic.Uint64 }

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counter) load() Count {
	return Count{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}

// Stats counts the traffic on all links of an instance.
type Stats struct {
	in, out       [kinds]counter
	drops         [kinds]atomic.Uint64
	wireIn        atomic.Uint64
	wireOut       atomic.Uint64
	rejectedConns atomic.Uint64
	badFrames     atomic.Uint64
	endlessInputs atomic.Uint64
	frameBytesIn  atomic.Uint64
	frameBytesOut atomic.Uint64
}

// Snapshot holds the counters at one point in time.
type Snapshot struct {
	In, Out map[Kind]Count
	// Dropped counts messages dropped because the peer had no link or its queue was full.
	Dropped map[Kind]uint64
	// RejectedConns counts connections that were closed because they sent no valid hello, came from
	// another fleet, or exceeded the limit on connections without a completed handshake.
	RejectedConns uint64
	// BadFrames counts links closed because of an invalid frame.
	BadFrames uint64
	// EndlessInputs counts links closed because their peer sent too many bytes, or took too long, without completing a message.
	EndlessInputs uint64
}

// Snapshot reads the counters.
func (s *Stats) Snapshot() Snapshot {
	out := Snapshot{
		In: make(map[Kind]Count), Out: make(map[Kind]Count), Dropped: make(map[Kind]uint64),
		RejectedConns: s.rejectedConns.Load(), BadFrames: s.badFrames.Load(), EndlessInputs: s.endlessInputs.Load(),
	}
	for k := range LinkOverhead {
		out.In[k] = s.in[k].load()
		out.Out[k] = s.out[k].load()
		out.Dropped[k] = s.drops[k].Load()
	}
	out.In[LinkOverhead] = Count{Bytes: overheadBytes(&s.wireIn, &s.frameBytesIn)}
	out.Out[LinkOverhead] = Count{Bytes: overheadBytes(&s.wireOut, &s.frameBytesOut)}
	return out
}

// overheadBytes returns the number of bytes on the connections that belong to no message. It is at
// least 0: a frame may be counted shortly before or after its bytes.
func overheadBytes(wire, frames *atomic.Uint64) uint64 {
	f := frames.Load()
	w := wire.Load()
	return w - min(w, f)
}

func (s *Stats) received(k Kind, frame int) {
	n := WireSize(frame)
	s.in[k].add(n)
	s.frameBytesIn.Add(uint64(n))
}

func (s *Stats) sent(k Kind, frameWithLength int) {
	n := frameWithLength + YamuxHeaderSize
	s.out[k].add(n)
	s.frameBytesOut.Add(uint64(n))
}

func (s *Stats) dropped(k Kind) {
	s.drops[k].Add(1)
}

func (s *Stats) rejected() {
	s.rejectedConns.Add(1)
}

func (s *Stats) badFrame() {
	s.badFrames.Add(1)
}

func (s *Stats) endlessInput() {
	s.endlessInputs.Add(1)
}

// WireSize returns the number of bytes on the connection for a frame of the given size.
func WireSize(frame int) int {
	return YamuxHeaderSize + len(binary.AppendUvarint(nil, uint64(frame))) + frame
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	stats *Stats
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.wireIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.wireOut.Add(uint64(n))
	return n, err
}
