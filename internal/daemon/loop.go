// Package daemon runs the core: one goroutine owns its state, takes events from
// the traffic goroutines and hands its effects to those that carry them out.
package daemon

import (
	"context"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
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
	node   *core.Node
	events chan core.Event
	exec   Executor
	done   chan struct{}
}

// NewLoop returns a loop round node.
func NewLoop(node *core.Node) *Loop {
	return &Loop{node: node, events: make(chan core.Event, eventQueue), done: make(chan struct{})}
}

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
		case <-ticker.C:
			l.handle(core.Ticked{})
		}
	}
}

func (l *Loop) handle(event core.Event) {
	for _, effect := range l.node.Handle(time.Now(), event) {
		l.exec.Execute(effect)
	}
}
