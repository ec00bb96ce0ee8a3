// Package streams keeps which software began each stream that its caller may continue with another
// request, and on whose word a request may go on.
//
// Servers of several versions serve side by side, and what two versions generate does not fit together. A
// request that continues a stream names only the caller's ID of the request that began it. The invariant:
// it goes on at the software of that request's first event, or not at all. A record of it may be missing,
// but is never wrong; where none is found, nothing is assumed that some instance could contradict.
package streams

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies a stream by the request that brought its first event; 0 means none.
type Key uint64

// KeyOf returns the key of the stream that a customer's request began, by the caller's ID of the request.
// The hash is cryptographic, so that no customer can name another customer's stream.
func KeyOf(customer, callerID string) Key {
	if callerID == "" {
		return 0
	}
	text := binary.AppendUvarint(nil, uint64(len(customer)))
	text = append(text, customer...)
	sum := sha256.Sum256(append(text, callerID...))
	return Key(max(1, binary.BigEndian.Uint64(sum[:])))
}

// Software is what the servers that generate parts of one stream must have in common.
type Software struct {
	Service string `json:"service"`
	// Version is "" if it is unknown.
	Version string `json:"version,omitempty"`
}

// Process is one start of a backend server.
type Process struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Record says where a stream began, as it is sent to other instances.
type Record struct {
	Key Key `json:"key"`
	Software
	// Process generated the first event.
	Process Process `json:"process"`
	// Certain is set if Process is known to have generated the first event. Otherwise its successor under
	// the same name may have, until the entry of that one would be known.
	Certain bool `json:"certain,omitempty"`
	// Uncertain is set if Process may not be the one that generated the first event.
	Uncertain bool `json:"uncertain,omitempty"`
	// Keep is how much longer the caller may continue the stream.
	Keep time.Duration `json:"keep"`
}
