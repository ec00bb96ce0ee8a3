// Package soak runs the real daemons as processes, with backend servers and a store of its
// own, and injects faults while callers send requests. Connections are delayed, refused or
// silent; processes are killed, paused, stopped and restarted; the store is unavailable,
// busy, slow or loses writes and responses; backend servers fail, leave and join. The
// package checks the guarantees only against what callers and backend servers observe, not
// against what the daemons report.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
	"github.com/ebonydyke/ebonydyke/test/relay"
)

// Faults selects the faults that a soak injects.
type Faults string

// The selections of faults.
const (
	// FaultsAll selects all of them.
	FaultsAll Faults = "all"
	// FaultsPauses selects sound backend servers that fall silent beside planned work, and nothing else.
	FaultsPauses Faults = "pauses"
	// FaultsEndless selects backend servers that send bytes without end in place of answers, and nothing else.
	FaultsEndless Faults = "endless"
	// FaultsZones selects evacuations of zones and backend servers that become cold, beside faults of instances and the
	// store. All other backend servers are sound.
	FaultsZones Faults = "zones"
	// FaultsRestarts selects restarts of all instances at once beside releases, and nothing else.
	FaultsRestarts Faults = "restarts"
	// FaultsCopies selects backend servers that send responses a second time, late, and refuse some requests, and nothing else.
	FaultsCopies Faults = "copies"
)

// Options sets the size and duration of a soak.
type Options struct {
	// Binary is the path of the daemon.
	Binary string
	// Seed determines the sequence of faults. Their effects depend on timing and differ
	// between runs.
	Seed uint64
	// Instances and Backends are the numbers of instances and of backend servers.
	Instances, Backends int
	// Callers is the number of concurrent callers.
	Callers int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Faults selects the faults; FaultsAll if it is empty.
	Faults Faults
	// Logs is the directory for the settings and logs of the processes.
	Logs string
}

// Result holds the violations and counts of a soak.
type Result struct {
	Violations []Violation
	Counts     map[string]int
	// Notes tell of cases that violate nothing and are rare enough to be traced.
	Notes []string
}

// World is the state of one soak.
type World struct {
	options   Options
	recorder  *recorder
	store     *fakeplatform.Server
	instances []*instance
	// versionSteps is the random source of the steps between configuration versions.
	// nextVersion is the next one, and writtenVersions lists those that were written.
	versionSteps *rand.Rand
	nextVersion  int
	// assignedAddresses holds the addresses that were assigned to instances.
	assignedAddresses map[string]bool
	writtenVersions   []int
	// disturbedAt is the time of the last fault that may delay updates from the store, in
	// nanoseconds since the start of the soak.
	disturbedAt atomic.Int64

	// streams counts the streams of callers.
	streams streamRecorder
	// restarts holds the observations of restarts of all instances.
	restarts restartRecorder
	// poison holds the observations of requests that end backend servers.
	poison *poisonRecorder
	// lost holds the observations of requests that end without a whole answer.
	lost *lostRecorder
	// standstills holds the times at which the soak's own process did nothing.
	standstills standstills
	// ended holds the backend servers that have ended, with what ran there.
	ended *endedRecorder
	// endless holds the observations of requests to which servers send bytes without end.
	endless *endlessRecorder
	// choices are what the operators last chose.
	choices operatorChoices
	// limitedSince is the time from which all backend servers announce a limit on their rejections, in
	// nanoseconds since the start of the soak, 0 if they do not. limitFailures counts those that
	// failed since.
	limitedSince  atomic.Int64
	limitFailures atomic.Int32

	// zones holds the observations of evacuated zones and cold servers, and evacuating is set while a fault evacuates zones.
	zones      zoneRecorder
	evacuating atomic.Bool

	// crowded is the instance that gets most new connections, nil if none does.
	crowded atomic.Pointer[crowding]

	// replacing counts the ended backend servers that are yet to be replaced.
	replacing replacements

	mu              sync.Mutex
	backends        []*backend
	backendsStarted int
	// version is the version of the last release.
	version string
}

// instance is one instance of the fleet. Its process may be replaced.
type instance struct {
	world                *World
	name, zone           string
	listen, peers, admin string
	settings             string
	store                *relay.Relay
	// disturbedAt is the time of its last fault or start, in nanoseconds since the start of
	// the soak.
	disturbedAt atomic.Int64

	mu      sync.Mutex
	current *process
	// starts counts the processes that were started for the instance.
	starts int
}

// process is one process of an instance; ended is closed when it ends.
type process struct {
	handle *os.Process
	ended  chan struct{}
}

// undisturbedFor reports whether no fault has delayed updates from the store for span plus 4 s.
// The 4 s let an instance that was cut off receive what it missed.
func (w *World) undisturbedFor(span time.Duration) bool {
	const settle = 4 * time.Second
	return w.recorder.elapsed()-time.Duration(w.disturbedAt.Load()) > span+settle
}

// markDisturbed records the time of a fault of the instance.
func (i *instance) markDisturbed() {
	i.disturbedAt.Store(int64(i.world.recorder.elapsed()))
	i.world.disturbedAt.Store(int64(i.world.recorder.elapsed()))
	i.world.zones.recordDisturbance(i, i.world.recorder.elapsed())
}

// disturbedSince reports whether the instance had a fault after the given time or less than
// 2 s before it.
func (i *instance) disturbedSince(at time.Duration) bool {
	const settle = 2 * time.Second
	last := time.Duration(i.disturbedAt.Load())
	return last > 0 && last > at-settle
}

// Run runs one soak. It ends only processes that it has started.
func Run(ctx context.Context, o Options) (*Result, error) {
	w := &World{
		options: o, recorder: newRecorder(), poison: newPoisonRecorder(), lost: newLostRecorder(), endless: newEndlessRecorder(), ended: newEndedRecorder(), choices: firstChoices(), store: fakeplatform.New(),
		versionSteps: rand.New(rand.NewPCG(o.Seed, 1<<32)), nextVersion: 1, version: softwareVersions[0], assignedAddresses: make(map[string]bool),
	}
	if err := w.start(); err != nil {
		w.stop()
		return nil, err
	}
	defer w.stop()
	callCtx, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { w.runCaller(callCtx, n) })
	}
	for n := range w.wireCallers() {
		callers.Go(func() { w.runWireCaller(callCtx, n) })
	}
	callers.Go(func() { w.probeVersions(callCtx) })
	callers.Go(func() { w.standstills.watch(callCtx, w.recorder.elapsed) })
	faultCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	w.injectSelected(faultCtx, callCtx, &callers)
	w.checkRecovery(ctx)
	stopCalling()
	callers.Wait()
	w.replacing.finish()
	// Requests in transit may still run and violate a guarantee.
	time.Sleep(time.Second)
	w.checkAtEnd()
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	return &Result{Violations: w.recorder.violations, Counts: w.recorder.counts, Notes: w.ended.blamed}, nil
}

// injectSelected injects the selected faults until faultCtx ends. What belongs to them and lasts until callCtx ends is added to callers.
func (w *World) injectSelected(faultCtx, callCtx context.Context, callers *sync.WaitGroup) {
	switch w.options.Faults {
	case FaultsPauses:
		w.injectPauses(faultCtx)
	case FaultsEndless:
		w.injectEndless(faultCtx)
	case FaultsZones:
		callers.Go(func() { w.watchRoom(callCtx) })
		w.injectZones(faultCtx)
	case FaultsRestarts:
		w.injectRestarts(faultCtx)
	case FaultsCopies:
		w.injectCopies(faultCtx)
	default:
		callers.Go(func() { w.sendPoisonRequests(callCtx) })
		callers.Go(func() { w.injectEndless(faultCtx) })
		w.injectFaults(faultCtx)
	}
}

// checkAtEnd makes the checks that need what was recorded until the end.
func (w *World) checkAtEnd() {
	w.checkContinuedStreams()
	w.checkRestartedStreams()
	w.checkSharing()
	w.checkCrowded()
	w.checkLost()
	w.checkBlamed()
	w.checkEndless()
	w.checkUnanswered()
	w.checkEvacuated()
	w.checkColdBound()
	w.checkRefusedBesideRoom()
	w.checkCopies()
}

// start starts the store, the backend servers and the instances.
func (w *World) start() error {
	server := httptest.NewServer(w.store)
	w.writeNextConfig()
	for n := range w.options.Backends {
		if err := w.addBackend(fmt.Sprintf("zone-%d", n%3), softwareVersions[n/3%2], 0); err != nil {
			return err
		}
	}
	for n := range w.options.Instances {
		i := &instance{world: w, name: fmt.Sprintf("entry-%d", n), zone: fmt.Sprintf("zone-%d", n%3)}
		w.instances = append(w.instances, i)
		if err := i.prepare(strings.TrimPrefix(server.URL, "http://"), w.options.Logs); err != nil {
			return err
		}
		if err := i.start(w.options.Binary, nil); err != nil {
			return err
		}
	}
	return w.waitReady()
}

// addBackend starts a backend server under a new name, which is cold for a time.
func (w *World) addBackend(zone, version string, cold time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backendsStarted++
	return w.startBackend(fmt.Sprintf("i-%d", w.backendsStarted), zone, version, cold)
}

// startBackend starts a backend server that is cold for a time. The caller holds w.mu.
func (w *World) startBackend(name, zone, version string, cold time.Duration) error {
	b, err := w.newBackend(name, zone, version, freePort)
	if err != nil {
		return err
	}
	b.turnCold(cold)
	w.backends = append(w.backends, b)
	b.announce(0)
	return nil
}

// prepare starts the relay to the store, assigns addresses and writes the settings.
func (i *instance) prepare(storeAddress, logs string) error {
	var err error
	if i.store, err = relay.Start(storeAddress); err != nil {
		return err
	}
	for _, a := range []*string{&i.listen, &i.peers, &i.admin} {
		if *a, err = i.world.freeAddress(); err != nil {
			return err
		}
	}
	i.settings = filepath.Join(logs, i.name+".json")
	if i.world.options.Faults == FaultsCopies {
		return i.writeSettings(copiesRetryBurst)
	}
	return i.writeSettings(retryBurst)
}

// writeSettings writes the settings file. burst is the number of retries that the budget allows at once.
func (i *instance) writeSettings(burst int) error {
	settings, _ := json.Marshal(map[string]any{
		"dialect": "platform", "fleet": fmt.Sprint("soak-", os.Getpid()), "name": i.name, "zone": i.zone, "listen": i.listen, "peer_listen": i.peers, "admin_listen": i.admin,
		"platform": "http://" + i.store.Address(), "accept_delay": "1s", "stop_grace": config.Duration(stopGrace),
		"config_bound": config.Duration(maxApplyTime), "drain_bound": config.Duration(newWorkGrace),
		"bounds": map[string]any{"skew_bound": 2, "skew_slack": 3, "retry_share": 0.2, "retry_burst": burst, "warm_up_overage": coldOverage, "warm_up_slack": coldSlack},
		"limits": map[string]any{"accept_quiet": "100ms", "accept_max": "500ms", "drain_idle": "300ms", "dial_timeout": "200ms"},
	})
	return os.WriteFile(i.settings, settings, 0o600)
}

// The ports of instances are below the system's ephemeral range, so that no outgoing
// connection takes a port before its instance starts. Each soak draws from a block of its own,
// because the ports of killed instances are briefly free.
const (
	firstPort      = 16_000
	portBlockSize  = 190
	portBlockCount = 20
)

// portBlock is a block of ports that no other soak on this machine uses while claim, on its first port, is open.
type portBlock struct {
	first int
	claim net.Listener
}

// ownPortBlock claims a block for as long as the process runs.
var ownPortBlock = sync.OnceValues(func() (*portBlock, error) {
	var err error
	for n := range portBlockCount {
		b := &portBlock{first: firstPort + (os.Getpid()+n)%portBlockCount*portBlockSize}
		if b.claim, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b.first)); err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("soak: no free block of ports: %w", err)
})

// freeAddress returns a random address that has no listener and is not assigned to another
// instance. Instances bind their addresses later, so a free port alone is not enough.
func (w *World) freeAddress() (string, error) {
	block, err := ownPortBlock()
	if err != nil {
		return "", err
	}
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+1+rand.IntN(portBlockSize-1))
		if w.assignedAddresses[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			w.assignedAddresses[address] = true
			return address, l.Close()
		}
	}
	return "", errors.New("soak: no free port")
}

// start starts a process in place of the one that has ended, or the first one if ended is
// nil. If two faults ended the same process, only the first call starts a replacement. A
// second replacement would leave the first untracked: neither later faults nor the end of
// the soak would reach it.
func (i *instance) start(binary string, ended *process) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current != ended {
		return nil
	}
	log, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, "--settings", i.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	started := &process{handle: command.Process, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(started.ended)
	}()
	i.current = started
	i.starts++
	i.markDisturbed()
	return nil
}

// currentProcess returns the instance's current process, which may have ended.
func (i *instance) currentProcess() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// signal sends a signal through the process handle. After the process has ended, its id may
// belong to another process.
func (p *process) signal(r *recorder, s syscall.Signal) {
	if err := p.handle.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.count("signal failed")
	}
}

// waitEnd waits until the process ends and kills it after the grace time, as the platform
// does.
func (p *process) waitEnd(r *recorder, grace time.Duration) (killed bool) {
	select {
	case <-p.ended:
		return false
	case <-time.After(grace):
		p.signal(r, syscall.SIGKILL)
		<-p.ended
		return true
	}
}

// waitReady waits until every instance reports on its admin address that it is ready.
func (w *World) waitReady() error {
	for _, i := range w.instances {
		ready := false
		for end := time.Now().Add(15 * time.Second); !ready && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + i.admin + "/readyz")
			if err == nil {
				ready = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
		}
		if !ready {
			return fmt.Errorf("soak: %s did not become ready; see the log %s.log", i.name, i.settings)
		}
	}
	return nil
}

// stop ends everything that the soak has started.
func (w *World) stop() {
	for _, i := range w.instances {
		if p := i.currentProcess(); p != nil {
			p.signal(w.recorder, syscall.SIGKILL)
			<-p.ended
		}
		if i.store != nil {
			i.store.Close()
		}
	}
	for _, b := range w.backends {
		b.close()
	}
}
