package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// binaries is where build-2.sh puts the stand-ins, and daemon the program of the deploy file.
	binaries = "target/review-2/"
	daemon   = "target/ebonydyked"
	// heartbeat is the interval at which replicas write their entries. An entry is removed after three intervals of silence.
	heartbeat = 1200 * time.Millisecond
	readyTime = 15 * time.Second
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	host      = "ficu95.example"
)

// world is one run of a case: its processes, its record and its temporary folder.
type world struct {
	trouble bool
	folder  string
	started time.Time

	mu     sync.Mutex
	file   *os.File
	procs  []*process
	usedAt map[string]bool

	store    string
	replicas map[string]*replicaProcess
	// onLine is called with each line of a replica, if it is set.
	onLine func(string)
}

// process is a process that the driver started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	if recordPath == "" {
		return nil, errors.New("RECORD is not set")
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{
		trouble: trouble, folder: folder, started: time.Now(), file: file, usedAt: make(map[string]bool),
		replicas: make(map[string]*replicaProcess),
	}, nil
}

// record writes a line of the record.
func (w *world) record(who, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %-14s %s\n", time.Since(w.started).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = w.file.WriteString(line)
}

// close ends all processes that are still running, and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	_ = os.RemoveAll(w.folder)
	_ = w.file.Close()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, and waits for its end.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended by itself or was ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// start starts a process. Each line of its output goes to line, or to a file of the temporary folder if that is nil.
func (w *world) start(name string, env []string, line func(string), command ...string) (*process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	// The driver's own end must not leave processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	go func() {
		log, _ := os.OpenFile(filepath.Join(w.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if line != nil {
				line(lines.Text())
			}
			_, _ = fmt.Fprintln(log, lines.Text())
		}
		_ = log.Close()
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// freeAddress returns a loopback address with a free port that no other process of the world uses.
func (w *world) freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		address := l.Addr().String()
		_ = l.Close()
		if !w.usedAt[address] {
			w.usedAt[address] = true
			return address
		}
	}
}

// startStore starts the project's stand-in of the platform's store.
func (w *world) startStore() error {
	w.store = w.freeAddress()
	if _, err := w.start("store", nil, nil, binaries+"standin", "--listen", w.store, "platform"); err != nil {
		return err
	}
	return w.await("the store", func() bool { return w.put("review/started", []byte("1")) == nil })
}

// put writes a key of the store as the operator or a replica does.
func (w *world) put(key string, value []byte) error {
	return w.operate(http.MethodPut, key, value)
}

// remove removes a key of the store.
func (w *world) remove(key string) error { return w.operate(http.MethodDelete, key, nil) }

func (w *world) operate(method, key string, value []byte) error {
	req, err := http.NewRequest(method, "http://"+w.store+"/operator/"+key, bytes.NewReader(value))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// configure writes the operators' configuration.
func (w *world) configure(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.record("operator", "writes op/config: %s", text)
	return w.put("op/config", text)
}

// instance is an instance of the system.
type instance struct {
	*process
	name, front, ready, admin string
}

// settings returns the settings of an instance as the template of the deploy file gives them for a small installation.
func (w *world) settings(name, zone string, front, ready, admin, peer string, seeds []string) ([]byte, error) {
	return json.MarshalIndent(map[string]any{
		"dialect": "platform", "name": name, "fleet": w.store, "zone": zone, "region": "tampere",
		"zones":  map[string]string{"hervanta": "tampere", "lielahti": "tampere", "hatanpaa": "tampere"},
		"listen": front, "ready_listen": ready, "admin_listen": admin, "peer_listen": peer, "platform": "http://" + w.store,
		"config_bound": "2000ms", "drain_bound": "2000ms", "platform_settle": "3000ms", "seeds": seeds,
		"accept_delay": "2500ms", "stop_grace": "8s",
		"bounds": map[string]any{"skew_bound": 2, "skew_slack": 3, "retry_share": 0.2, "retry_burst": 54},
		"limits": map[string]any{
			"max_header": 20480, "max_body": 5242880, "max_memory": 284, "max_descriptors": 4100,
			"accept_quiet": "200ms", "accept_max": "1s", "drain_idle": "500ms", "backend_idle": "2s", "dial_timeout": "150ms",
		},
	}, "", "  ")
}

// startInstances starts one instance for each zone, with the command of the deploy file, and waits until all are ready.
func (w *world) startInstances(zones ...string) ([]*instance, error) {
	var list []*instance
	var peers []string
	for range zones {
		peers = append(peers, w.freeAddress())
	}
	for i, zone := range zones {
		n := &instance{name: fmt.Sprintf("edge-%s-%d", zone, i+1), front: w.freeAddress(), ready: w.freeAddress(), admin: w.freeAddress()}
		text, err := w.settings(n.name, zone, n.front, n.ready, n.admin, peers[i], peers)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(w.folder, n.name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
		if n.process, err = w.start(n.name, []string{"GOGC=25"}, nil, daemon, "--settings", path); err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	for _, n := range list {
		if err := w.await(n.name, n.isReady); err != nil {
			return nil, err
		}
		w.record("driver", "%s is ready at %s", n.name, n.front)
	}
	return list, nil
}

func (n *instance) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (w *world) await(what string, holds func() bool) error {
	for until := time.Now().Add(readyTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not up within %v", what, readyTime)
}

// keepLogs copies the logs of the processes to a folder, if the variable LOGS names one.
func (w *world) keepLogs() {
	to := os.Getenv("LOGS")
	if to == "" {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(w.folder, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		_ = os.WriteFile(filepath.Join(to, filepath.Base(path)), text, 0o600)
	}
}

// field returns the value of a field of a replica's line, such as id=x.
func field(line, name string) string {
	for part := range strings.FieldsSeq(line) {
		if value, found := strings.CutPrefix(part, name+"="); found {
			return value
		}
	}
	return ""
}
