package membership

import (
	"errors"
	"fmt"
)

// Limits of what a backend server says of itself, in its entry in the store or in its reports. A number above them is not true,
// and it must not be added to those of other servers or multiplied.
const (
	// MaxRequests is the highest number of requests, or slots for them, at one backend server. Each request in progress takes
	// a connection, and a process has about a million file descriptors at most.
	MaxRequests = 1_000_000
	// MaxWorkTime is the longest work time, in percent of the usual time.
	MaxWorkTime = 100_000
)

// ErrImpossible means that a member has a number that no member can have.
var ErrImpossible = errors.New("impossible number")

// Check returns an error that wraps ErrImpossible if a number of the member is out of range. Such a member must not be used: what
// else it says is as doubtful, and with its number cut to the limit it would count as a server with room for everything.
func (m *Member) Check() error {
	if !inRange(m.Slots, MaxRequests) {
		return fmt.Errorf("%w: %d slots, expected 0 to %d", ErrImpossible, m.Slots, MaxRequests)
	}
	return nil
}

// inRange reports whether a figure is from 0 to a limit.
func inRange(figure, limit int) bool { return figure >= 0 && figure <= limit }
