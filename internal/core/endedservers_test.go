package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
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
