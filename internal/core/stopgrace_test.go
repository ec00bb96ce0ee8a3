package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Guards against accepting a request that the kill of the process would end, and against refusing one that would be
// answered in time, because the grace time was changed while the instance ran.
func TestStopKeepsToChangedGrace(t *testing.T) {
	for name, c := range map[string]struct {
		grace   time.Duration
		after   time.Duration
		path    string
		refused bool
	}{
		"shortened":   {5 * time.Second, 4 * time.Second, "/progress/x", true},
		"lengthened":  {20 * time.Second, 4 * time.Second, "/question/x", false},
		"not changed": {8 * time.Second, 4 * time.Second, "/progress/x", false},
		"none":        {0, 9 * time.Second, "/question/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newNodeDriver(t, 2)
			held := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/x", "key-1"))
			r.handle(core.StopGraceSet{Grace: c.grace})
			r.handle(core.StopRequested{})
			require.Empty(t, effectsOf[core.CancelAttempt](r.advance(c.after)), "the request %s goes on", held.Request)
			effects := r.sendRequest(c.path, "key-1")
			if !c.refused {
				require.Len(t, effectsOf[core.SendAttempt](effects), 1)
				return
			}
			finish := onlyEffect[core.Finish](t, effects)
			require.Equal(t, reason.NotRun, finish.Outcome)
			require.Equal(t, reason.Stopping, finish.Reason)
		})
	}
}

// Guards against requests that a stopping instance takes late in its grace time, passes on, and cuts at the end of it.
func TestNothingTakenDuringTheGraceOutlastsIt(t *testing.T) {
	const grace, margin = 8 * time.Second, 300 * time.Millisecond
	for _, path := range []string{"/question/x", "/review/x", "/record/x", "/progress/x"} {
		for _, left := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second, 12 * time.Second} {
			for _, queued := range []time.Duration{0, 2 * time.Second} {
				for at := 100 * time.Millisecond; at < grace; at += 300 * time.Millisecond {
					requireEndsWithGrace(t, path, left, queued, at, grace, margin)
				}
			}
		}
	}
}

// requireEndsWithGrace sends a request to an instance that was stopped some time ago. The request had waited for the core for queued.
// What arrives before the listener closes, 2.5 s after the stop, may last as long as at any time.
func requireEndsWithGrace(t *testing.T, path string, left, queued, at, grace, margin time.Duration) {
	t.Helper()
	r := newNodeDriver(t, 2)
	r.handle(core.StopGraceSet{Grace: grace})
	r.handle(core.StopRequested{})
	r.advance(at)
	e := core.RequestArrived{Request: "late", Host: "h.example", Path: path, APIKey: "key-1", ReadAt: r.now.Add(-queued)}
	if left > 0 {
		e.Deadline = e.ReadAt.Add(left)
	}
	if len(effectsOf[core.Finish](r.handle(e))) > 0 || at < 2500*time.Millisecond {
		return
	}
	ended := false
	for elapsed := at; elapsed < grace-margin; elapsed += core.TickInterval {
		ended = ended || len(effectsOf[core.Finish](r.advance(core.TickInterval))) > 0
	}
	require.True(t, ended, "%s, %v left, %v after the stop: the request is still in progress at the end", path, left, at)
}
