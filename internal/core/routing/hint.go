package routing

import (
	"encoding/base64"
	"encoding/binary"
	"time"
)

// Hint says where a chat's last turn was placed. Callers carry it between turns,
// so that the fleet keeps nothing for millions of chats that may return.
//
// It comes back from outside and may be forged or stale. It only ever proposes a
// candidate that the configuration and the membership name; every bound and limit
// applies to it as to any other, so the worst that it can cost is reuse.
type Hint struct {
	Backend     string
	Incarnation uint64
	// Epoch is when the placement was made, in minutes since 1970. A hint is
	// dropped once no backend server can be expected to hold the prefix still.
	Epoch uint64
}

const (
	hintVersion = 1
	// hintMaxName bounds the backend server's name.
	hintMaxName = 128
	// hintMaxBytes is the version, two varints and the name.
	hintMaxBytes = 1 + 2*binary.MaxVarintLen64 + hintMaxName
	// hintMaxAge is the longest pause after which a prefix is still looked for
	// where it was rather than where the ranking puts the chat.
	hintMaxAge = 12 * time.Hour
	// hintMaxAhead allows for another instance's clock.
	hintMaxAhead = 5 * time.Minute
)

// NewHint returns the hint of a placement made at now.
func NewHint(c *Candidate, now time.Time) Hint {
	return Hint{Backend: c.Name, Incarnation: c.Incarnation, Epoch: epoch(now)}
}

func epoch(t time.Time) uint64 { return uint64(max(0, t.Unix()/60)) }

// Encode returns the opaque text of the hint, or "" for a name too long for one.
func (h Hint) Encode() string {
	if h.Backend == "" || len(h.Backend) > hintMaxName {
		return ""
	}
	var buf [hintMaxBytes]byte
	b := append(buf[:0], hintVersion)
	b = binary.AppendUvarint(b, h.Epoch)
	b = binary.AppendUvarint(b, h.Incarnation)
	b = append(b, h.Backend...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// DecodeHint reads what Encode wrote. Anything else is no hint.
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
	at, k := binary.Uvarint(b)
	if k <= 0 {
		return Hint{}, false
	}
	b = b[k:]
	incarnation, k := binary.Uvarint(b)
	if k <= 0 || len(b) == k || len(b)-k > hintMaxName {
		return Hint{}, false
	}
	return Hint{Backend: string(b[k:]), Incarnation: incarnation, Epoch: at}, true
}

// Fresh tells whether the prefix may still be where the hint says.
func (h Hint) Fresh(now time.Time) bool {
	return h.Epoch <= epoch(now.Add(hintMaxAhead)) && h.Epoch >= epoch(now.Add(-hintMaxAge))
}
