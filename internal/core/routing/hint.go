package routing

import (
	"encoding/base64"
	"encoding/binary"
	"time"
)

// Hint identifies the backend server that served the previous turn of a chat. Callers send
// it with the next turn, so that the fleet needs no state for the millions of chats that
// may return.
//
// A hint is untrusted input: it may be forged or stale. It can only propose a candidate
// that the configuration and the membership contain, and all bounds and limits apply to
// that candidate. At worst, a bad hint costs the reuse of a cached prefix.
type Hint struct {
	Backend     string
	Incarnation uint64
	// PlacedMinutes is when the placement was made, in minutes since the Unix epoch. A
	// hint is dropped once no backend server is expected to still hold the prefix.
	PlacedMinutes uint64
}

const (
	hintVersion = 1
	// hintMaxName limits the backend server's name, in bytes.
	hintMaxName = 128
	// hintMaxBytes is the size of the version, two varints and the longest name.
	hintMaxBytes = 1 + 2*binary.MaxVarintLen64 + hintMaxName
	// hintMaxAge is the maximum age of a hint. After a longer pause, the chat is placed by
	// its ranking instead of where its prefix was.
	hintMaxAge = 12 * time.Hour
	// hintMaxClockSkew is the tolerance for the clock of another instance.
	hintMaxClockSkew = 5 * time.Minute
)

// NewHint returns the hint for a placement made at now.
func NewHint(c *Candidate, now time.Time) Hint {
	return Hint{Backend: c.Name, Incarnation: c.Incarnation, PlacedMinutes: unixMinutes(now)}
}

func unixMinutes(t time.Time) uint64 { return uint64(max(0, t.Unix()/60)) }

// Encode returns the opaque text of the hint, or "" if the backend server's name is
// missing or too long.
func (h Hint) Encode() string {
	if h.Backend == "" || len(h.Backend) > hintMaxName {
		return ""
	}
	var buf [hintMaxBytes]byte
	b := append(buf[:0], hintVersion)
	b = binary.AppendUvarint(b, h.PlacedMinutes)
	b = binary.AppendUvarint(b, h.Incarnation)
	b = append(b, h.Backend...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// DecodeHint parses the result of Encode. It returns false for any other text.
func DecodeHint(text string) (Hint, bool) {
	if len(text) == 0 || len(text) > base64.RawURLEncoding.EncodedLen(hintMaxBytes) {
		return Hint{}, false
	}
	var buf [hintMaxBytes + 2]byte
	n, err := base64.RawURLEncoding.Strict().Decode(buf[:], []byte(text))
	if err != nil || n == 0 || buf[0] != hintVersion {
		return Hint{}, false
	}
	b := buf[1:n]
	minutes, k := binary.Uvarint(b)
	if k <= 0 {
		return Hint{}, false
	}
	b = b[k:]
	incarnation, k := binary.Uvarint(b)
	if k <= 0 || len(b) == k || len(b)-k > hintMaxName {
		return Hint{}, false
	}
	return Hint{Backend: string(b[k:]), Incarnation: incarnation, PlacedMinutes: minutes}, true
}

// Fresh reports whether the backend server may still hold the prefix.
func (h Hint) Fresh(now time.Time) bool {
	return h.PlacedMinutes <= unixMinutes(now.Add(hintMaxClockSkew)) && h.PlacedMinutes >= unixMinutes(now.Add(-hintMaxAge))
}
