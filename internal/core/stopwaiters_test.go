package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// shortGrace is the grace time of these tests. It ends before a claim is given up, soon after the listener closes.
	shortGrace = 3 * time.Second
	// stopMargin is how long before the kill the latest deadline of a request is.
	stopMargin = 500 * time.Millisecond
	// answerMargin is how long before the kill a request must have its answer, so that it is delivered.
	answerMargin = 450 * time.Millisecond
)

// stopAndWait requests the stop of the node and advances the time by wait.
func (r *nodeDriver) stopAndWait(wait time.Duration) {
	r.handle(core.StopGraceSet{Grace: shortGrace})
	r.handle(core.StopRequested{})
	r.advance(wait)
}

// claimRequest sends a request whose idempotency key must be claimed first. The store does not answer.
func (r *nodeDriver) claimRequest() []core.Effect {
	return r.handle(core.RequestArrived{
		Request: "waits", Service: "portal", Customer: "bakery", NonIdempotent: true, Key: "note-1", Deadline: r.now.Add(time.Minute),
	})
}

// Guards against callers whose connection ends without an answer at the end of the grace time, because their request
// waits at that moment and no backend server is at work on it.
func TestWaitingRequestsAreRefusedBeforeProcessEnds(t *testing.T) {
	for name, c := range map[string]struct {
		sendAfter time.Duration
		start     func(*testing.T) *nodeDriver
		send      func(*nodeDriver) []core.Effect
	}{
		"for a claim":            {time.Second, stoppableDriver, (*nodeDriver).claimRequest},
		"for a claim, sent late": {2400 * time.Millisecond, stoppableDriver, (*nodeDriver).claimRequest},
		"for the start": {2300 * time.Millisecond, newStartingNodeDriver, func(r *nodeDriver) []core.Effect {
			return r.sendWithDeadline("waits", time.Minute)
		}},
		"for the start, without a deadline": {2300 * time.Millisecond, newStartingNodeDriver, func(r *nodeDriver) []core.Effect {
			return r.sendWithDeadline("waits", 0)
		}},
		"for a stream lookup": {2350 * time.Millisecond, stoppableStreamDriver, func(r *nodeDriver) []core.Effect {
			return r.sendStream("waits", "key-1", after("unknown"))
		}},
		"for a connection": {2300 * time.Millisecond, stoppableDriver, func(r *nodeDriver) []core.Effect {
			effects := r.sendRequest("/question/x", "key-1")
			for n := 0; n < 3 && len(effectsOf[core.SendAttempt](effects)) > 0; n++ {
				sent := onlyEffect[core.SendAttempt](t, effects)
				effects = append(r.advance(100*time.Millisecond), r.endAttempt(sent, retry.NotSent)...)
			}
			return effects
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.start(t)
			stoppedAt := r.now
			r.stopAndWait(c.sendAfter)
			effects := c.send(r)
			effects = append(effects, r.advance(stoppedAt.Add(shortGrace-answerMargin).Sub(r.now))...)
			finish := onlyEffect[core.Finish](t, effects)
			require.Equal(t, reason.NotRun, finish.Outcome)
			require.Empty(t, effectsOf[core.Finish](r.advance(time.Minute)), "a second answer")
		})
	}
}

func stoppableDriver(t *testing.T) *nodeDriver { return newNodeDriver(t, 4) }

func stoppableStreamDriver(t *testing.T) *nodeDriver { return newStreamDriver(t, true) }

// Guards against an attempt that starts so late that the end of the process cuts it, though its request could be sent
// elsewhere.
func TestNoAttemptStartsAtEndOfGrace(t *testing.T) {
	r := newNodeDriver(t, 4)
	sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/x", "key-1"))
	r.stopAndWait(shortGrace - time.Second)
	requireRefused(t, r.endAttempt(sent, retry.Refused), reason.Stopping)
	requireRefused(t, r.sendRequest("/question/y", "key-1"), reason.Stopping)
	short := onlyEffect[core.SendAttempt](t, r.handle(core.RequestArrived{
		Request: "short", Host: "h.example", Path: "/question/z", APIKey: "key-1", Deadline: r.now.Add(400 * time.Millisecond),
	}))
	require.Len(t, effectsOf[core.SendAttempt](r.endAttempt(short, retry.Refused)), 1, "its deadline passes before the process ends")
}

// Guards against an attempt that still dials when the process ends, where operators allow dials to take long.
func TestNoLongDialStartsAtEndOfGrace(t *testing.T) {
	for name, c := range map[string]struct {
		dialTimeout time.Duration
		refused     bool
	}{
		"short": {100 * time.Millisecond, false},
		"long":  {3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newNodeDriverWith(t, 4, core.Settings{DialTimeout: c.dialTimeout})
			sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/x", "key-1"))
			r.handle(core.StopRequested{})
			r.advance(8*time.Second - stopMargin - 2*time.Second)
			effects := r.endAttempt(sent, retry.Refused)
			if c.refused {
				requireRefused(t, effects, reason.Stopping)
				return
			}
			require.Len(t, effectsOf[core.SendAttempt](effects), 1)
		})
	}
}

// Guards against callers who connect while a stopping instance waits for its listener to become quiet, and get nothing
// because the process ends first.
func TestListenerClosesBeforeProcessEnds(t *testing.T) {
	for name, grace := range map[string]time.Duration{"long": 8 * time.Second, "shorter than the accept delay": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := newNodeDriver(t, 2)
			r.handle(core.StopGraceSet{Grace: grace})
			r.handle(core.StopRequested{})
			closes := effectsOf[core.CloseListener](r.advance(grace - time.Second))
			require.NotEmpty(t, closes)
			require.True(t, closes[len(closes)-1].AtOnce)
		})
	}
}

// Guards against a log that does not tell what a request waited for when its caller left.
func TestCallerGoneNamesWhatRequestWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		start    func(*testing.T) *nodeDriver
		send     func(*nodeDriver) []core.Effect
		expected core.WaitPhase
	}{
		"claim": {stoppableDriver, (*nodeDriver).claimRequest, core.WaitsForClaim},
		"start": {newStartingNodeDriver, func(r *nodeDriver) []core.Effect { return r.sendWithDeadline("waits", time.Minute) }, core.WaitsForStart},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.start(t)
			require.Empty(t, effectsOf[core.Finish](c.send(r)))
			finish := onlyEffect[core.Finish](t, r.handle(core.CallerGone{Request: "waits"}))
			require.Equal(t, reason.CallerGone, finish.Reason)
			require.Equal(t, c.expected, finish.Waiting)
		})
	}
}
