package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/test/relay"
	"github.com/ebonydyke/ebonydyke/test/standin/faultinject"
)

const (
	// stopGrace is how long a process may take to stop before it is killed.
	stopGrace = 8 * time.Second
	// retryBurst is the number of retries that the budget of a fleet allows at once.
	retryBurst = 50
	// minFaultGap and maxFaultGap bound the interval between the starts of two faults. Faults
	// last longer, so that they overlap.
	minFaultGap = 100 * time.Millisecond
	maxFaultGap = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
)

// faultParams holds the parameters of one fault. Each fault has its own random source, so that
// its draws do not depend on the timing of other faults.
type faultParams struct {
	random   *rand.Rand
	duration time.Duration
}

// injectFaults injects random faults until ctx ends and waits for the last one to finish.
func (w *World) injectFaults(ctx context.Context) {
	faults := []func(faultParams){
		w.killInstance, w.stopInstance, w.stopInstance, w.pauseInstance, w.reloadInstance,
		w.storeFault, w.storeFault, w.impairStoreLink, w.compactStore, w.reconfigure, w.reconfigure,
		w.crashBackend, w.drainBackend, w.drainBackend, w.injectBackendFault, w.injectBackendFault, w.impairBackendLink, w.limitRejections,
		w.release, w.release, w.restartUnderName, w.crowd, w.pauseBesideWork,
		w.evacuateZones, w.restartZoneCold, w.restartOneCold, w.sendCopies,
	}
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var pending sync.WaitGroup
	defer pending.Wait()
	pending.Go(func() { w.injectOneRestart(ctx) })
	for number := uint64(1); ctx.Err() == nil; number++ {
		select {
		case <-time.After(randomDuration(random, minFaultGap, maxFaultGap)):
		case <-ctx.Done():
			return
		}
		fault := faults[random.IntN(len(faults))]
		p := faultParams{
			random:   rand.New(rand.NewPCG(w.options.Seed, number)),
			duration: randomDuration(random, minFaultDuration, maxFaultDuration),
		}
		pending.Go(func() { fault(p) })
	}
}

// randomDuration returns a random duration of at least lower and less than upper.
func randomDuration(random *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(random.Int64N(int64(upper-lower)))
}

func (w *World) randomInstance(p faultParams) *instance {
	return w.instances[p.random.IntN(len(w.instances))]
}

// randomBackend returns a random backend server that has not left, or nil if fewer than 3 remain.
func (w *World) randomBackend(p faultParams) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*backend
	for _, server := range w.backends {
		if server.leavingAt.Load() == 0 {
			list = append(list, server)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[p.random.IntN(len(list))]
}

func (w *World) killInstance(p faultParams) {
	i := w.randomInstance(p)
	defer w.beginUnplanned(i)()
	i.markDisturbed()
	proc := i.currentProcess()
	proc.signal(w.recorder, syscall.SIGKILL)
	<-proc.ended
	time.Sleep(p.duration / 4)
	w.restart(i, proc)
}

// restart starts a new process in place of the ended one.
func (w *World) restart(i *instance, ended *process) {
	if err := i.start(w.options.Binary, ended); err != nil {
		w.recorder.recordViolation("a process starts again", i.name, err.Error())
	}
}

// stopInstance stops a process as for maintenance and checks that it ends within the grace
// time.
func (w *World) stopInstance(p faultParams) {
	i := w.randomInstance(p)
	i.markDisturbed()
	proc := i.currentProcess()
	proc.signal(w.recorder, syscall.SIGCONT)
	w.recordStop(i)
	proc.signal(w.recorder, syscall.SIGTERM)
	if proc.waitEnd(w.recorder, stopGrace) && !i.disturbedSince(w.recorder.elapsed()-stopGrace/2) {
		w.recorder.recordViolation("a planned stop ends in time", i.name, "killed after the grace time")
	}
	w.restart(i, proc)
}

func (w *World) pauseInstance(p faultParams) {
	i := w.randomInstance(p)
	defer w.beginUnplanned(i)()
	i.markDisturbed()
	proc := i.currentProcess()
	proc.signal(w.recorder, syscall.SIGSTOP)
	time.Sleep(p.duration)
	proc.signal(w.recorder, syscall.SIGCONT)
	i.markDisturbed()
}

func (w *World) reloadInstance(p faultParams) {
	w.randomInstance(p).reload()
}

// reload makes the instance's process reload its settings.
func (i *instance) reload() { i.currentProcess().signal(i.world.recorder, syscall.SIGHUP) }

// storeFault makes the store unavailable, silent, busy, slow or lossy for the duration.
func (w *World) storeFault(p faultParams) {
	faults := []faultinject.Faults{
		{Down: true}, {Silent: true}, {Busy: true}, {Busy: true, TooManyRequests: true},
		{Delay: config.Duration(300 * time.Millisecond)}, {LoseAnswers: 5}, {LoseWrites: 5},
	}
	defer w.beginUnplanned(nil)()
	w.disturbedAt.Store(int64(w.recorder.elapsed()))
	w.store.SetFaults(faults[p.random.IntN(len(faults))])
	time.Sleep(p.duration)
	w.store.SetFaults(faultinject.Faults{})
	w.disturbedAt.Store(int64(w.recorder.elapsed()))
}

// impairStoreLink injects a fault into the connections between one instance and the store.
func (w *World) impairStoreLink(p faultParams) {
	i := w.randomInstance(p)
	defer w.beginUnplanned(i)()
	w.impairRelay(i.store, p)
	i.markDisturbed()
}

// impairRelay makes a relay silent, slow or refuse connections for the duration.
func (w *World) impairRelay(r *relay.Relay, p faultParams) {
	silent, slow, refusing := relay.NoFaults, relay.NoFaults, relay.NoFaults
	silent.Blackhole = true
	slow.Delay = 100 * time.Millisecond
	refusing.Refuse = true
	faults := []relay.Faults{silent, slow, refusing}
	w.disturbedAt.Store(int64(w.recorder.elapsed()))
	kind := p.random.IntN(len(faults))
	r.SetFaults(faults[kind])
	if kind == len(faults)-1 {
		r.ResetConns()
	}
	time.Sleep(p.duration)
	r.SetFaults(relay.NoFaults)
	w.disturbedAt.Store(int64(w.recorder.elapsed()))
}

func (w *World) compactStore(faultParams) { w.store.Compact() }

// crashBackend ends a backend server at once and replaces it. Its entry is removed only
// after the duration of the fault, as after missed heartbeats.
func (w *World) crashBackend(p faultParams) {
	server := w.randomBackend(p)
	if server == nil {
		return
	}
	server.leavingAt.Store(-1)
	server.close()
	time.Sleep(p.duration)
	w.store.Unregister(server.name)
	w.replaceBackend(server, server.version)
}

// drainBackend drains a backend server and replaces it by one of the last release.
func (w *World) drainBackend(p faultParams) {
	server := w.randomBackend(p)
	if server == nil {
		return
	}
	if !w.retire(server, drainDuration) {
		return
	}
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	w.replaceBackend(server, version)
}

// retire drains a backend server, which serves for a time, and ends it. It returns false if the server has left or ended before: its
// entry may be that of another process.
func (w *World) retire(b *backend, serves time.Duration) bool {
	if !b.leavingAt.CompareAndSwap(0, int64(w.recorder.elapsed())) {
		return false
	}
	b.register(true)
	time.Sleep(serves)
	w.store.Unregister(b.name)
	b.close()
	return true
}

func (w *World) replaceBackend(b *backend, version string) {
	if err := w.addBackend(b.zone, version, w.warmUp().Duration); err != nil {
		w.recorder.count("backend server not replaced")
	}
}

// injectBackendFault gives a backend server a random fault for the duration.
func (w *World) injectBackendFault(p faultParams) {
	server := w.randomBackend(p)
	if server == nil {
		return
	}
	fault := int32(failing) + p.random.Int32N(int32(pausing))
	if backendFault(fault) == pausing {
		server.pause(anyPhase, min(p.duration, maxPause))
		return
	}
	defer w.beginUnplanned(server)()
	server.fault.Store(fault)
	time.Sleep(p.duration)
	server.fault.Store(int32(healthy))
}

// impairBackendLink injects a fault into the connections to a backend server.
func (w *World) impairBackendLink(p faultParams) {
	if server := w.randomBackend(p); server != nil {
		defer w.beginUnplanned(server)()
		defer w.zones.beginHold(server, w.recorder.elapsed)()
		w.impairRelay(server.relay, p)
	}
}
