package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against servers that count as unreachable because callers left while connections to them were being opened.
func TestCallerThatLeavesDuringDialBlamesNoServer(t *testing.T) {
	r := newNodeDriver(t, 2)
	first := r.begin()
	r.handle(core.CallerGone{Request: first.Request})
	effects := r.endAttempt(first, retry.NotSent)
	require.Equal(t, reason.CallerGone, onlyEffect[core.Finish](t, effects).Reason)
	require.Empty(t, effectsOf[core.StateChanged](effects))

	other := r.begin()
	require.NotEmpty(t, effectsOf[core.StateChanged](r.endAttempt(other, retry.NotSent)), "the failed connection of a caller that waits counts")
}

// Guards against a request that is sent on after its time was over while it waited for the core.
func TestRequestThatWaitedForTheCoreTooLongIsRefused(t *testing.T) {
	r := newNodeDriver(t, 2)
	readAt := r.now
	r.advance(20 * time.Second)
	finish := onlyEffect[core.Finish](t, r.handle(core.RequestArrived{
		Request: "late", Host: "h.example", Path: "/question/1", APIKey: "key-1", ReadAt: readAt,
	}))
	require.Equal(t, reason.DeadlineExceeded, finish.Reason)
	require.Equal(t, reason.NotRun, finish.Outcome)
	require.Equal(t, 20*time.Second, finish.Queued)
}
