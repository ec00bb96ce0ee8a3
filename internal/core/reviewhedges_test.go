package core_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// newThriceDriver returns a node whose resumable streams may run three times.
func newThriceDriver(t *testing.T) *nodeDriver {
	r := newNodeDriver(t, 4)
	const twice = `"max_runs": 2, "split": [{"service": "engines"`
	require.Contains(t, routesConfig, twice)
	text := strings.ReplaceAll(routesConfig, twice, strings.ReplaceAll(twice, "2", "3"))
	r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "thrice", Text: text}})
	return r
}

// Guards against going on with a stream at an event before its last one, because the end of an attempt that had delivered
// less arrived later: the proxy checks for up to 100 ms whether its server has ended, before it reports the end.
func TestLateEndOfAHedgeDoesNotMoveTheStreamBack(t *testing.T) {
	for _, late := range []string{"3", ""} {
		t.Run("late end after "+late, func(t *testing.T) {
			r := newThriceDriver(t)
			first := r.begin()
			hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
			requireGoesOn(t, r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Broken, LastEventID: "6"}))
			out := r.handle(core.AttemptEnded{Request: hedge.Request, Attempt: hedge.Attempt, Outcome: retry.Broken, LastEventID: late})
			next := effectsOf[core.SendAttempt](out)
			require.Len(t, next, 1, "%v", out)
			require.Equal(t, "6", next[0].ResumeAfter)
		})
	}
}

// Guards against going on with a stream whose version is not certain, because a hedge was sent meanwhile.
func TestHedgeDoesNotMakeAnUncertainVersionCertain(t *testing.T) {
	for _, hedged := range []bool{false, true} {
		t.Run(map[bool]string{false: "without a hedge", true: "with a hedge"}[hedged], func(t *testing.T) {
			r := newThriceDriver(t)
			first := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/1", "key-1"))
			e := r.entryWithRevision(first.Backend, 200)
			e.Backend.Incarnation, e.Backend.Version = 2, "v2"
			offer := &core.EntriesOffer{From: 199, To: 200, Entries: []entries.Entry{e}}
			r.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{EntriesOffer: offer}})
			var hedge core.SendAttempt
			if hedged {
				hedge = onlyEffect[core.SendAttempt](t, r.silent(first, ""))
			}
			r.handle(core.AnswerStarted{Request: first.Request, Attempt: first.Attempt})
			if hedged {
				requireGoesOn(t, r.endAttempt(hedge, retry.Superseded))
			}
			out := r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Broken, LastEventID: "6"})
			require.Empty(t, effectsOf[core.SendAttempt](out))
			require.Equal(t, reason.StreamUnknown, onlyEffect[core.Finish](t, out).Reason)
		})
	}
}

// Guards against a hedge that waits for the server that is silent, because it is to copy the prompt from there.
func TestHedgeCopiesNothingFromASilentServer(t *testing.T) {
	r := newNodeDriver(t, 6)
	r.sent++
	first := onlyEffect[core.SendAttempt](t, r.handle(core.RequestArrived{
		Request: "own-1", Host: "h.example", Path: "/question/1", APIKey: "key-1", Chat: "dossier",
		Prompt: &core.Prompt{Tokens: 11_500, Parts: []core.PromptPart{
			{ID: "system", Tokens: 500}, {ID: "dossier", Tokens: 10_000}, {ID: "own-1", Tokens: 1_000},
		}},
	}))
	r.handle(core.AnswerStarted{Request: first.Request, Attempt: first.Attempt})
	hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
	require.NotEqual(t, first.Address, hedge.Source)
}
