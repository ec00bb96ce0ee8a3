package fleettest

import (
	"encoding/json"
	"fmt"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// EntriesText configures a service whose backend servers register entries in the store.
const EntriesText = `{
  "services": [{"name": "engines", "kind": "model", "from_platform": true}],
  "customers": [{"name": "branch"}],
}`

// RoutesConfig is a configuration with a model service and a plain service, both with
// backend servers from the store, one route of each kind, and one customer with an API key.
const RoutesConfig = `{
  "services": [
    {"name": "engines", "kind": "model", "from_platform": true, "skew_bound": 2, "skew_slack": 3,
     "retry_share": 0.2, "retry_burst": 56, "engine": {"slots": 64}},
    {"name": "portal", "kind": "plain", "from_platform": true, "skew_bound": 2, "skew_slack": 3,
     "retry_share": 0.2, "retry_burst": 56}],
  "customers": [{"name": "bakery", "api_keys": ["key-1"]}],
  "routes": [
    {"name": "review", "host": "h.example", "prefix": "/review/", "kind": "stream", "timeout": "15s",
     "split": [{"service": "engines", "weight": 1}]},
    {"name": "question", "host": "h.example", "prefix": "/question/", "kind": "stream", "resumable": true,
     "timeout": "12s", "max_runs": 2, "split": [{"service": "engines", "weight": 1}]},
    {"name": "record", "host": "h.example", "prefix": "/record/", "kind": "non_idempotent", "timeout": "800ms", "goal": "300ms",
     "split": [{"service": "portal", "weight": 1}]},
    {"name": "progress", "host": "h.example", "prefix": "/progress/", "kind": "idempotent", "timeout": "800ms",
     "max_runs": 2, "split": [{"service": "portal", "weight": 1}]}],
}`

// StreamConfig returns a configuration whose route leads to the first service, or is split if the second one
// has a weight.
func StreamConfig(secondWeight int) string {
	split := `{"service": "engines", "weight": 1}`
	if secondWeight > 0 {
		split += fmt.Sprintf(`, {"service": "others", "weight": %d}`, secondWeight)
	}
	return fmt.Sprintf(`{
  "services": [
    {"name": "engines", "kind": "model", "from_platform": true, "skew_bound": 2, "skew_slack": 3,
     "retry_share": 0.2, "retry_burst": 200, "engine": {"slots": 64}},
    {"name": "others", "kind": "model", "from_platform": true, "skew_bound": 2, "skew_slack": 3,
     "retry_share": 0.2, "retry_burst": 200, "engine": {"slots": 64}}],
  "customers": [{"name": "bakery", "api_keys": ["key-1"]}, {"name": "market", "api_keys": ["key-2"]}],
  "routes": [{"name": "question", "host": "h.example", "prefix": "/question/", "kind": "stream", "resumable": true,
    "timeout": "20s", "goal": "300ms", "pause_goal": "250ms", "max_runs": 2, "split": [%s]}],
}`, split)
}

// PutConfig writes a value to the configuration key, like an operator's tool or a store that was
// restored from a backup.
func (f *Fleet) PutConfig(generation uint64, edit, text string) {
	value, err := json.Marshal(config.Envelope{Generation: generation, Edit: edit, Text: text})
	if err != nil {
		panic(err)
	}
	v := f.Store.value(core.ConfigKey)
	v.value = value
	v.version++
	f.Store.notifyWaiters(v)
}
