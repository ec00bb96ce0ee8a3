// Package daemon runs the core. One goroutine owns the core's state, receives events from the
// goroutines that handle traffic, and passes the effects to the components that carry them out.
package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/clock"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// eventQueueSize is the capacity of the queue of events for the core.
const eventQueueSize = 4096

// Executor carries out effects. It is called on the goroutine that owns the core and must not
// block.
type Executor interface {
	Execute(effect core.Effect)
}

// Loop is the event loop of a core.
type Loop struct {
	node        *core.Node
	clock       *clock.Clock
	events      chan queuedEvent
	inspections chan func(*core.Node)
	exec        Executor
	meter       *meter
	lag         *loopLag
	done        chan struct{}
}

// queuedEvent is an event that waits for the core since a time of the system's monotonic clock.
type queuedEvent struct {
	core.Event
	since time.Time
}

// NewLoop returns an event loop for node.
func NewLoop(node *core.Node) *Loop {
	return &Loop{
		node:        node,
		clock:       clock.New(),
		events:      make(chan queuedEvent, eventQueueSize),
		inspections: make(chan func(*core.Node)),
		lag:         newLoopLag(),
		done:        make(chan struct{}),
	}
}

// SetMetrics counts events and effects in m. It must be called before Run.
func (l *Loop) SetMetrics(m *metrics.Metrics) { l.meter, l.lag.metrics = newMeter(m), m }

// SetLog writes a line with log for each second in which events waited for long. log must not block. SetLog must be called before
// Run.
func (l *Loop) SetLog(log func(text string, keysAndValues ...any)) { l.lag.log = log }

// Now returns the time on the core's clock. Components that pass times to the core use the same
// clock.
func (l *Loop) Now() time.Time { return l.clock.Now() }

// Post queues an event for the core. It blocks while the queue is full, but not once the loop has
// ended, so that goroutines that post a final event can return.
func (l *Loop) Post(event core.Event) {
	select {
	case l.events <- queuedEvent{event, time.Now()}:
	case <-l.done:
	}
}

// Run passes events to the core until ctx is done. It may be called only once.
func (l *Loop) Run(ctx context.Context, exec Executor) error {
	defer close(l.done)
	l.exec = exec
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	l.handle(queuedEvent{core.Ticked{}, time.Now()})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			l.handle(event)
		case inspect := <-l.inspections:
			inspect(l.node)
		case due := <-ticker.C:
			l.handle(queuedEvent{core.Ticked{}, due})
		}
	}
}

func (l *Loop) handle(e queuedEvent) {
	began := time.Now()
	l.meter.event(e.Event)
	for _, effect := range l.node.Handle(l.clock.Now(), e.Event) {
		l.meter.effect(effect)
		l.exec.Execute(effect)
	}
	l.lag.handled(e.Event, e.since, began, time.Now(), len(l.events))
}

// Inspect runs f on the goroutine that owns the core and returns its result, or an error if ctx is
// done first. f must not change the node, and its result must not share state that the node
// changes later.
func Inspect[T any](ctx context.Context, l *Loop, f func(*core.Node) T) (T, error) {
	result := make(chan T, 1)
	var none T
	select {
	case l.inspections <- func(n *core.Node) { result <- f(n) }:
	case <-ctx.Done():
		return none, fmt.Errorf("daemon: the core does not answer: %w", ctx.Err())
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return none, fmt.Errorf("daemon: the core does not answer: %w", ctx.Err())
	}
}
