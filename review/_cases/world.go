package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// program is the program of the deploy file, as its build line places it.
	program = "target/ebonydyked"
	// settingsTemplate is the template of the deploy file.
	settingsTemplate = "deploy/settings.json"
	// startTimeout limits the wait until an instance is ready.
	startTimeout = 20 * time.Second
	// maxFds is the limit of descriptors of a process in the settings of the site file rv-ebony.
	maxFds = 4100
)

// bounds are those of the site file rv-ebony.
var bounds = map[string]any{
	"configApplyMs": 2000, "drainMs": 2000, "contactMs": 3000, "graceS": 8, "capFactor": 2,
	"retryBudgetRatio": 0.2, "retryBudgetExtra": 54,
}

// world is a small deployment: a store, replicas and instances.
type world struct {
	// trouble is false if the case shall do the same without its disruption.
	trouble   bool
	record    *record
	dir       string
	store     *fakeplatform.Server
	storeAddr string
	httpStore *httptest.Server
	instances []*instance
	replicas  []*replica
	// used holds the addresses that were given to instances.
	used map[string]bool
	// names counts the names of consumers.
	names int
}

// instance is one process of the fleet.
type instance struct {
	name, zone, front, ready, control, admin, settings string
	process                                            *exec.Cmd
	log                                                *os.File
	exited                                             chan struct{}
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ebonydyke-review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, record: r, dir: dir, store: fakeplatform.New(), used: make(map[string]bool)}
	w.httpStore = httptest.NewServer(w.store)
	w.storeAddr = strings.TrimPrefix(w.httpStore.URL, "http://")
	r.add("case", "trouble", trouble, "store", w.storeAddr)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, i := range w.instances {
		if i.process != nil {
			_ = i.process.Process.Kill()
			<-i.exited
		}
	}
	for _, r := range w.replicas {
		r.close()
	}
	w.httpStore.CloseClientConnections()
	w.httpStore.Close()
	_ = os.RemoveAll(w.dir)
	w.record.close()
}

// The ports of instances are below those that the system takes for outgoing channels.
const (
	lowPort  = 12_000
	highPort = 29_000
)

// freeAddress returns a loopback address on which nothing listens. It returns none twice.
func (w *world) freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowPort+rand.IntN(highPort-lowPort))
		l, err := net.Listen("tcp", address)
		if err != nil || w.used[address] {
			continue
		}
		must(l.Close())
		w.used[address] = true
		return address
	}
}

// addInstances prepares an instance in each of the zones.
func (w *world) addInstances(zones ...string) {
	for n, zone := range zones {
		w.instances = append(w.instances, &instance{
			name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone,
			front: w.freeAddress(), ready: w.freeAddress(), control: w.freeAddress(), admin: w.freeAddress(),
		})
	}
}

// startInstances starts all instances and waits until they are ready.
func (w *world) startInstances() {
	for _, i := range w.instances {
		w.start(i)
	}
	for _, i := range w.instances {
		w.waitReady(i)
	}
}

// start starts the process of an instance.
func (w *world) start(i *instance) {
	template, err := os.ReadFile(settingsTemplate)
	must(err)
	var seeds []string
	zones := make(map[string]string)
	for _, other := range w.instances {
		if len(seeds) < 3 {
			seeds = append(seeds, other.control)
		}
		zones[other.zone] = "tampere"
	}
	text := render(string(template), map[string]any{
		"nodeName": i.name, "zone": i.zone, "region": "tampere", "zones": zones, "seeds": seeds,
		"platform.address": w.storeAddr, "listen.front": i.front, "listen.ready": i.ready, "listen.control": i.control,
		"{{ip}}:{{internalPorts.0}}": i.admin,
	})
	i.settings = filepath.Join(w.dir, i.name+".json")
	must(os.WriteFile(i.settings, []byte(text), 0o600))
	i.log, err = os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	i.process = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", maxFds), program, "--settings", i.settings)
	i.process.Env = append(os.Environ(), "GOGC=25")
	i.process.Stdout, i.process.Stderr = i.log, i.log
	must(i.process.Start())
	w.record.add("instance started", "name", i.name, "front", i.front, "pid", i.process.Process.Pid)
	exited := make(chan struct{})
	i.exited = exited
	process, log := i.process, i.log
	go func() {
		err := process.Wait()
		w.record.add("instance ended", "name", i.name, "how", err)
		_ = log.Close()
		close(exited)
	}()
}

// render fills in a template of settings. It knows no more of the template's language than the file uses.
func render(template string, values map[string]any) string {
	for key, value := range bounds {
		values["bounds."+key] = value
	}
	text := template
	for key, value := range values {
		if strings.HasPrefix(key, "{{") {
			text = strings.ReplaceAll(text, key, fmt.Sprint(value))
			continue
		}
		encoded, err := json.Marshal(value)
		must(err)
		text = strings.ReplaceAll(text, "{{"+key+"|json}}", string(encoded))
		text = strings.ReplaceAll(text, "{{"+key+"}}", fmt.Sprint(value))
		text = strings.ReplaceAll(text, "{{#"+key+"}}", "")
		text = strings.ReplaceAll(text, "{{/"+key+"}}", "")
	}
	// What is left are sections without a value.
	for {
		begin := strings.Index(text, "{{#")
		if begin < 0 {
			return text
		}
		name := text[begin+3 : begin+strings.Index(text[begin:], "}}")]
		end := strings.Index(text, "{{/"+name+"}}")
		if end < 0 {
			panic(notRun("section without an end: " + name))
		}
		text = text[:begin] + text[end+len("{{/"+name+"}}"):]
	}
}

// isReady asks an instance as the platform does.
func isReady(i *instance) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) waitReady(i *instance) {
	for begun := time.Now(); time.Since(begun) < startTimeout; time.Sleep(50 * time.Millisecond) {
		if isReady(i) {
			return
		}
	}
	text, _ := os.ReadFile(i.settings + ".log")
	panic(notRun(fmt.Sprintf("%s is not ready: %.2000s", i.name, text)))
}

// signal sends a signal to the process of an instance.
func (w *world) signal(i *instance, s syscall.Signal) {
	w.record.add("signal", "name", i.name, "signal", s)
	must(i.process.Process.Signal(s))
}

// alive reports whether the process of an instance runs.
func (i *instance) alive() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// nextName returns a name for a consumer that no other one has.
func (w *world) nextName() string {
	w.names++
	return fmt.Sprintf("c%d-", w.names)
}
