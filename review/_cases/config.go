package main

import (
	"encoding/json"
	"time"
)

// route is a route of the operators' configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"routeKind"`
	TimeoutMs   int     `json:"timeoutMs"`
	GoalMs      int     `json:"latencyGoalMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Anonymous   bool    `json:"anonymous"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	GapGoalMs   float64 `json:"gapGoalMs,omitempty"`
}

// tenant holds a tenant's API keys.
type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// service is a service of the operators' configuration.
type service struct {
	Name           string         `json:"name"`
	HealthPath     string         `json:"healthPath"`
	MaxConnections int            `json:"maxConnections"`
	Protocol       string         `json:"protocol"`
	TLS            bool           `json:"tls"`
	Engine         map[string]any `json:"engine,omitempty"`
}

// operatorConfig is the operators' configuration.
type operatorConfig struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

// limits are those of the site file's configurations.
var limits = map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// configure writes a configuration as the operator does; the return is the store's acknowledgement.
func (w *world) configure(c operatorConfig) {
	c.Limits = limits
	text, err := json.Marshal(c)
	must(err)
	w.store.Put("op/config", text)
	w.record.add("configuration acknowledged", "version", c.Version, "text", string(text))
}

// pushConfig returns a configuration with one service, one route whose requests may run once, and one tenant.
func pushConfig(version int, keys ...string) operatorConfig {
	return operatorConfig{
		Version: version, Services: []service{{Name: "feed", HealthPath: "/healthz", MaxConnections: 100, Protocol: "h1"}},
		Routes: []route{{
			Name: "r-push", Host: routeHost, Prefix: "/push/", Kind: "unsafe", TimeoutMs: 2000, GoalMs: 300, Priority: 2,
			Service: "feed", MaxAttempts: 1,
		}},
		Tenants: []tenant{{Name: "hule930", APIKeys: keys}},
	}
}

// routeHost is the host of all routes.
const routeHost = "ficu95.example"

// API keys. The last one is in no configuration.
const (
	firstKey   = "n2ctnfzs989anu6wsjnb"
	secondKey  = "anfqasnmgkcuyj8pjbvk"
	unknownKey = "zzzzneverheldzzzzzzz"
)

// pushRequest returns a request that may run once.
func pushRequest(key string) request {
	return request{method: "POST", host: routeHost, path: "/push/2f", key: key, body: "timetable", timeout: 4 * time.Second}
}
