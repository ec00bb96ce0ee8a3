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
	// grace is how long a process may take to stop before it is killed.
	grace = 8 * time.Second
	// leastGap and mostGap bound the interval between the starts of two faults. Faults
	// last longer, so that they overlap.
	leastGap = 100 * time.Millisecond
	mostGap  = 900 * time.Millisecond
	// leastFault and mostFault bound the duration of a fault.
	leastFault = 500 * time.Millisecond
	mostFault  = 3500 * time.Millisecond
)

// blow holds the parameters of one fault. Each fault has its own random source, so that
// its draws do not depend on the timing of other faults.
type blow struct {
	random *rand.Rand
	length time.Duration
}

// strike injects random faults until ctx ends and waits for the last one to finish.
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
		p := blow{
			random: rand.New(rand.NewPCG(w.options.Seed, number)),
			length: between(random, leastFault, mostFault),
		}
		pending.Go(func() { fault(p) })
	}
}

// between returns a random duration of at least lower and less than upper.
func between(random *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(random.Int64N(int64(upper-lower)))
}

func (w *World) anyInstance(p blow) *instance { return w.instances[p.random.IntN(len(w.instances))] }

// anyBackend returns a random backend server that has not left, or nil if fewer than 3 remain.
func (w *World) anyBackend(p blow) *backend {
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
	return list[p.random.IntN(len(list))]
}

func (w *World) killInstance(p blow) {
	i := w.anyInstance(p)
	i.disturbed()
	proc := i.running()
	proc.signal(w.ledger, syscall.SIGKILL)
	<-proc.ended
	time.Sleep(p.length / 4)
	w.restart(i, proc)
}

// restart starts a new process in place of the ended one.
func (w *World) restart(i *instance, ended *process) {
	if err := i.start(w.options.Binary, ended); err != nil {
		w.ledger.broken("a process starts again", i.name, err.Error())
	}
}

// stopInstance stops a process as for maintenance and checks that it ends within the grace
// time.
func (w *World) stopInstance(p blow) {
	i := w.anyInstance(p)
	i.disturbed()
	proc := i.running()
	proc.signal(w.ledger, syscall.SIGCONT)
	proc.signal(w.ledger, syscall.SIGTERM)
	if proc.waitEnd(w.ledger, grace) && !i.disturbedSince(w.ledger.elapsed()-grace/2) {
		w.ledger.broken("a planned stop ends in time", i.name, "killed after the grace time")
	}
	w.restart(i, proc)
}

func (w *World) pauseInstance(p blow) {
	i := w.anyInstance(p)
	i.disturbed()
	proc := i.running()
	proc.signal(w.ledger, syscall.SIGSTOP)
	time.Sleep(p.length)
	proc.signal(w.ledger, syscall.SIGCONT)
	i.disturbed()
}

func (w *World) reloadInstance(p blow) {
	w.anyInstance(p).running().signal(w.ledger, syscall.SIGHUP)
}

// storeFault makes the store unavailable, silent, busy, slow or lossy for the duration.
func (w *World) storeFault(p blow) {
	faults := []gate.Faults{
		{Down: true}, {Silent: true}, {Busy: true}, {Busy: true, Many: true},
		{Delay: config.Duration(300 * time.Millisecond)}, {LoseAnswers: 5}, {LoseWrites: 5},
	}
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
	w.store.SetFaults(faults[p.random.IntN(len(faults))])
	time.Sleep(p.length)
	w.store.SetFaults(gate.Faults{})
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
}

// cutStore injects a fault into the connections between one instance and the store.
func (w *World) cutStore(p blow) {
	i := w.anyInstance(p)
	w.cutRelay(i.store, p)
	i.disturbed()
}

// cutRelay makes a relay silent, slow or refuse connections for the duration.
func (w *World) cutRelay(r *relay.Relay, p blow) {
	silent, slow, refusing := relay.None, relay.None, relay.None
	silent.Frozen = true
	slow.Delay = 100 * time.Millisecond
	refusing.Refuse = true
	faults := []relay.Faults{silent, slow, refusing}
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
	kind := p.random.IntN(len(faults))
	r.Set(faults[kind])
	if kind == len(faults)-1 {
		r.Cut()
	}
	time.Sleep(p.length)
	r.Set(relay.None)
	w.disturbedAt.Store(int64(w.ledger.elapsed()))
}

func (w *World) compact(blow) { w.store.Compact() }

func (w *World) reconfigure(blow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configure()
}

// crashBackend ends a backend server at once and replaces it. Its entry is removed only
// after the duration of the fault, as after missed heartbeats.
func (w *World) crashBackend(p blow) {
	server := w.anyBackend(p)
	if server == nil {
		return
	}
	server.leftAt.Store(-1)
	server.end()
	time.Sleep(p.length)
	w.store.Unregister(server.name)
	w.replace(server)
}

// drainBackend drains a backend server and replaces it.
func (w *World) drainBackend(p blow) {
	server := w.anyBackend(p)
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

// sickenBackend gives a backend server a random fault for the duration.
func (w *World) sickenBackend(p blow) {
	server := w.anyBackend(p)
	if server == nil {
		return
	}
	server.sick.Store(int32(failing) + p.random.Int32N(int32(hanging)))
	time.Sleep(p.length)
	server.sick.Store(int32(sound))
}

// cutBackend injects a fault into the connections to a backend server.
func (w *World) cutBackend(p blow) {
	if server := w.anyBackend(p); server != nil {
		w.cutRelay(server.relay, p)
	}
}
