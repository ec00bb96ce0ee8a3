package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
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
