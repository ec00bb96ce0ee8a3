package claims

import (
	"encoding/binary"
	"errors"
	"time"
)

// maxClockSkew is the maximum difference between the clocks of two instances. Records stay
// valid for this long after their expiry.
const maxClockSkew = 30 * time.Second

// Record is one entry of the log. The last record of a key determines its state.
type Record struct {
	Key   KeyHash
	Token uint64
	State State
	// Expires is in seconds since the Unix epoch.
	Expires uint32
}

// expired reports whether the record is no longer valid.
func (r Record) expired(now time.Time) bool { return expired(r.Expires, now) }

func expired(expires uint32, now time.Time) bool {
	return now.Add(-maxClockSkew).Unix() > int64(expires)
}

// Segment is the content of one slot.
type Segment struct {
	// Seq numbers the segments of a log from 0. Segment Seq is in slot Seq % Slots.
	Seq uint64
	// Oldest is the first segment that still had a valid record when this one was written.
	// A reader needs the segments from Oldest to this one.
	Oldest  uint64
	Records []Record
}

func (s *Segment) full() bool { return len(s.Records) >= SegmentRecords }

func (s *Segment) slot() int { return slotOf(s.Seq) }

func slotOf(seq uint64) int { return int(seq % Slots) }

// expiry returns when the last of the records expires.
func (s *Segment) expiry() uint32 {
	last := uint32(0)
	for _, r := range s.Records {
		last = max(last, r.Expires)
	}
	return last
}

// Binary encoding: a version byte, Seq, Oldest, then the records.
const (
	encodingVersion = 1
	headerBytes     = 1 + 8 + 8
	recordBytes     = 8 + 8 + 8 + 1 + 4
	segmentBytes    = headerBytes + (SegmentRecords+maxBatch)*recordBytes
)

// ErrSegment means that a store value is not a valid segment.
var ErrSegment = errors.New("claims: invalid segment")

// Encode returns the store value of the segment.
func (s *Segment) Encode() []byte {
	b := make([]byte, 0, headerBytes+len(s.Records)*recordBytes)
	b = append(b, encodingVersion)
	b = binary.BigEndian.AppendUint64(b, s.Seq)
	b = binary.BigEndian.AppendUint64(b, s.Oldest)
	for _, r := range s.Records {
		b = binary.BigEndian.AppendUint64(b, r.Key.Hi)
		b = binary.BigEndian.AppendUint64(b, r.Key.Lo)
		b = binary.BigEndian.AppendUint64(b, r.Token)
		b = append(b, byte(r.State))
		b = binary.BigEndian.AppendUint32(b, r.Expires)
	}
	return b
}

// Decode parses a store value.
func Decode(b []byte) (Segment, error) {
	if len(b) < headerBytes || len(b) > segmentBytes || b[0] != encodingVersion || (len(b)-headerBytes)%recordBytes != 0 {
		return Segment{}, ErrSegment
	}
	s := Segment{Seq: binary.BigEndian.Uint64(b[1:]), Oldest: binary.BigEndian.Uint64(b[9:])}
	if s.Oldest > s.Seq || s.Seq-s.Oldest >= Slots {
		return Segment{}, ErrSegment
	}
	s.Records = make([]Record, 0, SegmentRecords)
	for b = b[headerBytes:]; len(b) > 0; b = b[recordBytes:] {
		s.Records = append(s.Records, Record{
			Key:     KeyHash{Hi: binary.BigEndian.Uint64(b), Lo: binary.BigEndian.Uint64(b[8:])},
			Token:   binary.BigEndian.Uint64(b[16:]),
			State:   State(b[24]),
			Expires: binary.BigEndian.Uint32(b[25:]),
		})
	}
	return s, nil
}
