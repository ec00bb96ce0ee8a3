package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// newStartingNodeDriver returns a driver whose node has no configuration or backend servers yet.
func newStartingNodeDriver(t *testing.T) *nodeDriver {
	t.Helper()
	return &nodeDriver{t: t, now: epoch, node: core.New(core.Settings{
		Name: "entry-0", Zone: "zone-0", Incarnation: 1, Seed: 7, NoPolls: true, ConfigReadOnly: true,
	})}
}

// sendWithDeadline sends a request on the record route and returns the immediate effects.
// A zero deadline sets none.
func (r *nodeDriver) sendWithDeadline(id string, deadline time.Duration) []core.Effect {
	e := core.RequestArrived{Request: core.RequestID(id), Host: "h.example", Path: "/record/1", APIKey: "key-1"}
	if deadline > 0 {
		e.Deadline = r.now.Add(deadline)
	}
	return r.handle(e)
}

// deliverConfig delivers the configuration and the two pages of the list of backend servers
// requested by the call asked. It returns the effects.
func (r *nodeDriver) deliverConfig(asked core.OpID) []core.Effect {
	r.t.Helper()
	effects := r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "first", Text: routesConfig}})
	page := core.BackendsRead{Op: asked, Status: core.StoreOK, Revision: 100, More: "portal-0", Entries: []entries.Entry{
		entry("portal", "portal", 0, 10),
	}}
	effects = append(effects, r.handle(page)...)
	require.Empty(r.t, effectsOf[core.SendAttempt](effects), "no request may be sent before all pages are read")
	page.Op, page.More = onlyEffect[core.ListBackends](r.t, r.tick()).Op, ""
	page.Entries = []entries.Entry{entry("portal", "portal", 1, 11)}
	return r.handle(page)
}

// All instances restart at once after a power loss. Requests arrive while an instance still
// reads its configuration and backend servers, which takes 50 ms, or 500 ms with a long
// configuration text over a slow link. If they were refused, most callers would retry only
// once, at another instance that cannot serve them yet either, and fail.
func TestRequestsAreQueuedDuringStart(t *testing.T) {
	r := newStartingNodeDriver(t)
	require.Empty(t, r.sendWithDeadline("early", 0))
	list := onlyEffect[core.ListBackends](t, r.advance(300*time.Millisecond))
	require.Empty(t, r.sendWithDeadline("next", 0))
	sent := effectsOf[core.SendAttempt](r.deliverConfig(list.Op))
	require.Len(t, sent, 2)
	require.Equal(t, core.RequestID("early"), sent[0].Request, "queued requests are served in order of arrival")
	require.GreaterOrEqual(t, sent[0].Selection.Waited, 300*time.Millisecond)
	require.Less(t, sent[1].Selection.Waited, 200*time.Millisecond)
	require.Equal(t, epoch.Add(800*time.Millisecond), sent[0].Deadline, "the timeout counts from the arrival")
}

// The configuration or the backend servers are not read, or not in time. Queued requests
// must be refused while their callers still have time to retry at another instance, and
// with a short Retry-After if the next read is likely to succeed.
func TestQueuedRequestsAreRefusedWhenStartIsSlowOrFails(t *testing.T) {
	r := newStartingNodeDriver(t)
	require.Empty(t, r.sendWithDeadline("no-deadline", 0))
	require.Empty(t, r.sendWithDeadline("short-deadline", 200*time.Millisecond))
	shortDeadline := onlyEffect[core.Finish](t, r.advance(150*time.Millisecond))
	require.Equal(t, core.RequestID("short-deadline"), shortDeadline.Request, "refused with half of its time left")
	timedOut := onlyEffect[core.Finish](t, r.advance(1100*time.Millisecond))
	require.Equal(t, reason.NoConfiguration, timedOut.Reason)
	require.Equal(t, reason.NotRun, timedOut.Outcome)
	require.LessOrEqual(t, timedOut.RetryAfter, 250*time.Millisecond)

	r = newStartingNodeDriver(t)
	require.Empty(t, r.sendWithDeadline("early", 0))
	read := r.nextConfigRead()
	refused := onlyEffect[core.Finish](t, r.handle(core.StoreReplied{Op: read, Status: core.StoreUnknown}))
	require.Equal(t, reason.NoConfiguration, refused.Reason)
	require.GreaterOrEqual(t, refused.RetryAfter, time.Second, "the store is unavailable, possibly for long")
	require.NotEmpty(t, effectsOf[core.Finish](r.sendWithDeadline("late", 0)), "waiting would be useless, so the request is refused at once")

	r = newStartingNodeDriver(t)
	require.Empty(t, r.sendWithDeadline("early", 0))
	list := onlyEffect[core.ListBackends](t, r.advance(100*time.Millisecond))
	cancelled := onlyEffect[core.Finish](t, r.handle(core.CallerGone{Request: "early"}))
	require.Equal(t, reason.CallerGone, cancelled.Reason)
	require.Empty(t, effectsOf[core.SendAttempt](r.deliverConfig(list.Op)), "no request is queued any more")
}

// Thousands of requests arrive at an instance that cannot serve them yet. Only a bounded
// number, and a bounded size of bodies, may be queued, because each holds a connection and a body in memory.
func TestStartQueueIsBounded(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ requests, body, most int }{
		"connections": {10_000, 100, 4096},
		"bytes":       {1000, 100_000, 16 << 20 / 100_000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStartingNodeDriver(t)
			refused := 0
			for i := range c.requests {
				refused += len(effectsOf[core.Finish](r.handle(core.RequestArrived{
					Request: core.RequestID(fmt.Sprint("caller-", i)), Host: "h.example", Path: "/question/", APIKey: "key-1", BodyBytes: c.body,
				})))
			}
			require.GreaterOrEqual(t, refused, c.requests-c.most)
			require.Less(t, refused, c.requests)
		})
	}
}

// nextConfigRead returns the operation ID of the next read or watch of the configuration.
func (r *nodeDriver) nextConfigRead() core.OpID {
	r.t.Helper()
	for range 40 {
		for _, e := range r.tick() {
			switch e := e.(type) {
			case core.StoreWatch:
				return e.Op
			case core.StoreGet:
				return e.Op
			}
		}
	}
	r.t.Fatal("the node issued no read of the configuration")
	return 0
}
