package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against avoiding all servers of a zone because some of them ended: their machines refuse
// connections, which shows that the zone is reachable.
func TestRefusedConnectionsDoNotMarkZone(t *testing.T) {
	r := newNodeDriver(t, 12)
	ended := map[string]bool{"engine-1": true, "engine-4": true, "engine-7": true, "engine-10": true}
	refused := 0
	for i := range 200 {
		r.advance(100 * time.Millisecond)
		sent := r.sendReview(fmt.Sprint("session-", i))
		for ended[sent.Backend] {
			refused++
			effects := r.handle(core.AttemptEnded{
				Request: sent.Request, Attempt: sent.Attempt, Outcome: retry.NotSent, ConnectionRefused: true,
			})
			for _, l := range effectsOf[core.StateChanged](effects) {
				require.NotEqual(t, core.SubjectZone, l.Subject, "%s: %s", l.Name, l.Cause)
			}
			sent = onlyEffect[core.SendAttempt](t, effects)
		}
		r.endAttempt(sent, retry.Answered)
	}
	require.Greater(t, refused, 6, "the ended engines must be tried again")
}

// Guards against requests that spend their attempts on a server that is known to have ended.
func TestEndedServerIsAvoided(t *testing.T) {
	r := newNodeDriver(t, 12)
	first := r.sendReview("session")
	r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Broken, ServerEnded: true})
	for range 5 {
		sent := r.sendReview("session")
		require.NotEqual(t, first.Backend, sent.Backend)
		r.endAttempt(sent, retry.Answered)
	}
	r.advance(time.Second)
	again := r.sendReview("session")
	require.Equal(t, first.Backend, again.Backend, "it is tried again after a while")
}

// Guards against blaming a request for the end of a process that started under the same name only
// after the request's own server had ended.
func TestEndCountsForTheProcessThatHeldTheRequest(t *testing.T) {
	r := newNodeDriver(t, 12)
	r.handle(core.PeerConnected{Peer: "entry-1", Incarnation: 1})
	sent := onlyEffect[core.SendAttempt](t, r.handle(core.RequestArrived{
		Request: "marked", Host: "h.example", Path: "/review/x", APIKey: "key-1", Content: 7,
	}))
	restarted := entry("engine", "engines", 0, 200)
	restarted.Name, restarted.Backend.Name, restarted.Backend.Incarnation = sent.Backend, sent.Backend, 2
	r.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{
		EntriesOffer: &core.EntriesOffer{From: 100, To: 200, Entries: []entries.Entry{restarted}},
	}})
	r.handle(core.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Outcome: retry.Unknown, ServerEnded: true})
	var ends []poison.Server
	for _, e := range effectsOf[core.SendPeer](r.advance(time.Second)) {
		if e.Message.Digest != nil {
			for _, record := range e.Message.Digest.Poison {
				for _, end := range record.Ends {
					ends = append(ends, end.Server)
				}
			}
		}
	}
	require.Equal(t, []poison.Server{{Name: sent.Backend, Incarnation: 1}}, ends)
}
