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

const (
	// eventQueueSize is the capacity of each queue of events for the core.
	eventQueueSize = 4096
	// requestTimePerControl is the time that waiting requests get for each unit of time that the core has spent on control work:
	// messages of peers and of the store, and ticks. Requests thus get most of the processor however much of that there is, and the
	// instance still follows the fleet.
	requestTimePerControl = 3
	// maxControlDebt bounds the time for which requests alone are served.
	maxControlDebt = 500 * time.Millisecond
)

// Executor carries out effects. It is called on the goroutine that owns the core and must not
// block.
type Executor interface {
	Execute(effect core.Effect)
}

// Loop is the event loop of a core.
type Loop struct {
	node  *core.Node
	clock *clock.Clock
	// requests holds the events of callers' requests, and control all others. Events of one queue are handled in their order.
	requests, control chan queuedEvent
	// controlDebt is the time that requests get before control work goes on.
	controlDebt time.Duration
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
		requests:    make(chan queuedEvent, eventQueueSize),
		control:     make(chan queuedEvent, eventQueueSize),
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

// Post queues an event for the core. It blocks while the event's queue is full, but not once the loop has
// ended, so that goroutines that post a final event can return.
func (l *Loop) Post(event core.Event) {
	queue := l.control
	if isOfRequest(event) {
		queue = l.requests
	}
	select {
	case queue <- queuedEvent{event, time.Now()}:
	case <-l.done:
	}
}

// isOfRequest reports whether an event is about a caller's request at this instance.
func isOfRequest(event core.Event) bool {
	switch event.(type) {
	case core.RequestArrived, core.CallerGone, core.AttemptEnded, core.AttemptSilent, core.AnswerStarted, core.BackendDialed:
		return true
	default:
		return false
	}
}

// Run passes events to the core until ctx is done. It may be called only once.
func (l *Loop) Run(ctx context.Context, exec Executor) error {
	defer close(l.done)
	l.exec = exec
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	l.handleControl(queuedEvent{core.Ticked{}, time.Now()})
	for {
		if l.controlDebt > 0 && l.handleWaitingRequest() {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.requests:
			l.handle(event)
		case event := <-l.control:
			l.handleControl(event)
		case inspect := <-l.inspections:
			inspect(l.node)
		case due := <-ticker.C:
			l.handleControl(queuedEvent{core.Ticked{}, due})
		}
	}
}

// handleWaitingRequest handles the event of a request and reports whether one waits. If none does, control work goes on.
func (l *Loop) handleWaitingRequest() bool {
	select {
	case event := <-l.requests:
		l.controlDebt -= l.handle(event)
		return true
	default:
		l.controlDebt = 0
		return false
	}
}

// handleControl handles an event of control work, after which the requests that wait come first.
func (l *Loop) handleControl(e queuedEvent) {
	took := l.handle(e)
	if len(l.requests) > 0 {
		l.controlDebt = min(took*requestTimePerControl, maxControlDebt)
	}
}

// handle passes an event to the core and carries out the effects. It returns the time that this took.
func (l *Loop) handle(e queuedEvent) time.Duration {
	began := time.Now()
	l.meter.event(e.Event)
	for _, effect := range l.node.Handle(l.clock.Now(), e.Event) {
		l.meter.effect(effect)
		l.exec.Execute(effect)
	}
	ended := time.Now()
	l.lag.handled(e.Event, e.since, began, ended, len(l.requests)+len(l.control))
	return ended.Sub(began)
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
