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
	events      chan core.Event
	inspections chan func(*core.Node)
	exec        Executor
	meter       *meter
	done        chan struct{}
}

// NewLoop returns an event loop for node.
func NewLoop(node *core.Node) *Loop {
	return &Loop{
		node:        node,
		clock:       clock.New(),
		events:      make(chan core.Event, eventQueueSize),
		inspections: make(chan func(*core.Node)),
		done:        make(chan struct{}),
	}
}

// SetMetrics counts events and effects in m. It must be called before Run.
func (l *Loop) SetMetrics(m *metrics.Metrics) { l.meter = newMeter(m) }

// Now returns the time on the core's clock. Components that pass times to the core use the same
// clock.
func (l *Loop) Now() time.Time { return l.clock.Now() }

// Post queues an event for the core. It blocks while the queue is full, but not once the loop has
// ended, so that goroutines that post a final event can return.
func (l *Loop) Post(event core.Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Run passes events to the core until ctx is done. It may be called only once.
func (l *Loop) Run(ctx context.Context, exec Executor) error {
	defer close(l.done)
	l.exec = exec
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	l.handle(core.Ticked{})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			l.handle(event)
		case inspect := <-l.inspections:
			inspect(l.node)
		case <-ticker.C:
			l.handle(core.Ticked{})
		}
	}
}

func (l *Loop) handle(event core.Event) {
	l.meter.event(event)
	for _, effect := range l.node.Handle(l.clock.Now(), event) {
		l.meter.effect(effect)
		l.exec.Execute(effect)
	}
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
