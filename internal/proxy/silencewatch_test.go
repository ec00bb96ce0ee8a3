package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// newTestWatch returns a watch of an attempt, and the events that it posts.
func newTestWatch(firstByte, stall time.Duration) (*silenceWatch, chan core.AttemptSilent) {
	posted := make(chan core.AttemptSilent, 100)
	s := &Server{
		log: newLogQueue(), activities: newBackendActivities(),
		post: func(e core.Event) { posted <- e.(core.AttemptSilent) },
	}
	x := &exchange{server: s, id: "r1", race: newRace(0)}
	a := &attemptResponse{exchange: x, attempt: core.SendAttempt{Attempt: 1, Backend: "a", FirstByteTimeout: firstByte, StallTimeout: stall}}
	return newSilenceWatch(a), posted
}

// Guards against hedges for all requests at once when this process goes on after a pause, although their bytes have arrived.
func TestPauseOfThisProcessIsNoSilence(t *testing.T) {
	w, posted := newTestWatch(time.Hour, 0)
	w.start()
	defer w.stop()
	w.mu.Lock()
	w.sentAt -= int64(2 * time.Hour)
	w.dueAt -= int64(2 * time.Hour)
	w.mu.Unlock()
	w.check()
	require.Empty(t, posted, "a late check")
	require.Eventually(t, func() bool { return len(posted) > 0 }, 5*time.Second, 5*time.Millisecond, "the check after it")
}

// Guards against taking the time for which a caller reads nothing for silence of the server.
func TestSlowCallerIsNoSilence(t *testing.T) {
	w, posted := newTestWatch(0, 20*time.Millisecond)
	w.start()
	defer w.stop()
	w.progress()
	w.deliver()
	w.pause()
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, posted)
	w.wait()
	require.Eventually(t, func() bool { return len(posted) > 1 }, 5*time.Second, 5*time.Millisecond, "it is reported again")
}

// Guards against a hedge at another server that is silent too, and against counting an idle one as silent.
func TestQuietServersAreReported(t *testing.T) {
	s := newBackendActivities()
	silent, busy, idle := s.open("silent"), s.open("busy"), s.open("idle")
	now := sinceStart()
	silent.wait(now - int64(2*quietAfter))
	busy.wait(now - int64(2*quietAfter))
	busy.lastProgress.Store(now)
	idle.wait(now - int64(2*quietAfter))
	idle.pause()
	require.Equal(t, []string{"silent"}, s.quiet("other"))
	require.Empty(t, s.quiet("silent"))
	s.release(silent)
	require.Empty(t, s.quiet("other"), "no attempt is left there")
}

// Guards against a hedge that is a second late because bytes arrive at the moment at which the silence is due to be checked.
func TestBytesPutOffNoDueCheck(t *testing.T) {
	const timeout = 50 * time.Millisecond
	w, posted := newTestWatch(timeout, 0)
	w.start()
	defer w.stop()
	w.mu.Lock()
	w.dueAt = sinceStart() - 1 // The timer has not run yet.
	w.mu.Unlock()
	w.recordRead(1)
	require.Eventually(t, func() bool { return len(posted) > 0 }, partTimeout/2, 5*time.Millisecond)
}
