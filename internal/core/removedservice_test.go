package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// emptiedConfigs are changes of the configuration that take away what a request in progress was admitted with.
var emptiedConfigs = map[string]string{
	"all removed":       `{"services": [{"name": "other", "kind": "plain", "from_platform": true}], "customers": [{"name": "mill"}]}`,
	"routes removed":    strings.SplitAfter(routesConfig, `"routes": [`)[0] + "]}",
	"customers removed": strings.Replace(routesConfig, `{"name": "bakery", "api_keys": ["key-1"]}`, "", 1),
	"key moved":         strings.Replace(routesConfig, `{"name": "bakery", "api_keys": ["key-1"]}`, `{"name": "mill", "api_keys": ["key-1"]}`, 1),
	"timeouts shorter":  strings.NewReplacer(`"12s"`, `"100ms"`, `"800ms"`, `"100ms"`).Replace(routesConfig),
	"limits lower":      strings.Replace(routesConfig, `"services"`, `"limits": {"max_header": 1, "max_body": 1}, "services"`, 1),
}

// Guards against requests that get no answer, or more than one, because a change of the configuration takes their service,
// route, customer or timeout away while they wait, are sent, fail, or are silent.
func TestRequestsEndBesideRemovals(t *testing.T) {
	phases := map[string]struct {
		send func(*nodeDriver) []core.Effect
		then func(*nodeDriver, core.SendAttempt) []core.Effect
	}{
		"waiting for a claim": {send: (*nodeDriver).claimRequest},
		"sent":                {send: question},
		"refused by the server": {question, func(r *nodeDriver, sent core.SendAttempt) []core.Effect {
			return r.endAttempt(sent, retry.Refused)
		}},
		"no connection": {question, func(r *nodeDriver, sent core.SendAttempt) []core.Effect {
			return r.endAttempt(sent, retry.NotSent)
		}},
		"failed": {question, func(r *nodeDriver, sent core.SendAttempt) []core.Effect { return r.endAttempt(sent, retry.Failed) }},
		"broken after an event": {question, func(r *nodeDriver, sent core.SendAttempt) []core.Effect {
			r.handle(core.AnswerStarted{Request: sent.Request, Attempt: sent.Attempt})
			return r.handle(core.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Outcome: retry.Broken, LastEventID: "4"})
		}},
		"silent": {question, func(r *nodeDriver, sent core.SendAttempt) []core.Effect {
			return r.handle(core.AttemptSilent{Request: sent.Request, Attempt: sent.Attempt})
		}},
		"the caller leaves": {question, func(r *nodeDriver, sent core.SendAttempt) []core.Effect {
			effects := r.handle(core.CallerGone{Request: sent.Request})
			return append(effects, r.endAttempt(sent, retry.Unknown)...)
		}},
	}
	for change, text := range emptiedConfigs {
		for phase, c := range phases {
			t.Run(phase+", "+change, func(t *testing.T) {
				r := newNodeDriver(t, 4)
				effects := c.send(r)
				r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "second", Text: text}})
				require.NotEmpty(t, effectsOf[core.ConfigApplied](r.effects), "%v", effectsOf[core.ConfigRefused](r.effects))
				finishes := effectsOf[core.Finish](effects)
				sent := effectsOf[core.SendAttempt](effects)
				for n := 0; c.then != nil && len(sent) > 0 && n < 10; n++ {
					effects = append(c.then(r, sent[0]), r.advance(600*time.Millisecond)...)
					sent = append(sent[1:], effectsOf[core.SendAttempt](effects)...)
					finishes = append(finishes, effectsOf[core.Finish](effects)...)
				}
				finishes = append(finishes, effectsOf[core.Finish](r.advance(3*time.Minute))...)
				require.Len(t, finishes, 1, "each request has one answer")
				require.NotEqual(t, reason.None, finishes[0].Reason)
				require.Zero(t, r.node.InFlight())
			})
		}
	}
}

func question(r *nodeDriver) []core.Effect { return r.sendRequest("/question/x", "key-1") }
