package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

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

// Guards against an event that is sent twice by a hedge that the core decided on before the response went on.
func TestHedgeAfterAnEarlierEventIsOutdated(t *testing.T) {
	race := newRace(0)
	first := &attemptResponse{attempt: core.SendAttempt{Attempt: 1}, call: &call{}, events: &eventReader{}}
	race.start(first)
	for _, event := range []uint64{5, 6} {
		first.sequence.last = event
		require.True(t, race.claim(first))
	}
	for _, after := range []string{"", "5"} {
		hedge := &attemptResponse{attempt: core.SendAttempt{Attempt: 2, ResumeAfter: after}, call: &call{}}
		require.False(t, race.startHedge(hedge, func() {}), "after %q", after)
	}
}

// Guards against a hedge that sends parts of another request: the caller's buffer is used again once its answer is whole.
func TestHedgeOwnsItsBody(t *testing.T) {
	x := &exchange{server: &Server{options: Options{Dialect: Native{}, Now: time.Now}}, ctx: &fasthttp.RequestCtx{}, request: &Request{Target: "/x"}}
	x.ctx.Request.SetBodyString("first request")
	req := x.newOwnedRequest(&core.SendAttempt{Address: "127.0.0.1:1", Deadline: time.Now().Add(time.Second)})
	copy(x.ctx.Request.Body(), "other request")
	require.Equal(t, "first request", string(req.Body()))
}
