package proxy

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// The reader of the log hangs, and with it every writer of a line. No request may
// wait for that: lines beyond the queue are dropped, and the loss is counted.
func TestStuckLogHoldsNobodyUp(t *testing.T) {
	q := &logQueue{lines: make(chan logLine, logLines)}
	for range logLines + 7 {
		q.put("attempt failed")
	}
	require.EqualValues(t, 7, q.dropped.Load())
}

// A caller complains of a 504. The line of the ended attempt said that the backend server
// had answered with a failure, and not with which: whether it was late, sick or full could
// not be told from the logs.
func TestTheLineOfAnEndedAttemptSaysTheStatus(t *testing.T) {
	q := &logQueue{lines: make(chan logLine, 1)}
	x := &exchange{id: "r1", server: &Server{log: q, post: func(core.Event) {}}}
	x.answer = &answer{exchange: x, status: 504}
	x.ended(core.AttemptEnded{Attempt: 1, Outcome: retry.Failed}, errFailed)
	line := <-q.lines
	at := slices.Index(line.keysAndValues, any("status"))
	require.GreaterOrEqual(t, at, 0)
	require.Equal(t, 504, line.keysAndValues[at+1])
}

// Requests crowded on engines, and the lines said that each engine had told its load just
// now. Most had told nothing.
func TestTheLineOfAnAttemptTellsNoReportFromAFreshOne(t *testing.T) {
	for age, want := range map[time.Duration]int64{-1: -1, 0: 0, 1500 * time.Millisecond: 1500} {
		q := &logQueue{lines: make(chan logLine, 1)}
		s := &Server{log: q, options: Options{Now: time.Now}}
		s.logAttempt(&core.SendAttempt{Selection: core.SelectionInputs{ReportAge: age}})
		line := <-q.lines
		at := slices.Index(line.keysAndValues, any("reportAgeMs"))
		require.GreaterOrEqual(t, at, 0)
		require.Equal(t, want, line.keysAndValues[at+1])
	}
}
