// Package config holds the operators' text: its types, its checks with places,
// and the immutable snapshot that the other packages read.
package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time span written as text, such as "30s".
type Duration time.Duration

// MarshalJSON writes the span in the form that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a span such as "1m30s".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration: expected text such as \"30s\", found %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration: expected text such as \"30s\", found %q", s)
	}
	*d = Duration(v)
	return nil
}

// Kind is the kind of a service.
type Kind string

// The kinds of service.
const (
	// Model is a service of model engines, reached by chat completions.
	Model Kind = "model"
	// Plain is any other service, reached under /services/{name}/.
	Plain Kind = "plain"
)

// Text is the operators' declaration of the whole fleet's work.
type Text struct {
	// Services are the model services and plain services of the fleet.
	Services []Service `json:"services"`
	// Customers are those whose requests are taken.
	Customers []Customer `json:"customers"`
	// Claims sizes the ledger of idempotency keys.
	Claims Claims `json:"claims"`
}

// Service is one service and the backend servers behind it.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name"`
	// Kind is "model" or "plain".
	Kind Kind `json:"kind"`
	// Models are the model names that a model service answers to; its own name
	// when empty.
	Models []string `json:"models,omitempty"`
	// DependsOn names the services without which this one is of no use.
	DependsOn []string `json:"depends_on,omitempty"`
	// BackendServers are fixed backend servers.
	BackendServers []BackendServer `json:"backend_servers,omitempty"`
	// FromPlatform takes the backend servers from the platform's instance list.
	FromPlatform bool `json:"from_platform,omitempty"`
	// SkewBound is the promised multiple of the mean load, above 1.
	SkewBound float64 `json:"skew_bound,omitempty"`
	// Capacity is the number of requests one backend server works on at once.
	Capacity int `json:"capacity,omitempty"`
	// RetryShare is the number of retries that one success earns.
	RetryShare float64 `json:"retry_share,omitempty"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Deadline applies to requests that bring none.
	Deadline Duration `json:"deadline,omitempty"`
}

// BackendServer is one fixed backend server.
type BackendServer struct {
	// Name is unique in the whole fleet.
	Name string `json:"name"`
	// Address is where it listens, as IP:port.
	Address string `json:"address"`
	// Zone is the availability zone that it stands in.
	Zone string `json:"zone"`
}

// Customer is one customer and its share.
type Customer struct {
	// Name is what callers give in the Ebonydyke-Customer header.
	Name string `json:"name"`
	// Weight is the customer's share at saturation relative to the others'.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight bounds its requests in progress on one instance; 0 is no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Claims sizes the ledger of idempotency keys.
type Claims struct {
	// Window is how long a key is remembered. The deadline of a request with a key
	// is kept under it.
	Window Duration `json:"window,omitempty"`
}

// Envelope is what the platform's store holds under the configuration key.
type Envelope struct {
	// Generation grows by one with each accepted edit.
	Generation uint64 `json:"generation"`
	// Edit identifies the edit, so that its writer can recognise it.
	Edit string `json:"edit"`
	// Text is the operators' text as they wrote it.
	Text string `json:"text"`
}
