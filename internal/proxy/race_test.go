package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Guards against a lock that is held for ever, and with it the core, by a second hedge that wins before the first winner was
// taken over, and against an event that is sent twice: an event without a number leaves the number of the last event as it is.
func TestHedgeAfterAnEventWithoutANumberIsOutdated(t *testing.T) {
	race := newRace(0)
	attempt := func(n int, after string) *attemptResponse {
		return &attemptResponse{attempt: core.SendAttempt{Attempt: n, ResumeAfter: after}, call: &call{}, events: &eventReader{}}
	}
	first := attempt(1, "")
	race.start(first)
	first.sequence.last = 5
	require.True(t, race.claim(first))
	winner, next := attempt(2, "5"), attempt(3, "5")
	require.True(t, race.startHedge(winner, func() { winner.sequence.last = 5 }))
	require.True(t, race.claim(winner), "its event has no number")
	started := race.startHedge(next, func() { next.sequence.last = 5 })
	if started {
		done := make(chan bool)
		go func() { done <- race.claim(next) }()
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Error("the race is locked")
		}
	}
	require.False(t, started, "the response has gone on since")
}

// Guards against an event that is taken for a delivered one, and missing from the response, because the goroutine that serves
// the caller reads on at the hedge that has won before its claim has recorded what it delivers.
func TestWinnerIsHandedOverOnceItsClaimIsRecorded(t *testing.T) {
	const rounds = 20_000
	for range rounds {
		r := newRace(0)
		first := &attemptResponse{attempt: core.SendAttempt{Attempt: 1}, call: &call{}, events: &eventReader{}}
		winner := &attemptResponse{attempt: core.SendAttempt{Attempt: 2}, call: &call{}, events: &eventReader{}}
		r.start(first)
		require.True(t, r.startHedge(winner, func() { winner.sequence.last = 1 }))
		read := make(chan struct{})
		go func() {
			defer close(read)
			a := <-r.won
			a.sequence.last++ // It reads the next event.
		}()
		require.True(t, r.claim(winner))
		require.Equal(t, uint64(1), r.lastEvent)
		<-read
	}
}
