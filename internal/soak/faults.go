package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/test/relay"
	"github.com/ebonydyke/ebonydyke/test/standin/gate"
)

const (
	// grace is how long a stopping process has before it is killed.
	grace = 8 * time.Second
	// leastGap and mostGap lie between two faults. Faults last for seconds, so they
	// overlap.
	leastGap = 100 * time.Millisecond
	mostGap  = 900 * time.Millisecond
	// leastFault and mostFault are how long a fault lasts.
	leastFault = 500 * time.Millisecond
	mostFault  = 3500 * time.Millisecond
)

// blow is one fault: how long it lasts, and what it draws from. Each has a source of
// its own, so that the draws of one do not depend on when another takes its turn.
type blow struct {
	random *rand.Rand
	length time.Duration
}

// strike lets faults come until ctx ends, and waits until the last has passed.
func (w *World) strike(ctx context.Context) {
	faults := []func(blow){
		w.killInstance, w.stopInstance, w.stopInstance, w.pauseInstance, w.reloadInstance,
		w.storeFault, w.storeFault, w.cutStore, w.compact, w.reconfigure, w.reconfigure,
		w.crashBackend, w.drainBackend, w.drainBackend, w.sickenBackend, w.sickenBackend, w.cutBackend,
	}
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var pending sync.WaitGroup
	defer pending.Wait()
	for number := uint64(1); ctx.Err() == nil; number++ {
		select {
		case <-time.After(between(random, leastGap, mostGap)):
		case <-ctx.Done():
			return
		}
		fault := faults[random.IntN(len(faults))]
		b := blow{
			random: rand.New(rand.NewPCG(w.options.Seed, number)),
			length: between(random, leastFault, mostFault),
		}
		pending.Go(func() { fault(b) })
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (w *World) anyInstance(b blow) *instance { return w.instances[b.random.IntN(len(w.instances))] }

// anyBackend draws a backend server that is not leaving, or nil if few are left.
func (w *World) anyBackend(b blow) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*backend
	for _, server := range w.backends {
		if server.leftAt.Load() == 0 {
			list = append(list, server)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[b.random.IntN(len(list))]
}

func (w *World) killInstance(b blow) {
	i := w.anyInstance(b)
	i.disturbed()
	struck := i.running()
	struck.signal(w.ledger, syscall.SIGKILL)
	<-struck.ended
	time.Sleep(b.length / 4)
	w.restart(i, struck)
}

func (w *World) restart(i *instance, ended *process) {
	if err := i.start(w.options.Binary, ended); err != nil {
		w.ledger.broken("a process starts again", i.name, err.Error())
	}
}

// stopInstance stops a process as planned work does. It must be gone in time.
func (w *World) stopInstance(b blow) {
	i := w.anyInstance(b)
	i.disturbed()
	struck := i.running()
	struck.signal(w.ledger, syscall.SIGCONT)
	struck.signal(w.ledger, syscall.SIGTERM)
	if struck.waitEnd(w.ledger, grace) && !i.disturbedSince(w.ledger.elapsed()-grace/2) {
		w.ledger.broken("a planned stop ends in time", i.name, "killed after the grace time")
	}
	w.restart(i, struck)
}

func (w *World) pauseInstance(b blow) {
	i := w.anyInstance(b)
	i.disturbed()
	struck := i.running()
	struck.signal(w.ledger, syscall.SIGSTOP)
	time.Sleep(b.length)
	struck.signal(w.ledger, syscall.SIGCONT)
	i.disturbed()
}

func (w *World) reloadInstance(b blow) {
	w.anyInstance(b).running().signal(w.ledger, syscall.SIGHUP)
}

// storeFault is one of the store's faults for a while.
func (w *World) storeFault(b blow) {
	faults := []gate.Faults{
		{Down: true}, {Silent: true}, {Busy: true}, {Busy: true, Many: true},
		{Delay: config.Duration(300 * time.Millisecond)}, {LoseAnswers: 5}, {LoseWrites: 5},
	}
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
	w.store.SetFaults(faults[b.random.IntN(len(faults))])
	time.Sleep(b.length)
	w.store.SetFaults(gate.Faults{})
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
}

// cutStore cuts one instance from the store: refused, silent, or slow.
func (w *World) cutStore(b blow) {
	i := w.anyInstance(b)
	w.cutRelay(i.store, b)
	i.disturbed()
}

func (w *World) cutRelay(r *relay.Relay, b blow) {
	silent, slow, refusing := relay.None, relay.None, relay.None
	silent.Frozen = true
	slow.Delay = 100 * time.Millisecond
	refusing.Refuse = true
	faults := []relay.Faults{silent, slow, refusing}
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
	kind := b.random.IntN(len(faults))
	r.Set(faults[kind])
	if kind == len(faults)-1 {
		r.Cut()
	}
	time.Sleep(b.length)
	r.Set(relay.None)
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
}

func (w *World) compact(blow) { w.store.Compact() }

func (w *World) reconfigure(blow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configure()
}

// crashBackend ends a backend server at once; another takes its place, and the entry
// goes only when its heartbeats have been missed.
func (w *World) crashBackend(b blow) {
	server := w.anyBackend(b)
	if server == nil {
		return
	}
	server.leftAt.Store(-1)
	server.end()
	time.Sleep(b.length)
	w.store.Unregister(server.name)
	w.replace(server)
}

// drainBackend lets a backend server leave in order.
func (w *World) drainBackend(b blow) {
	server := w.anyBackend(b)
	if server == nil {
		return
	}
	server.register(true)
	server.leftAt.Store(int64(w.ledger.elapsed()))
	time.Sleep(drainServe)
	w.store.Unregister(server.name)
	server.end()
	w.replace(server)
}

func (w *World) replace(b *backend) {
	if err := w.addBackend(b.zone); err != nil {
		w.ledger.count("backend server not replaced")
	}
}

func (w *World) sickenBackend(b blow) {
	server := w.anyBackend(b)
	if server == nil {
		return
	}
	server.sick.Store(int32(failing) + b.random.Int32N(int32(hanging)))
	time.Sleep(b.length)
	server.sick.Store(int32(sound))
}

// cutBackend breaks the way to a backend server.
func (w *World) cutBackend(b blow) {
	if server := w.anyBackend(b); server != nil {
		w.cutRelay(server.relay, b)
	}
}
