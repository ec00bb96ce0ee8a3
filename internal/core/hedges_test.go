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

// silent reports that an attempt's server is silent, and returns the effects.
func (r *nodeDriver) silent(sent core.SendAttempt, lastEvent string, quiet ...string) []core.Effect {
	return r.handle(core.AttemptSilent{Request: sent.Request, Attempt: sent.Attempt, LastEventID: lastEvent, Quiet: quiet})
}

// begin sends a request of the resumable stream's route and reports that its response has begun.
func (r *nodeDriver) begin() core.SendAttempt {
	sent := onlyEffect[core.SendAttempt](r.t, r.sendRequest("/question/1", "key-1"))
	r.handle(core.AnswerStarted{Request: sent.Request, Attempt: sent.Attempt})
	return sent
}

// requireGoesOn checks that nothing ends the request or one of its attempts, and that none is sent.
func requireGoesOn(t *testing.T, effects []core.Effect) {
	t.Helper()
	require.Empty(t, effectsOf[core.SendAttempt](effects))
	require.Empty(t, effectsOf[core.CancelAttempt](effects))
	require.Empty(t, effectsOf[core.Finish](effects))
}

// Guards against ending a silent attempt, and against a hedge that is no attempt at another server.
func TestSilentAttemptIsHedged(t *testing.T) {
	r := newNodeDriver(t, 3)
	first := r.begin()
	out := r.silent(first, "3")
	hedge := onlyEffect[core.SendAttempt](t, out)
	require.True(t, hedge.Hedge)
	require.Equal(t, "3", hedge.ResumeAfter)
	require.Equal(t, reason.BackendSilent, hedge.RetryReason)
	require.NotEqual(t, first.Backend, hedge.Backend)
	require.Empty(t, effectsOf[core.CancelAttempt](out))
	requireGoesOn(t, r.silent(first, "3"))

	requireGoesOn(t, r.endAttempt(first, retry.Superseded))
	require.Empty(t, effectsOf[core.Finish](r.endAttempt(hedge, retry.Answered)))
}

// Guards against a request that fails with one of its attempts while another one still answers.
func TestRequestGoesOnWithTheAttemptThatIsLeft(t *testing.T) {
	for _, outcome := range []retry.Outcome{retry.NotSent, retry.Refused, retry.Unknown, retry.Failed, retry.Broken, retry.Spoiled} {
		r := newNodeDriver(t, 3)
		first := r.begin()
		hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
		requireGoesOn(t, r.endAttempt(first, outcome))
		requireGoesOn(t, r.endAttempt(hedge, retry.Answered))

		first = r.begin()
		hedge = onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
		requireGoesOn(t, r.endAttempt(hedge, outcome))
		requireGoesOn(t, r.endAttempt(first, retry.Answered))
	}
}

// Guards against a request without an end after the attempt that delivered has broken off before the other one's end arrived.
func TestWinnerThatBreaksOffEndsTheRequest(t *testing.T) {
	r := newNodeDriver(t, 3)
	first := r.begin()
	hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
	requireGoesOn(t, r.handle(core.AttemptEnded{Request: first.Request, Attempt: hedge.Attempt, Outcome: retry.Broken, LastEventID: "5"}))
	require.Equal(t, reason.AttemptsExhausted, onlyEffect[core.Finish](t, r.endAttempt(first, retry.Superseded)).Reason)
}

// Guards against hedges that cannot help, or that run a request more often than it may run.
func TestHedgesAreNotSent(t *testing.T) {
	r := newNodeDriver(t, 3)
	for _, path := range []string{"/record/1", "/review/1"} {
		once := onlyEffect[core.SendAttempt](t, r.sendRequest(path, "key-1"))
		requireGoesOn(t, r.silent(once, ""))
	}
	question := r.begin()
	requireGoesOn(t, r.silent(question, ""))
	requireGoesOn(t, r.silent(question, "3", "engine-0", "engine-1", "engine-2"))
	r.handle(core.CallerGone{Request: question.Request})
	requireGoesOn(t, r.silent(question, "3"))

	progress := onlyEffect[core.SendAttempt](t, r.sendRequest("/progress/1", "key-1"))
	hedge := onlyEffect[core.SendAttempt](t, r.silent(progress, ""))
	require.Zero(t, hedge.FirstByteTimeout, "no run is left after this one")
	requireGoesOn(t, r.silent(hedge, ""))
}

// Guards against ending an answer because the retry budget is spent.
func TestSilentAttemptWaitsWithoutRetryBudget(t *testing.T) {
	r := newNodeDriver(t, 3)
	r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "budget", Text: strings.ReplaceAll(routesConfig, `"retry_burst": 56`, `"retry_burst": 1`)}})
	var waiting core.SendAttempt
	for range 5 {
		waiting = r.begin()
		if len(effectsOf[core.SendAttempt](r.silent(waiting, "3"))) == 0 {
			break
		}
	}
	requireGoesOn(t, r.silent(waiting, "3"))
	require.Empty(t, effectsOf[core.Finish](r.endAttempt(waiting, retry.Answered)))
}

// Guards against a load or a borrowed slot that is counted for ever after a request with hedges has ended.
func TestEndedRequestLeavesNoLoad(t *testing.T) {
	r := newNodeDriver(t, 2)
	ends := []func(first, hedge core.SendAttempt){
		func(first, _ core.SendAttempt) { r.endAttempt(first, retry.Answered) },
		func(_, hedge core.SendAttempt) { r.endAttempt(hedge, retry.Answered) },
		func(core.SendAttempt, core.SendAttempt) { r.advance(13 * time.Second) },
		func(first, hedge core.SendAttempt) {
			r.handle(core.CallerGone{Request: first.Request})
			r.endAttempt(hedge, retry.Broken)
			r.endAttempt(first, retry.Broken)
		},
	}
	for _, end := range ends {
		first := r.begin()
		hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
		end(first, hedge)
		r.endAttempt(first, retry.Superseded)
		r.endAttempt(hedge, retry.Superseded)
		for _, service := range r.node.Status().Services {
			for _, b := range service.Backends {
				require.Zero(t, b.Own, b.Name)
			}
		}
	}
}

// Guards against a run that is counted for a hedge of which nothing was sent, so that the request cannot be tried again.
func TestUnsentHedgeIsNoRun(t *testing.T) {
	r := newNodeDriver(t, 3)
	first := r.begin()
	hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
	requireGoesOn(t, r.handle(core.AttemptEnded{Request: hedge.Request, Attempt: hedge.Attempt, Outcome: retry.Superseded, Unsent: true}))
	again := r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Broken, LastEventID: "4"})
	require.Equal(t, "4", onlyEffect[core.SendAttempt](t, again).ResumeAfter)
}

// Guards against a service's retries that are spent by hedges which reached no server.
func TestHedgeThatIsNotSentCostsNoRetry(t *testing.T) {
	for _, end := range []core.AttemptEnded{{Outcome: retry.NotSent}, {Outcome: retry.Superseded, Unsent: true}} {
		r := newNodeDriver(t, 12)
		r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "budget", Text: strings.ReplaceAll(routesConfig, `"retry_burst": 56`, `"retry_burst": 1`)}})
		for range 5 {
			first := r.begin()
			hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
			end.Request, end.Attempt = hedge.Request, hedge.Attempt
			requireGoesOn(t, r.handle(end))
			r.endAttempt(first, retry.Answered)
		}
	}
}
