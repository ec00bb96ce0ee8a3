package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

const (
	// lagWindow is the time for which the wait and the busy time of events are summed up for a log line.
	lagWindow = time.Second
	// loggedLag is the wait of an event, or the time that the core takes for one, from which a window is logged. It is twice the interval
	// between ticks.
	loggedLag = 2 * core.TickInterval
	// maxLoggedKinds bounds the kinds of events in a line.
	maxLoggedKinds = 3
)

// loopLag measures how long events wait for the core and how long the core takes for them, so that a request that is late because
// of other work can be told from one that a backend server delayed. Only the goroutine that owns the core uses it.
type loopLag struct {
	metrics *metrics.Metrics
	log     func(text string, keysAndValues ...any)
	// windowEnd is the end of the window that the next fields describe.
	windowEnd time.Time
	events    int
	// longest is the longest wait, longestTook the longest time for one event, and busy the time by kind of event.
	longest, longestTook time.Duration
	busy                 map[string]time.Duration
}

func newLoopLag() *loopLag {
	return &loopLag{log: func(string, ...any) {}, busy: make(map[string]time.Duration)}
}

// handled records that the core handled an event from began to ended that had waited since queued. waiting is the number of events
// that wait now.
func (l *loopLag) handled(event core.Event, queued, began, ended time.Time, waiting int) {
	kind, wait, took := event.EventName(), began.Sub(queued), ended.Sub(began)
	if l.metrics != nil {
		l.metrics.EventHandled(kind, wait, took)
	}
	l.events++
	l.longest, l.longestTook = max(l.longest, wait), max(l.longestTook, took)
	l.busy[kind] += took
	if ended.Before(l.windowEnd) {
		return
	}
	if max(l.longest, l.longestTook) >= loggedLag {
		l.report(waiting)
	}
	l.windowEnd = ended.Add(lagWindow)
	l.events, l.longest, l.longestTook = 0, 0, 0
	clear(l.busy)
}

// report logs a window in which events waited for long, with the kinds of events that took most of the time.
func (l *loopLag) report(waiting int) {
	busiest := slices.SortedFunc(maps.Keys(l.busy), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.busy[b], l.busy[a]), cmp.Compare(a, b))
	})
	line := []any{"longestWaitMs", l.longest.Milliseconds(), "longestEventMs", l.longestTook.Milliseconds(), "events", l.events, "waiting", waiting}
	for _, kind := range busiest[:min(len(busiest), maxLoggedKinds)] {
		line = append(line, kind+"Ms", l.busy[kind].Milliseconds())
	}
	l.log("event loop behind", line...)
}
