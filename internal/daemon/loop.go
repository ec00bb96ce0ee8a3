// Package daemon runs the core: one goroutine owns its state, takes events from
// the traffic goroutines and hands its effects to those that carry them out.
package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/clock"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// eventQueue bounds the events waiting for the core.
const eventQueue = 4096

// Executor carries out effects. It is called by the goroutine that owns the core
// and must not block.
type Executor interface {
	Execute(effect core.Effect)
}

// Loop owns a core.
type Loop struct {
	node     *core.Node
	clock    *clock.Clock
	events   chan core.Event
	inspects chan func(*core.Node)
	exec     Executor
	meter    *meter
	done     chan struct{}
}

// NewLoop returns a loop round node.
func NewLoop(node *core.Node) *Loop {
	return &Loop{
		node:     node,
		clock:    clock.New(),
		events:   make(chan core.Event, eventQueue),
		inspects: make(chan func(*core.Node)),
		done:     make(chan struct{}),
	}
}

// CountIn counts what passes through the loop in m. It is called before Run.
func (l *Loop) CountIn(m *metrics.Metrics) { l.meter = newMeter(m) }

// Now is the time by which the core decides. What tells it times uses the same.
func (l *Loop) Now() time.Time { return l.clock.Now() }

// Post hands an event to the core. It waits while the queue is full, but not on
// a loop that has ended: a goroutine that posts its last word must be able to end.
func (l *Loop) Post(event core.Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Run feeds the core until ctx ends. It may be called once.
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
		case inspect := <-l.inspects:
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

// Inspect runs f on the goroutine that owns the core and returns its result. It
// waits until ctx ends at most; f must not change the node. What f returns must
// hold nothing that the node goes on changing.
func Inspect[T any](ctx context.Context, l *Loop, f func(*core.Node) T) (T, error) {
	result := make(chan T, 1)
	var none T
	select {
	case l.inspects <- func(n *core.Node) { result <- f(n) }:
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
