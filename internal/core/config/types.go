// Package config defines the operators' configuration: its types, its validation with the
// positions of errors, and the immutable snapshot that the other packages read.
package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time span written as text, such as "30s".
type Duration time.Duration

// MarshalJSON encodes the duration in the format that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON parses a duration such as "1m30s".
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
	// Model is a service of language-model engines, called by chat completions.
	Model Kind = "model"
	// Plain is any other service, called under /services/{name}/.
	Plain Kind = "plain"
)

// Text is the operators' configuration of the whole fleet.
type Text struct {
	// Services are the model services and plain services of the fleet.
	Services []Service `json:"services"`
	// Customers are the customers whose requests are accepted. If there is a list, even an empty one, callers on
	// routes must present API keys, but for anonymous routes.
	Customers []Customer `json:"customers"`
	// Routes map requests to services by host and path, for callers that name no service.
	Routes []Route `json:"routes,omitempty"`
	// Claims configures the ledger of idempotency keys.
	Claims Claims `json:"claims"`
	// Limits are the limits on callers' requests. The limits in the instances' own
	// settings also apply.
	Limits CallerLimits `json:"limits"`
}

// RouteKind specifies whether the requests on a route may be repeated.
type RouteKind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests may run at most once.
	NonIdempotent RouteKind = "non_idempotent"
	// Stream requests are answered by a stream of events. They may run at most once unless
	// the route is resumable.
	Stream RouteKind = "stream"
)

// Route maps the requests of a host under a path prefix to services.
type Route struct {
	// Name is unique among the routes.
	Name string `json:"name"`
	// Host is the host name in callers' requests.
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest prefix that matches the path
	// applies. In an adopted configuration it may end without one.
	Prefix string `json:"prefix"`
	// Split divides the requests among services by weight.
	Split []Share `json:"split"`
	// Kind says whether requests may be repeated: "idempotent", "non_idempotent" or
	// "stream".
	Kind RouteKind `json:"kind"`
	// Resumable lets another backend server continue a broken stream.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout is the maximum time until a caller has its complete answer.
	Timeout Duration `json:"timeout"`
	// Goal is the time within which an answer, or a stream's first event, is on time.
	Goal Duration `json:"goal,omitempty"`
	// PauseGoal is the longest pause between two events of a stream that is on time.
	PauseGoal Duration `json:"pause_goal,omitempty"`
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// MaxRuns limits the backend servers that may start one request. Attempts that a
	// backend server refused do not count.
	MaxRuns int `json:"max_runs,omitempty"`
	// Anonymous routes accept requests without an API key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Regions are those in which the route's requests may be processed. Without a list all are
	// allowed, and with an empty one none. A zone's region is in the instances' settings.
	Regions []string `json:"regions,omitzero"`
}

// Share is one service's share of a route's requests.
type Share struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Weight is the service's share relative to the others.
	Weight float64 `json:"weight"`
}

// Engine describes the capacity of a model service's backend servers.
type Engine struct {
	// Slots is the number of requests that one engine processes concurrently.
	Slots int `json:"slots"`
	// KVTokens is the number of tokens that an engine's memory holds, for running requests
	// and cached prompts together.
	KVTokens int `json:"kv_tokens,omitempty"`
}

// Service is one service and the backend servers behind it.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name"`
	// Kind is "model" or "plain".
	Kind Kind `json:"kind"`
	// Models are the names of the models that the service provides; empty means its own
	// name.
	Models []string `json:"models,omitempty"`
	// DependsOn names the services that this one requires.
	DependsOn []string `json:"depends_on,omitempty"`
	// BackendServers are the fixed backend servers.
	BackendServers []BackendServer `json:"backend_servers,omitempty"`
	// FromPlatform takes the backend servers from the platform's instance list.
	FromPlatform bool `json:"from_platform,omitempty"`
	// SkewBound is the guaranteed maximum load of a backend server as a multiple of the
	// mean load, above 1.
	SkewBound float64 `json:"skew_bound,omitempty"`
	// SkewSlack is the number of requests permitted beyond that multiple.
	SkewSlack int `json:"skew_slack,omitempty"`
	// Capacity is the maximum number of requests in progress at one backend server.
	Capacity int `json:"capacity,omitempty"`
	// Engine describes a model service's backend servers, if it is known.
	Engine *Engine `json:"engine,omitempty"`
	// RetryShare is the number of retries that each request adds to the retry budget.
	RetryShare float64 `json:"retry_share,omitempty"`
	// RetryBurst is the number of retries that the whole fleet may make before requests
	// add any to the budget; 0 means the default of each instance.
	RetryBurst float64 `json:"retry_burst,omitempty"`
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Deadline applies to requests without a deadline.
	Deadline Duration `json:"deadline,omitempty"`
	// WarmUp limits the requests to backend servers that have just started, if it is set.
	WarmUp *WarmUp `json:"warm_up,omitempty"`
}

// WarmUp describes backend servers that tolerate few requests for a time after their start.
type WarmUp struct {
	// Duration is the time after its start for which a backend server is cold.
	Duration Duration `json:"duration"`
	// PerSecond is the number of requests a second that a cold backend server tolerates.
	PerSecond float64 `json:"per_second"`
	// Overage gives the bound: in any one second, a cold backend server gets at most PerSecond times Overage, plus
	// Slack requests from the whole fleet.
	Overage float64 `json:"overage,omitempty"`
	// Slack is the number of requests permitted beyond that multiple.
	Slack int `json:"slack,omitempty"`
}

// BackendServer is one fixed backend server.
type BackendServer struct {
	// Name is unique in the whole fleet.
	Name string `json:"name"`
	// Address is where the backend server listens, as IP:port.
	Address string `json:"address"`
	// Zone is the availability zone of the backend server.
	Zone string `json:"zone"`
}

// Customer is one customer and its share.
type Customer struct {
	// Name is what callers give in the Ebonydyke-Customer header.
	Name string `json:"name"`
	// Weight is the customer's share at saturation relative to the others'.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight limits the customer's requests in progress on one instance; 0 means no
	// limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// APIKeys are the API keys that the customer's callers present on routes. A key that
	// is removed from the text is refused from then on.
	APIKeys []string `json:"api_keys,omitempty"`
	// Priority overrides the routes' priorities, if set.
	Priority *int `json:"priority,omitempty"`
	// Regions are those in which the customer's requests may be processed. Without a list all are
	// allowed, and with an empty one none. Those of a route apply as well.
	Regions []string `json:"regions,omitzero"`
}

// Claims configures the ledger of idempotency keys.
type Claims struct {
	// Window is how long a key is remembered. The deadline of a request with a key is
	// limited to end before it.
	Window Duration `json:"window,omitempty"`
}

// CallerLimits are limits on callers' requests; 0 means only the limit in the instance's
// own settings, which also applies to what is read before a request is identified.
type CallerLimits struct {
	// MaxHeader limits a request's first line and headers, in bytes.
	MaxHeader int `json:"max_header,omitempty"`
	// MaxBody limits a request's body, in bytes.
	MaxBody int `json:"max_body,omitempty"`
	// HeaderTimeout limits the time from a request's first byte to the end of its headers.
	HeaderTimeout Duration `json:"header_timeout,omitzero"`
	// IdleTimeout is how long an idle connection is kept open. It must be longer than callers use a connection that is idle.
	IdleTimeout Duration `json:"idle_timeout,omitzero"`
}

// Envelope is the value stored in the platform under the configuration key.
type Envelope struct {
	// Generation increases by one with each accepted edit.
	Generation uint64 `json:"generation"`
	// Edit identifies the edit, so that its writer can recognize it.
	Edit string `json:"edit"`
	// Text is the operators' text as they wrote it.
	Text string `json:"text"`
}
