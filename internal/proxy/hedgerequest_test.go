package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

func newTestExchange() *exchange {
	x := &exchange{
		server: &Server{options: Options{Dialect: Native{}, Now: time.Now}}, ctx: &fasthttp.RequestCtx{}, request: &Request{Target: "/x"},
		race: newRace(0),
	}
	x.response = &callerResponse{exchange: x, race: x.race}
	return x
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
	x := newTestExchange()
	x.ctx.Request.SetBodyString("first request")
	req := x.newOwnedRequest(&core.SendAttempt{Address: "127.0.0.1:1", Deadline: time.Now().Add(time.Second)})
	copy(x.ctx.Request.Body(), "other request")
	require.Equal(t, "first request", string(req.Body()))
}

// Guards against running a request again in place of its stream's rest, if an attempt reports that its engine has lost the
// stream before the end of another one is reported, after which the stream could still go on.
func TestLostStreamIsNotRunAgain(t *testing.T) {
	x := newTestExchange()
	stream := streamRef{address: "127.0.0.1:1", id: "s1", incarnation: "1"}
	first := &attemptResponse{exchange: x, attempt: core.SendAttempt{Attempt: 1}}
	x.race.start(first)
	x.race.setStream(first, stream)
	x.race.streamLost(stream)
	req, resume := x.response.buildRequest(&core.SendAttempt{Address: "127.0.0.1:1", Attempt: 3, ResumeAfter: "5", Deadline: time.Now().Add(time.Second)})
	require.False(t, !resume && req != nil, "the whole request is sent again")
}

// Guards against the end of the process, or of the core's knowledge of the request, when a lost stream cannot go on.
func TestLostStreamEndsTheAttempt(t *testing.T) {
	x := newTestExchange()
	var ended []core.AttemptEnded
	x.server = New(func(e core.Event) { ended = append(ended, e.(core.AttemptEnded)) }, Options{})
	stream := streamRef{address: "127.0.0.1:1", id: "s1", incarnation: "1"}
	first := &attemptResponse{exchange: x, attempt: core.SendAttempt{Attempt: 1}}
	x.race.start(first)
	x.race.setStream(first, stream)
	x.race.streamLost(stream)
	require.False(t, x.response.openAttempt(core.SendAttempt{Attempt: 3, ResumeAfter: "5", Deadline: time.Now().Add(time.Second)}))
	require.Len(t, ended, 1)
	require.Equal(t, retry.Broken, ended[0].Outcome)
	require.Empty(t, ended[0].LastEventID)
}
