// Package fleet_test starts fleets of real instances and kills, suspends or partitions them while
// callers send requests that must run at most once.
//
// The platform and the backend servers are fakes inside the test process. Each instance is a
// separate process, which the test that started it stops.
package fleet_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/platform/standin"
	"github.com/ebonydyke/ebonydyke/test/relay"
)

const (
	// patience is the timeout of every wait for an expected event.
	patience = 30 * time.Second
	poll     = 20 * time.Millisecond
)

// binary is the daemon that TestMain built.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ebonydyke-fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "ebonydyked")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/ebonydyked")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func newRelay(t *testing.T, target string) *relay.Relay {
	r, err := relay.Start(target)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// setCut resets the open connections of a relay and refuses new ones, or ends that fault. A
// connection that is being established in the meantime is reset at its first byte.
func setCut(r *relay.Relay, partitioned bool) {
	if !partitioned {
		r.Set(relay.None)
		return
	}
	r.Set(relay.Faults{Refuse: true})
	r.Cut()
}

// runs counts the runs of each key over all backend servers.
type runs struct {
	mu sync.Mutex
	of map[string]int
}

func (r *runs) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[key]++
}

func (r *runs) count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of[key]
}

// instance is one process of the fleet.
type instance struct {
	name, zone          string
	callers, peers, ops string
	settings            string
	process             *exec.Cmd
	ended               chan struct{}
}

func (i *instance) signal(t *testing.T, s syscall.Signal) {
	require.NoError(t, i.process.Process.Signal(s))
}

// fleet is a platform, backend servers and instances in availability zones.
type fleet struct {
	t         *testing.T
	platform  *standin.Server
	runs      *runs
	instances []*instance
	// store holds, by zone, the relay through which the zone connects to the platform.
	store map[string]*relay.Relay
	// links holds, by zone and name of an instance in another zone, the relay through which the
	// zone connects to that instance's peer port.
	links map[string]map[string]*relay.Relay
	// callerTimeout is the timeout of a caller's request.
	callerTimeout time.Duration
}

// startFleet starts the given number of instances per zone, and backend servers that respond after
// delay.
func startFleet(t *testing.T, zones []string, perZone int, delay time.Duration) *fleet {
	f := &fleet{
		t: t, platform: standin.New(), runs: &runs{of: make(map[string]int)},
		store: make(map[string]*relay.Relay), links: make(map[string]map[string]*relay.Relay),
		callerTimeout: patience,
	}
	for n := range perZone {
		for _, zone := range zones {
			f.instances = append(f.instances, f.prepare(fmt.Sprintf("entry-%s-%d", zone, n), zone))
		}
	}
	for _, zone := range zones {
		f.openZone(zone)
	}
	f.apply(1, f.text(zones, delay))
	for _, i := range f.instances {
		f.start(i)
	}
	for _, i := range f.instances {
		f.waitGeneration(i, 1)
	}
	return f
}

// The ports of instances are below the range from which the system takes the ports of outgoing
// connections, so that no such connection uses one before its instance starts. They are above the
// ports of package sessions_test.
const (
	lowPort  = 30_000
	highPort = 32_700
)

// given holds the ports that freeAddress has returned. It returns none twice, because the instances
// bind their ports only later.
var given = make(map[int]bool)

func freeAddress(t *testing.T) string {
	for {
		port := lowPort + rand.IntN(highPort-lowPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		if given[port] {
			continue
		}
		given[port] = true
		return address
	}
}

func (f *fleet) prepare(name, zone string) *instance {
	return &instance{
		name: name, zone: zone,
		callers: freeAddress(f.t), peers: freeAddress(f.t), ops: freeAddress(f.t),
	}
}

// instancePrefix is the prefix of the instances' keys in the store.
const instancePrefix = "ebonydyke/instances/"

// openZone starts the relays of a zone to the store and to the instances of the other zones. In the
// zone's view of the store, the entries of these instances contain the addresses of the relays.
func (f *fleet) openZone(zone string) {
	f.links[zone] = make(map[string]*relay.Relay)
	for _, i := range f.instances {
		if i.zone != zone {
			f.links[zone][i.name] = newRelay(f.t, i.peers)
		}
	}
	server := httptest.NewServer(standin.ReplaceRange(f.platform, instancePrefix, func() map[string][]byte {
		return f.entries(zone)
	}))
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.store[zone] = newRelay(f.t, strings.TrimPrefix(server.URL, "http://"))
}

// entries returns the instances' entries in a zone's view of the store.
func (f *fleet) entries(zone string) map[string][]byte {
	entries := make(map[string][]byte)
	for _, i := range f.instances {
		address := i.peers
		if r := f.links[zone][i.name]; r != nil {
			address = r.Address()
		}
		value, err := json.Marshal(membership.Member{
			Name: i.name, Role: membership.RoleInstance, Zone: i.zone, Address: address,
			Incarnation: 1, State: membership.Live,
		})
		require.NoError(f.t, err)
		entries[instancePrefix+i.name] = value
	}
	return entries
}

// text returns a configuration with one plain service and starts one backend server of it per zone.
func (f *fleet) text(zones []string, delay time.Duration) string {
	var servers []config.BackendServer
	for _, zone := range zones {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/load" {
				http.NotFound(w, r)
				return
			}
			f.runs.add(r.Header.Get("Note"))
			time.Sleep(delay)
			_, _ = io.WriteString(w, "done "+r.Header.Get("Note"))
		}))
		f.t.Cleanup(server.Close)
		servers = append(servers, config.BackendServer{
			Name: "notes-" + zone, Address: strings.TrimPrefix(server.URL, "http://"), Zone: zone,
		})
	}
	text, err := json.Marshal(config.Text{
		Services:  []config.Service{{Name: "notes", Kind: config.Plain, BackendServers: servers, Capacity: 4096}},
		Customers: []config.Customer{{Name: "committee"}},
	})
	require.NoError(f.t, err)
	return string(text)
}

// apply writes a configuration to the store, as the operators' tool does.
func (f *fleet) apply(generation uint64, text string) {
	value, err := json.Marshal(config.Envelope{Generation: generation, Edit: fmt.Sprint("edit-", generation), Text: text})
	require.NoError(f.t, err)
	f.platform.Put(core.ConfigKey, value)
}

func (f *fleet) start(i *instance) {
	settings, err := json.Marshal(map[string]string{
		"name": i.name, "zone": i.zone, "listen": i.callers, "peer_listen": i.peers,
		"admin_listen": i.ops, "platform": "http://" + f.store[i.zone].Address(),
		"accept_delay": "200ms",
	})
	require.NoError(f.t, err)
	i.settings = filepath.Join(f.t.TempDir(), i.name+".json")
	require.NoError(f.t, os.WriteFile(i.settings, settings, 0o600))
	i.process = exec.Command(binary, "--settings", i.settings)
	log, err := os.Create(i.settings + ".log")
	require.NoError(f.t, err)
	i.process.Stdout, i.process.Stderr = log, log
	require.NoError(f.t, i.process.Start())
	i.ended = make(chan struct{})
	process, exited := i.process, i.ended
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	f.t.Cleanup(func() {
		_ = process.Process.Kill()
		<-exited
		if f.t.Failed() {
			lines, _ := os.ReadFile(i.settings + ".log")
			f.t.Logf("%s:\n%.4000s", i.name, lines)
		}
	})
}

// generation returns the generation of the configuration in force at an instance, or 0 if the
// instance can't be reached.
func (f *fleet) generation(i *instance) uint64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ops + "/status")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Generation uint64 `json:"generation"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return status.Generation
}

func (f *fleet) waitGeneration(i *instance, generation uint64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.generation(i) == generation }, patience, poll, "%s has generation %d", i.name, generation)
}

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome string
	reason  string
	first   string
	body    string
}

// send sends a note, which must run at most once. It returns status 0 if the request failed without
// a complete response.
func (f *fleet) send(i *instance, key string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/services/notes/approve", strings.NewReader("note "+key))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Ebonydyke-Customer", "committee")
	req.Header.Set("Ebonydyke-Idempotent", "false")
	req.Header.Set("Ebonydyke-Deadline-Ms", "5000")
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Note", key)
	return f.do(req)
}

func (f *fleet) do(req *http.Request) answer {
	client := http.Client{Timeout: f.callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: resp.StatusCode, body: string(body),
		outcome: resp.Header.Get("Ebonydyke-Outcome"), reason: resp.Header.Get("Ebonydyke-Reason"),
		first: resp.Header.Get("Ebonydyke-First"),
	}
}
