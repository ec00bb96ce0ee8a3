package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against a change of the configuration that ends, cancels or shortens a request that was admitted before it.
func TestRequestKeepsConfigurationItWasAdmittedUnder(t *testing.T) {
	replace := func(old, changed string) func(string) string {
		return func(text string) string { return strings.Replace(text, old, changed, 1) }
	}
	const question = `    {"name": "question", "host": "h.example", "prefix": "/question/", "kind": "stream", "resumable": true,
     "timeout": "12s", "max_runs": 2, "split": [{"service": "engines", "weight": 1}]},
`
	for name, change := range map[string]func(string) string{
		"the route is removed":           replace(question, ""),
		"the timeout is shortened":       replace(`"timeout": "12s"`, `"timeout": "1s"`),
		"the route is not resumable":     replace(`"resumable": true,`, ""),
		"the runs are fewer":             replace(`"max_runs": 2, "split": [{"service": "engines"`, `"max_runs": 1, "split": [{"service": "engines"`),
		"the route moves":                replace(`"max_runs": 2, "split": [{"service": "engines"`, `"max_runs": 2, "split": [{"service": "portal"`),
		"the key is revoked":             replace(`"key-1"`, `"key-2"`),
		"the customer is removed":        replace(`{"name": "bakery", "api_keys": ["key-1"]}`, `{"name": "notary", "api_keys": ["key-2"]}`),
		"the service and routes removed": func(string) string { return portalOnly },
	} {
		start := func(t *testing.T) (*nodeDriver, core.SendAttempt) {
			r := newNodeDriver(t, 3)
			first := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/x", "key-1"))
			r.handle(core.AnswerStarted{Request: first.Request, Attempt: first.Attempt})
			text := change(routesConfig)
			require.NotEqual(t, routesConfig, text)
			effects := r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "second", Text: text}})
			require.Len(t, effectsOf[core.ConfigApplied](effects), 1, "%v", effectsOf[core.ConfigRefused](effects))
			effects = append(effects, r.advance(2*time.Second)...)
			require.Empty(t, effectsOf[core.CancelAttempt](effects))
			require.Empty(t, effectsOf[core.Finish](effects))
			return r, first
		}
		t.Run(name, func(t *testing.T) {
			r, first := start(t)
			effects := r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Broken, LastEventID: "3"})
			second := onlyEffect[core.SendAttempt](t, effects)
			require.Equal(t, "3", second.ResumeAfter)
			require.Equal(t, first.Deadline, second.Deadline)
			require.Empty(t, effectsOf[core.Finish](r.endAttempt(second, retry.Answered)))
		})
		t.Run(name+", silent server", func(t *testing.T) {
			r, first := start(t)
			hedge := onlyEffect[core.SendAttempt](t, r.handle(core.AttemptSilent{Request: first.Request, Attempt: first.Attempt, LastEventID: "3"}))
			require.True(t, hedge.Hedge)
			require.Equal(t, first.Deadline, hedge.Deadline)
			require.Empty(t, effectsOf[core.Finish](r.endAttempt(hedge, retry.Refused)))
			require.Empty(t, effectsOf[core.Finish](r.endAttempt(first, retry.Answered)))
		})
	}
}

// portalOnly is routesConfig without the model service and its routes.
const portalOnly = `{
  "services": [
    {"name": "portal", "kind": "plain", "from_platform": true, "skew_bound": 2, "skew_slack": 3,
     "retry_share": 0.2, "retry_burst": 56}],
  "customers": [{"name": "bakery", "api_keys": ["key-1"]}],
  "routes": [
    {"name": "progress", "host": "h.example", "prefix": "/progress/", "kind": "idempotent", "timeout": "800ms",
     "max_runs": 2, "split": [{"service": "portal", "weight": 1}]}]
}`
