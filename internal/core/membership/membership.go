// Package membership merges information on backend servers and on the fleet's own instances
// from several sources into one view. Within one incarnation a member that has left never
// becomes live again.
package membership

import "time"

// State is the lifecycle state of a member.
type State string

// The states, in ascending order of precedence within one incarnation.
const (
	// Live members accept new requests.
	Live State = "live"
	// Leaving members finish their requests in progress and get no new ones.
	Leaving State = "leaving"
	// Gone members no longer exist.
	Gone State = "gone"
)

// rank returns the precedence of a state within one incarnation: a state never replaces one of
// higher rank.
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

// Role distinguishes the fleet's own instances from backend servers.
type Role string

// The roles in the platform's list.
const (
	// RoleInstance is an instance of the fleet.
	RoleInstance Role = "entry"
	// RoleBackend is a backend server.
	RoleBackend Role = "backend"
)

// Member is one entry of the platform's list: an instance of the fleet or a backend server.
type Member struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Service is the service of a backend server.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	// Address is the address for requests to a backend server, or for an instance's peers.
	Address string `json:"address"`
	// Slots is the number of requests that a backend server processes concurrently by its own
	// account; 0 if it reports none.
	Slots int `json:"slots,omitempty"`
	// Version is the version of a backend server's software, "" if it is unknown. What two versions
	// generate does not fit together.
	Version string `json:"version,omitempty"`
	// Incarnation increases each time a process starts under this name.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	// WarmUp is the remaining time for which a backend server that has just started is cold, at the time of the message or entry.
	// A View holds 0.
	WarmUp time.Duration `json:"warm_up,omitempty"`
}

// Fact returns the name, incarnation and state of the entry.
func (m Member) Fact() Fact {
	return Fact{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
}

// Fact is the state of a member as reported by any source.
type Fact struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

// Report is a backend server's own report of its state and load.
type Report struct {
	Backend     string `json:"backend"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	// InFlight is the number of requests that the server processes or queues.
	InFlight int `json:"in_flight"`
	// At is the time at which the load was measured, by the server's clock.
	At time.Time `json:"at"`
	// Running is the number of requests that the server processes, and Slots the number that it can process at
	// once; 0 if they are not known. Peers do not forward them.
	Running int `json:"running,omitempty"`
	Slots   int `json:"slots,omitempty"`
	// WorkTime is how long work takes on the server's machine, in percent of the usual time; 0 if it is not known.
	WorkTime int `json:"work_time,omitempty"`
}

// Valid reports whether the figures of a report can be true. A server that reports a negative or a huge load, or
// more running requests than slots, would attract or repel the traffic of its service.
func (r *Report) Valid() bool {
	if !inRange(r.InFlight, MaxRequests) || !inRange(r.Running, MaxRequests) || !inRange(r.Slots, MaxRequests) {
		return false
	}
	return inRange(r.WorkTime, MaxWorkTime) && r.Running <= r.InFlight && (r.Slots == 0 || r.Running <= r.Slots)
}
