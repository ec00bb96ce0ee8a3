// Package soak runs the real programs as processes before backend servers and a store
// of its own, and strikes them from outside with whatever may come, while callers go
// on: connections that are delayed, reset or silent, processes that are killed, paused,
// stopped and restarted, a store that is away, busy, slow or forgetful, backend servers
// that fail, leave and come. It checks the promises from what callers and backend
// servers see, never from what the programs say of themselves.
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

	"github.com/ebonydyke/ebonydyke/platform/standin"
	"github.com/ebonydyke/ebonydyke/test/relay"
)

// Options say how large a soak is and how long it lasts.
type Options struct {
	// Binary is the daemon.
	Binary string
	// Seed draws the faults. What the processes make of them differs from run to run.
	Seed uint64
	// Instances and Backends are the numbers of processes and of backend servers.
	Instances, Backends int
	// Callers is the number of callers at once.
	Callers int
	// Duration is how long faults come.
	Duration time.Duration
	// Logs is a folder for the processes' logs.
	Logs string
}

// Result is what a soak found.
type Result struct {
	Violations []Violation
	Counts     map[string]int
}

// World is one soak.
type World struct {
	options   Options
	ledger    *ledger
	store     *standin.Server
	instances []*instance
	// versions draws the steps between the versions of the configuration; version is
	// the next, and keyed are those that were written.
	versions *rand.Rand
	version  int
	// given are the addresses of the instances.
	given map[string]bool
	keyed []int
	// disturbedAt is when the store was last away, slow or cut off from an instance.
	disturbedAt atomic.Int64

	mu       sync.Mutex
	backends []*backend
	born     int
}

// instance is one process of the fleet.
type instance struct {
	world                *World
	name, zone           string
	listen, peers, admin string
	settings             string
	store                *relay.Relay
	// disturbedAt is when a fault last struck it, in nanoseconds of the soak.
	disturbedAt atomic.Int64

	mu      sync.Mutex
	current *process
	// starts counts the processes under this name.
	starts int
}

// process is one process of an instance; ended is closed at its end.
type process struct {
	handle *os.Process
	ended  chan struct{}
}

// calmSince tells whether nothing has disturbed the way from the store to the
// instances for so long, and some more: an instance that was cut off may not have heard.
func (w *World) calmSince(span time.Duration) bool {
	const settle = 4 * time.Second
	return w.ledger.elapsed()-time.Duration(w.disturbedAt.Load()) > span+settle
}

func (i *instance) disturbed() {
	i.disturbedAt.Store(int64(i.world.ledger.elapsed()))
	i.world.disturbedAt.Store(int64(i.world.ledger.elapsed()))
}

// disturbedSince tells whether a fault struck the instance after a time, or shortly
// before it.
func (i *instance) disturbedSince(at time.Duration) bool {
	const settle = 2 * time.Second
	last := time.Duration(i.disturbedAt.Load())
	return last > 0 && last > at-settle
}

// Run runs one soak to its end. Only processes that it started are ended.
func Run(ctx context.Context, o Options) (*Result, error) {
	w := &World{
		options: o, ledger: newLedger(), store: standin.New(),
		versions: rand.New(rand.NewPCG(o.Seed, 1<<32)), version: 1, given: make(map[string]bool),
	}
	if err := w.start(); err != nil {
		w.stop()
		return nil, err
	}
	defer w.stop()
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { w.caller(calling, n) })
	}
	callers.Go(func() { w.probe(calling) })
	striking, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	w.strike(striking)
	w.checkAfterwards(ctx)
	stopCalling()
	callers.Wait()
	// What is still on its way may yet run, or break a promise.
	time.Sleep(time.Second)
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	return &Result{Violations: w.ledger.violations, Counts: w.ledger.counts}, nil
}

func (w *World) start() error {
	server := httptest.NewServer(w.store)
	w.configure()
	for n := range w.options.Backends {
		if err := w.addBackend(fmt.Sprintf("zone-%d", n%3)); err != nil {
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

// configure writes the operators' configuration anew: the version rises, and a route
// and a key beside the steady ones come and go.
func (w *World) configure() {
	route := func(name, kind string, runs int, resumable bool) standin.Route {
		return standin.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Service: "work", Kind: kind,
			MaxRuns: runs, Resumable: resumable, Timeout: routeTimeout,
		}
	}
	w.store.Configure(standin.Config{
		Version: w.version, Services: []string{"work"}, Customer: "t1",
		Keys: []string{callerKey, fmt.Sprint("key-", w.version)},
		Routes: []standin.Route{
			route(kindOnce, standin.Once, 1, false),
			route(kindSafe, standin.Repeatable, 2, false),
			route(kindStream, standin.Stream, 2, true),
			route(kindReview, standin.Stream, 1, false),
			route(fmt.Sprint("spare-", w.version), standin.Repeatable, 1, false),
		},
	})
	w.keyed = append(w.keyed, w.version)
	w.version += 1 + w.versions.IntN(3)
}

func (w *World) addBackend(zone string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	b, err := w.newBackend(fmt.Sprintf("i-%d", w.born), zone)
	if err != nil {
		return err
	}
	w.backends = append(w.backends, b)
	b.register(false)
	return nil
}

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
	text, _ := json.Marshal(map[string]any{
		"dialect": "platform", "fleet": fmt.Sprint("soak-", os.Getpid()), "name": i.name, "zone": i.zone, "listen": i.listen, "peer_listen": i.peers, "admin_listen": i.admin,
		"platform": "http://" + i.store.Address(), "accept_delay": "1s", "stop_grace": "8s",
		"bounds": map[string]any{"skew_bound": 2, "skew_slack": 3, "retry_share": 0.2, "retry_burst": 50},
		"limits": map[string]any{"accept_quiet": "100ms", "accept_max": "500ms", "drain_idle": "300ms", "dial_timeout": "200ms"},
	})
	i.settings = filepath.Join(logs, i.name+".json")
	return os.WriteFile(i.settings, text, 0o600)
}

// The ports of instances lie under the range from which the system takes those of
// outgoing connections, so that none of these takes one before its instance starts.
// Each soak draws from a block of its own: ports of killed instances are free for a
// moment.
const (
	lowPort    = 16_000
	portBlock  = 190
	portBlocks = 20
)

// freeAddress draws an address on which nothing listens and that no other instance
// was given: instances bind theirs only later.
func (w *World) freeAddress() (string, error) {
	low := lowPort + os.Getpid()%portBlocks*portBlock
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", low+rand.IntN(portBlock))
		if w.given[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			w.given[address] = true
			return address, l.Close()
		}
	}
	return "", errors.New("soak: no free port")
}

// start starts a process in place of one that has ended, nil for the first. Where two
// faults ended the same process, the first to come has replaced it: a second one would
// make the first nobody's, out of reach of later faults and of the soak's end.
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
	i.disturbed()
	return nil
}

// running is the instance's present process, which may have ended.
func (i *instance) running() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// signal sends a signal by the handle that the process was started with: once it has
// ended, its number may be another's.
func (p *process) signal(l *ledger, s syscall.Signal) {
	if err := p.handle.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		l.count("signal failed")
	}
}

// waitEnd waits for the process's end, and kills it after the grace time as the
// platform does.
func (p *process) waitEnd(l *ledger, grace time.Duration) (killed bool) {
	select {
	case <-p.ended:
		return false
	case <-time.After(grace):
		p.signal(l, syscall.SIGKILL)
		<-p.ended
		return true
	}
}

// waitReady waits until every instance answers a request.
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
			return fmt.Errorf("soak: %s is not ready; its log is %s.log", i.name, i.settings)
		}
	}
	return nil
}

// stop ends whatever the soak has started.
func (w *World) stop() {
	for _, i := range w.instances {
		if p := i.running(); p != nil {
			p.signal(w.ledger, syscall.SIGKILL)
			<-p.ended
		}
		if i.store != nil {
			i.store.Close()
		}
	}
	for _, b := range w.backends {
		b.end()
	}
}
