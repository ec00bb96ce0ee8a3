package proxy

import (
	"sync/atomic"

	"k8s.io/klog/v2"
)

// logLines bounds the log lines that wait to be written.
const logLines = 1024

// logQueue writes log lines without holding up those who have something to say.
//
// Whoever reads the process's log may stop reading; the next write to it then
// blocks. If it were the core's goroutine, or a request's, everything would wait
// for the log. Lines without room are dropped and counted.
type logQueue struct {
	lines   chan logLine
	dropped atomic.Int64
}

type logLine struct {
	text          string
	keysAndValues []any
}

func newLogQueue() *logQueue {
	q := &logQueue{lines: make(chan logLine, logLines)}
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
