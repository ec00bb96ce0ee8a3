package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against ending answers of servers that are paused for so long that their entries lapse, or that seem to leave or
// cannot be connected to, and that go on.
func TestRequestOutlastsWhatIsLearnedOfItsServer(t *testing.T) {
	lapse := func(r *nodeDriver, names ...string) {
		for n, name := range names {
			e := entries.Entry{Name: name, Revision: uint64(200 + n)}
			r.replyToWatch(core.BackendsRead{Status: core.StoreOK, Entries: []entries.Entry{e}, Revision: e.Revision})
		}
	}
	for name, learn := range map[string]func(r *nodeDriver, sent core.SendAttempt){
		"its entry lapses":       func(r *nodeDriver, sent core.SendAttempt) { lapse(r, sent.Backend) },
		"all entries lapse":      func(r *nodeDriver, _ core.SendAttempt) { lapse(r, "engine-0", "engine-1", "engine-2") },
		"it leaves":              func(r *nodeDriver, sent core.SendAttempt) { r.restartEngine(sent.Backend, 200, membership.Leaving) },
		"a new process is there": func(r *nodeDriver, sent core.SendAttempt) { r.restartEngine(sent.Backend, 201, membership.Live) },
		"others cannot connect": func(r *nodeDriver, sent core.SendAttempt) {
			for range 6 {
				other := r.sendReview("session")
				if other.Backend == sent.Backend {
					r.handle(core.AttemptEnded{Request: other.Request, Attempt: other.Attempt, Outcome: retry.NotSent})
				}
			}
		},
	} {
		for _, started := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				r := newNodeDriver(t, 3)
				first := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/x", "key-1"))
				if started {
					r.handle(core.AnswerStarted{Request: first.Request, Attempt: first.Attempt})
				}
				learn(r, first)
				var all []core.Effect
				for range 8 {
					all = append(all, r.advance(250*time.Millisecond)...)
					last := ""
					if started {
						last = "3"
					}
					all = append(all, r.handle(core.AttemptSilent{Request: first.Request, Attempt: first.Attempt, LastEventID: last})...)
				}
				require.Empty(t, effectsOf[core.CancelAttempt](all))
				require.Empty(t, effectsOf[core.Finish](all))
				for _, hedge := range effectsOf[core.SendAttempt](all) {
					require.True(t, hedge.Hedge)
					require.Empty(t, effectsOf[core.Finish](r.endAttempt(hedge, retry.Refused)))
				}
				require.Empty(t, effectsOf[core.Finish](r.endAttempt(first, retry.Answered)))
			})
		}
	}
}
