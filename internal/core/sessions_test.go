package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// sendReview sends a request of a session. Its prompt shares the first part with all sessions and
// the second with all requests of its session.
func (r *nodeDriver) sendReview(session string) core.SendAttempt {
	r.t.Helper()
	r.sent++
	own := fmt.Sprintf("own-%d", r.sent)
	return onlyEffect[core.SendAttempt](r.t, r.handle(core.RequestArrived{
		Request: core.RequestID(own), Host: "h.example", Path: "/review/", APIKey: "key-1", Chat: session,
		Prompt: &core.Prompt{Tokens: 11_500, Parts: []core.PromptPart{
			{ID: "system", Tokens: 500}, {ID: session, Tokens: 10_000}, {ID: own, Tokens: 1_000},
		}},
	}))
}

// The requests of a session reach one engine through any instance, and nothing is copied. If
// a burst fills that engine up to the session's limit, the engine that takes the remaining
// requests copies the prompt instead of prefilling it again.
func TestSessionAffinityAndPromptCopyOnOverflow(t *testing.T) {
	r := newNodeDriver(t, 12)
	preferred := r.sendReview("dossier").Backend
	moved := ""
	for range 8 {
		sent := r.sendReview("dossier")
		if sent.Backend != preferred {
			moved = sent.Backend
			require.NotEmpty(t, sent.Source, "the prompt is prefilled again")
			break
		}
		require.Empty(t, sent.Source)
	}
	require.NotEmpty(t, moved, "the session exceeds its limit at its preferred engine")
	other := newNodeDriver(t, 12)
	require.Equal(t, preferred, other.sendReview("dossier").Backend, "another instance selects the same engine")
}

// Guards against prefilling sessions again when a release replaces an engine: the new engine
// joins first, then the old one leaves. The sessions' new engine copies their prompts from
// the leaving one, which still answers.
func TestNewEngineCopiesPromptFromLeavingEngine(t *testing.T) {
	r := newNodeDriver(t, 6)
	sent := r.sendReview("dossier")
	r.endAttempt(sent, retry.Answered)
	leaving := r.entryWithRevision(sent.Backend, 200)
	leaving.Backend.State = "leaving"
	r.replyToWatch(core.BackendsRead{Status: core.StoreOK, Entries: []entries.Entry{leaving}, Revision: 200})
	next := r.sendReview("dossier")
	require.NotEqual(t, sent.Backend, next.Backend)
	require.Equal(t, sent.Address, next.Source)
}

// In the same situation, an instance that has never routed the session finds the leaving
// engine by its rank.
func TestFormerEngineOfUnknownSessionIsFoundByRank(t *testing.T) {
	r := newNodeDriver(t, 6)
	preferred := newNodeDriver(t, 6).sendReview("dossier")
	leaving := r.entryWithRevision(preferred.Backend, 200)
	leaving.Backend.State = "leaving"
	r.replyToWatch(core.BackendsRead{Status: core.StoreOK, Entries: []entries.Entry{leaving}, Revision: 200})
	require.Equal(t, preferred.Address, r.sendReview("dossier").Source)
}

// Guards against copying from an engine that has no prompts cached. A fleet starts, and its
// engines join one after the other before the first request. The first engine to join was
// taken for the former engine of every session, since all others had joined within
// recentJoinWindow. For twenty seconds each prompt that moved away from a full engine was to
// be copied from that one engine, which had never received it, and was prefilled again.
func TestNoCopySourceForEnginesJoinedBeforeFirstRequest(t *testing.T) {
	start := func() *nodeDriver {
		r := newNodeDriver(t, 1)
		for i := 1; i < 12; i++ {
			e := entry("engine", "engines", i, uint64(200+i))
			r.replyToWatch(core.BackendsRead{Status: core.StoreOK, Entries: []entries.Entry{e}, Revision: uint64(200 + i)})
		}
		return r
	}
	for i := range 6 {
		require.Empty(t, start().sendReview(fmt.Sprint("dossier-", i)).Source, "no engine has the prompt cached")
	}
	r := start()
	preferred := r.sendReview("dossier")
	r.endAttempt(preferred, retry.Answered)
	late := entry("engine", "engines", 12, 300)
	r.replyToWatch(core.BackendsRead{Status: core.StoreOK, Entries: []entries.Entry{late}, Revision: 300})
	for i := range 60 {
		if sent := r.sendReview(fmt.Sprint("moving-", i)); sent.Backend == "engine-12" {
			require.NotEqual(t, preferred.Address, sent.Address)
			require.NotEmpty(t, sent.Source, "an engine that joins later copies from the former engine")
			return
		}
	}
	t.Fatal("no session moved to the new engine")
}

// entryWithRevision returns an engine's entry as newNodeDriver created it, with a new revision.
func (r *nodeDriver) entryWithRevision(backend string, revision uint64) entries.Entry {
	var i int
	_, err := fmt.Sscanf(backend, "engine-%d", &i)
	require.NoError(r.t, err)
	return entry("engine", "engines", i, revision)
}

// replyToWatch replies to the watch of the entries that is in progress, or to the next one.
func (r *nodeDriver) replyToWatch(e core.BackendsRead) {
	r.t.Helper()
	for end := r.now.Add(3 * time.Second); r.watching == 0 && r.now.Before(end); {
		for _, w := range effectsOf[core.WatchBackends](r.tick()) {
			r.watching = w.Op
		}
	}
	require.NotZero(r.t, r.watching)
	e.Op = r.watching
	r.watching = 0
	r.handle(e)
}

// Guards against a stopping instance that accepts a request which it cannot finish before its
// process is killed. A caller that keeps its connection sends a long review five seconds
// after the stop request. It is refused at once as not run, with a short time to retry
// elsewhere. A short request, which ends in time, is still served.
func TestStoppingInstanceRefusesRequestsItCannotFinish(t *testing.T) {
	r := newNodeDriver(t, 3)
	r.handle(core.StopRequested{})
	require.NotEmpty(t, effectsOf[core.SendAttempt](r.sendRequest("/review/1", "key-1")), "the load balancer still routes requests to the instance")
	r.advance(5 * time.Second)
	last := onlyEffect[core.Finish](t, r.sendRequest("/review/1", "key-1"))
	require.Equal(t, reason.Stopping, last.Reason)
	require.Equal(t, reason.NotRun, last.Outcome)
	require.Less(t, last.RetryAfter, time.Second)
	require.NotEmpty(t, effectsOf[core.SendAttempt](r.sendRequest("/record/1", "key-1")))
}
