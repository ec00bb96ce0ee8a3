package proxy

import (
	"sync/atomic"

	"k8s.io/klog/v2"
)

// logQueueSize is the capacity of the queue of log lines.
const logQueueSize = 1024

// logQueue writes log lines asynchronously.
//
// A write to the log blocks if the process that reads the log stops reading. The core's
// goroutine and the goroutines of requests must not wait for that. If the queue is full,
// lines are dropped and counted.
type logQueue struct {
	lines   chan logLine
	dropped atomic.Int64
}

type logLine struct {
	text          string
	keysAndValues []any
}

func newLogQueue() *logQueue {
	q := &logQueue{lines: make(chan logLine, logQueueSize)}
	go q.run()
	return q
}

// put queues a line. It never blocks.
func (q *logQueue) put(text string, keysAndValues ...any) {
	select {
	case q.lines <- logLine{text: text, keysAndValues: keysAndValues}:
	default:
		q.dropped.Add(1)
	}
}

func (q *logQueue) run() {
	for line := range q.lines {
		klog.InfoS(line.text, line.keysAndValues...)
		if n := q.dropped.Swap(0); n > 0 {
			klog.InfoS("log lines dropped", "lines", n)
		}
	}
}
