package core_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against going on with a stream at a version that is not certain, because the process that was replaced is that of
// an attempt beside which a hedge was sent.
func TestReplacedProcessOfAHedgedAttemptIsUncertain(t *testing.T) {
	for name, hedgeEndsFirst := range map[string]bool{"beside the hedge": false, "after the hedge": true} {
		t.Run(name, func(t *testing.T) {
			r := newThriceDriver(t)
			first := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/1", "key-1"))
			hedge := onlyEffect[core.SendAttempt](t, r.silent(first, ""))
			if hedgeEndsFirst {
				requireGoesOn(t, r.endAttempt(hedge, retry.Superseded))
			}
			e := r.entryWithRevision(first.Backend, 200)
			e.Backend.Incarnation, e.Backend.Version = 2, "v2"
			offer := &core.EntriesOffer{From: 199, To: 200, Entries: []entries.Entry{e}}
			r.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{EntriesOffer: offer}})
			r.handle(core.AnswerStarted{Request: first.Request, Attempt: first.Attempt})
			if !hedgeEndsFirst {
				requireGoesOn(t, r.endAttempt(hedge, retry.Superseded))
			}
			out := r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Broken, LastEventID: "6"})
			require.Empty(t, effectsOf[core.SendAttempt](out))
			require.Equal(t, reason.StreamUnknown, onlyEffect[core.Finish](t, out).Reason)
		})
	}
}
