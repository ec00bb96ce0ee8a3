// Package status holds what an instance tells operators of itself and of its view of the fleet. No decision depends on it.
package status

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/warmup"
)

// Status is an instance's status for operators: its own state and its view of the fleet.
type Status struct {
	// At is the current time by the instance's clock.
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	// Stopping is set once the graceful shutdown has begun.
	Stopping bool `json:"stopping,omitempty"`
	// Generation is that of the configuration in force, 0 if there is none.
	Generation uint64 `json:"generation"`
	// Edit identifies the edit of the configuration in force.
	Edit string `json:"edit,omitempty"`
	// Findings are the validation errors of the last refused configuration, if any.
	Findings config.Findings `json:"findings,omitempty"`
	// Adjusted are the elements of the configuration in force that are not in force as they were written.
	Adjusted []config.Adjustment `json:"adjusted,omitempty"`
	Platform Platform            `json:"platform"`
	// InFlight is the number of this instance's requests in flight.
	InFlight int `json:"in_flight"`
	// ConfigReadOnly is set where only the platform's operators may write the configuration and the evacuations.
	ConfigReadOnly bool `json:"config_read_only,omitempty"`
	// EvacuationsKnown is set once the instance knows which zones are evacuated.
	EvacuationsKnown bool         `json:"evacuations_known,omitempty"`
	Evacuations      []Evacuation `json:"evacuations,omitempty"`
	// SeparatedZones are the zones from which this instance is cut off.
	SeparatedZones []SeparatedZone `json:"separated_zones,omitempty"`
	Services       []Service       `json:"services"`
	// Instances are the other instances of the fleet.
	Instances []Instance `json:"instances"`
	// Peers are the instances from which this one received digests.
	Peers []Peer `json:"peers"`
}

// Platform reports whether calls to the platform succeed.
type Platform struct {
	// Known is set once the first call has ended.
	Known     bool `json:"known"`
	Reachable bool `json:"reachable"`
	// Since is when Reachable last changed.
	Since time.Time `json:"since,omitzero"`
	// LastCall is when the last call ended.
	LastCall time.Time `json:"last_call,omitzero"`
}

// Service is this instance's view of a service.
type Service struct {
	Name string      `json:"name"`
	Kind config.Kind `json:"kind"`
	// Mean is the mean load of the usable backend servers.
	Mean float64 `json:"mean"`
	// Overload is the service's load and what was refused lately, nil in the status of an earlier build.
	Overload *Overload `json:"overload,omitempty"`
	// Backends are the usable backend servers, followed by those in evacuated zones and those that are leaving.
	Backends []Backend `json:"backends"`
}

// Backend is one backend server.
type Backend struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Load is the estimated number of its requests in flight.
	Load float64 `json:"load"`
	// Own is the number of them that this instance sent.
	Own int `json:"own"`
	// State is the membership state. A server that is listed only in the configuration is
	// live until it reports otherwise.
	State membership.State `json:"state"`
	// Unreachable is set if this instance recently failed to connect to it.
	Unreachable bool `json:"unreachable,omitempty"`
	// Evacuated is set if it gets no new requests because its zone is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Cold is set while it warms up.
	Cold *Cold `json:"cold,omitempty"`
	// Slowness is how long work takes there at the moment as a multiple of the usual time, and Basis the basis of that estimate. Both
	// are empty for a server that is not slower than usual.
	Slowness float64       `json:"slowness,omitempty"`
	Basis    SlownessBasis `json:"slowness_basis,omitempty"`
}

// Instance is the membership entry of an instance.
type Instance struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Address string           `json:"address"`
	State   membership.State `json:"state"`
}

// Peer is the state in a peer's last digest.
type Peer struct {
	Name         string    `json:"name"`
	Generation   uint64    `json:"generation"`
	Leaving      bool      `json:"leaving,omitempty"`
	LastDigestAt time.Time `json:"heard"`
}

// Overload is what an instance knows of the load of a service and of the requests that it refused.
type Overload struct {
	// Load is the estimated number of requests at the reachable servers, Capacity the number up to which requests are sent, Servers
	// the number of these servers, and ReportAge the age of the oldest of their last reports, negative if there is none.
	Load      float64       `json:"load"`
	Capacity  float64       `json:"capacity"`
	Servers   int           `json:"servers"`
	ReportAge time.Duration `json:"report_age,omitempty"`
	// Overloaded is set while the service refuses requests for lack of room, and Since is when that last changed.
	Overloaded bool      `json:"overloaded,omitempty"`
	Since      time.Time `json:"since,omitzero"`
	// Levels are the levels with recent requests or an expected wait, in ascending order: -1 for requests without a route, then from
	// the most urgent.
	Levels []Level `json:"levels,omitempty"`
	// Refused holds the requests that were refused in the last overloadstats.RecentSeconds, by reason.
	Refused []Refused `json:"refused,omitempty"`
}

// Level is the state of the requests of one urgency.
type Level struct {
	Level int `json:"level"`
	// Wait is how long a request is expected to wait for the first byte of its response, 0 if that is not known.
	Wait time.Duration `json:"wait,omitempty"`
	// Admitted and Refused are the numbers of requests in the last overloadstats.RecentSeconds.
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
}

// Refused is the number of recent refusals for one reason.
type Refused struct {
	Reason reason.Reason `json:"reason"`
	Count  int           `json:"count"`
}

// SlownessBasis is the basis of an estimate of a server's slowness.
type SlownessBasis string

// The bases of an estimate.
const (
	// SlownessReported means that the server's report is recent and counts fully.
	SlownessReported SlownessBasis = "reported"
	// SlownessFading means that the report is older, so that its effect decreases with its age.
	SlownessFading SlownessBasis = "fading"
)

// Evacuation is an evacuated zone as this instance sees it.
type Evacuation struct {
	Zone string `json:"zone"`
	// Revision is the store's revision at which the evacuation was requested.
	Revision uint64 `json:"revision"`
	// Since is when this instance learned of it.
	Since time.Time `json:"since"`
	// Servers is the number of the zone's backend servers, 0 if no server is known there.
	Servers int `json:"servers"`
	// Own is the number of this instance's requests in progress there, and Load the estimated number of all.
	Own  int     `json:"own"`
	Load float64 `json:"load"`
}

// SeparatedZone is a zone from which this instance is cut off.
type SeparatedZone struct {
	Zone  string    `json:"zone"`
	Since time.Time `json:"since"`
	// Servers is the number of the zone's backend servers, and Instances that of its live instances.
	Servers   int `json:"servers"`
	Instances int `json:"instances"`
}

// Cold is the state of a backend server that warms up, as an instance knows it.
type Cold struct {
	// Until is the time until which it is cold; zero if it must be reached first.
	Until time.Time `json:"until,omitzero"`
	// Cause is why it is cold.
	Cause warmup.Cause `json:"cause"`
	// Issuer is the instance that permits requests to it, "" if it is not known.
	Issuer string `json:"issuer,omitempty"`
	// PerSecond is the number of requests that one issuer permits a second, and Granted the number that this instance has
	// granted within the last one.
	PerSecond int `json:"per_second"`
	Granted   int `json:"granted"`
	// Ends is the number of its ends while it was cold, within the last minute.
	Ends int `json:"ends,omitempty"`
}
