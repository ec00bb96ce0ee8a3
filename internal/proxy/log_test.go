package proxy

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against requests that block because the reader of the log hangs. Lines must be
// dropped and counted if the queue is full.
func TestBlockedLogDropsLines(t *testing.T) {
	q := &logQueue{lines: make(chan logLine, logQueueSize)}
	for range logQueueSize + 7 {
		q.put("attempt failed")
	}
	require.EqualValues(t, 7, q.dropped.Load())
}

// Guards against a log line of an ended attempt that omits the status of the backend
// server's failure response. Without it, a timeout, a faulty server and an overloaded
// server cannot be told apart in the logs.
func TestAttemptEndedLogHasStatus(t *testing.T) {
	q := &logQueue{lines: make(chan logLine, 1)}
	x := &exchange{id: "r1", server: &Server{log: q, post: func(core.Event) {}, options: Options{Metrics: noMetrics{}}}}
	x.attemptEnded(&attemptResponse{exchange: x, status: 504}, core.AttemptEnded{Attempt: 1, Outcome: retry.Failed}, errBackendFailure)
	line := <-q.lines
	at := slices.Index(line.keysAndValues, any("status"))
	require.GreaterOrEqual(t, at, 0)
	require.Equal(t, 504, line.keysAndValues[at+1])
}

// Guards against a log line that shows a missing load report as a report of age 0. This
// happened while requests concentrated on engines, most of which had not reported a load.
func TestAttemptLogMarksMissingReport(t *testing.T) {
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
