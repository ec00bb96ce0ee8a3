// Package membership merges what is said of backend servers and of the fleet's
// own instances into one view, in which nothing that left comes back to life.
package membership

import "time"

// State is what is known of an instance.
type State string

// The states, in the order in which they win within one incarnation.
const (
	// Live instances take new work.
	Live State = "live"
	// Leaving instances end the work they have and get none.
	Leaving State = "leaving"
	// Gone instances are no more.
	Gone State = "gone"
)

// rank orders the states within one incarnation: a later one is never undone.
func (s State) rank() int {
	switch s {
	case Live:
		return 1
	case Leaving:
		return 2
	case Gone:
		return 3
	default:
		return 0
	}
}

// Role tells the fleet's own instances from backend servers.
type Role string

// The roles in the platform's list.
const (
	// Entry is an instance of this system.
	Entry Role = "entry"
	// Backend is a backend server.
	Backend Role = "backend"
)

// Instance is one line of the platform's list.
type Instance struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Service is a backend server's service.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	// Address is the address for traffic; for an entry instance, for its peers.
	Address string `json:"address"`
	// Slots is the number of requests that a backend server says it works on at once;
	// 0 if it does not say.
	Slots int `json:"slots,omitempty"`
	// Incarnation grows each time a process starts under this name.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

// Fact returns what the line says of the instance's state.
func (in Instance) Fact() Fact {
	return Fact{Name: in.Name, Incarnation: in.Incarnation, State: in.State}
}

// Fact is one thing said of an instance by anyone.
type Fact struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

// Report is a backend server's own word on its state and load.
type Report struct {
	Backend     string `json:"backend"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	// InFlight is the number of requests it works on or queues.
	InFlight int `json:"in_flight"`
	// At is when the load was so, by the clock of the one who says it.
	At time.Time `json:"at"`
}
