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
	"maps"
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
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
	"github.com/ebonydyke/ebonydyke/test/relay"
)

const (
	// waitTimeout is the timeout of every wait for an expected event.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// daemonPath is the daemon that TestMain built.
var daemonPath string

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
	daemonPath = filepath.Join(dir, "ebonydyked")
	build := exec.Command("go", "build", "-o", daemonPath, "../../cmd/ebonydyked")
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

// setPartitioned resets the open connections of a relay and refuses new ones, or ends that fault. A
// connection that is being established in the meantime is reset at its first byte.
func setPartitioned(r *relay.Relay, partitioned bool) {
	if !partitioned {
		r.SetFaults(relay.NoFaults)
		return
	}
	r.SetFaults(relay.Faults{Refuse: true})
	r.ResetConns()
}

// runs counts the runs of each key over all backend servers.
type runs struct {
	mu    sync.Mutex
	byKey map[string]int
}

func (r *runs) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key]++
}

func (r *runs) count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// instance is one process of the fleet.
type instance struct {
	name, zone                      string
	callerAddr, peerAddr, adminAddr string
	settingsFile                    string
	// ownSettings are added to those of every instance.
	ownSettings map[string]any
	process     *exec.Cmd
	exited      chan struct{}
}

func (i *instance) signal(t *testing.T, s syscall.Signal) {
	require.NoError(t, i.process.Process.Signal(s))
}

// fleet is a platform, backend servers and instances in availability zones.
type fleet struct {
	t         *testing.T
	platform  *fakeplatform.Server
	runs      *runs
	instances []*instance
	// storeRelays holds, by zone, the relay through which the zone connects to the platform.
	storeRelays map[string]*relay.Relay
	// peerRelays holds, by zone and name of an instance in another zone, the relay through which
	// the zone connects to that instance's peer port.
	peerRelays map[string]map[string]*relay.Relay
	// callerTimeout is the timeout of a caller's request.
	callerTimeout time.Duration
}

// startFleet starts the given number of instances per zone, and backend servers that respond after
// delay.
func startFleet(t *testing.T, zones []string, perZone int, delay time.Duration) *fleet {
	f := &fleet{
		t: t, platform: fakeplatform.New(), runs: &runs{byKey: make(map[string]int)},
		storeRelays: make(map[string]*relay.Relay), peerRelays: make(map[string]map[string]*relay.Relay),
		callerTimeout: waitTimeout,
	}
	for n := range perZone {
		for _, zone := range zones {
			f.instances = append(f.instances, f.newInstance(fmt.Sprintf("entry-%s-%d", zone, n), zone))
		}
	}
	for _, zone := range zones {
		f.startZoneRelays(zone)
	}
	f.applyConfig(1, f.newConfig(zones, delay))
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

// usedPorts holds the ports that freeAddress has returned. It returns none twice, because the
// instances bind their ports only later. usedPortsMu guards it.
var (
	usedPortsMu sync.Mutex
	usedPorts   = make(map[int]bool)
)

func freeAddress(t *testing.T) string {
	usedPortsMu.Lock()
	defer usedPortsMu.Unlock()
	for {
		port := lowPort + rand.IntN(highPort-lowPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		return address
	}
}

func (f *fleet) newInstance(name, zone string) *instance {
	return &instance{
		name: name, zone: zone,
		callerAddr: freeAddress(f.t), peerAddr: freeAddress(f.t), adminAddr: freeAddress(f.t),
	}
}

// instancePrefix is the prefix of the instances' keys in the store.
const instancePrefix = "ebonydyke/instances/"

// startZoneRelays starts the relays of a zone to the store and to the instances of the other zones.
// In the zone's view of the store, the entries of these instances contain the addresses of the
// relays.
func (f *fleet) startZoneRelays(zone string) {
	f.peerRelays[zone] = make(map[string]*relay.Relay)
	for _, i := range f.instances {
		if i.zone != zone {
			f.peerRelays[zone][i.name] = newRelay(f.t, i.peerAddr)
		}
	}
	server := httptest.NewServer(fakeplatform.ReplaceRange(f.platform, instancePrefix, func() map[string][]byte {
		return f.instanceEntries(zone)
	}))
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.storeRelays[zone] = newRelay(f.t, strings.TrimPrefix(server.URL, "http://"))
}

// instanceEntries returns the instances' entries in a zone's view of the store.
func (f *fleet) instanceEntries(zone string) map[string][]byte {
	entries := make(map[string][]byte)
	for _, i := range f.instances {
		address := i.peerAddr
		if r := f.peerRelays[zone][i.name]; r != nil {
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

// newConfig returns a configuration with one plain service and starts one backend server of it per
// zone.
func (f *fleet) newConfig(zones []string, delay time.Duration) string {
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

// applyConfig writes a configuration to the store, as the operators' tool does.
func (f *fleet) applyConfig(generation uint64, text string) {
	value, err := json.Marshal(config.Envelope{Generation: generation, Edit: fmt.Sprint("edit-", generation), Text: text})
	require.NoError(f.t, err)
	f.platform.Put(core.ConfigKey, value)
}

func (f *fleet) start(i *instance) {
	all := map[string]any{
		"name": i.name, "zone": i.zone, "listen": i.callerAddr, "peer_listen": i.peerAddr,
		"admin_listen": i.adminAddr, "platform": "http://" + f.storeRelays[i.zone].Address(),
		"accept_delay": "200ms",
	}
	maps.Copy(all, i.ownSettings)
	settings, err := json.Marshal(all)
	require.NoError(f.t, err)
	i.settingsFile = filepath.Join(f.t.TempDir(), i.name+".json")
	require.NoError(f.t, os.WriteFile(i.settingsFile, settings, 0o600))
	i.process = exec.Command(daemonPath, "--settings", i.settingsFile)
	log, err := os.Create(i.settingsFile + ".log")
	require.NoError(f.t, err)
	i.process.Stdout, i.process.Stderr = log, log
	require.NoError(f.t, i.process.Start())
	i.exited = make(chan struct{})
	process, exited := i.process, i.exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	f.t.Cleanup(func() {
		_ = process.Process.Kill()
		<-exited
		if f.t.Failed() {
			lines, _ := os.ReadFile(i.settingsFile + ".log")
			f.t.Logf("%s:\n%.4000s", i.name, lines)
		}
	})
}

// generation returns the generation of the configuration in force at an instance, or 0 if the
// instance can't be reached.
func (f *fleet) generation(i *instance) uint64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.adminAddr + "/status")
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
	require.Eventually(f.t, func() bool { return f.generation(i) == generation }, waitTimeout, pollInterval, "%s has generation %d", i.name, generation)
}

// response holds the parts of a response that a caller received.
type response struct {
	status       int
	outcome      string
	reason       string
	firstOutcome string
	body         string
}

// send sends a note, which must run at most once. It returns status 0 if the request failed without
// a complete response.
func (f *fleet) send(i *instance, key string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.callerAddr+"/services/notes/approve", strings.NewReader("note "+key))
	if err != nil {
		return response{}
	}
	req.Header.Set("Ebonydyke-Customer", "committee")
	req.Header.Set("Ebonydyke-Idempotent", "false")
	req.Header.Set("Ebonydyke-Deadline-Ms", "5000")
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Note", key)
	return f.do(req)
}

func (f *fleet) do(req *http.Request) response {
	client := http.Client{Timeout: f.callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{
		status: resp.StatusCode, body: string(body),
		outcome: resp.Header.Get("Ebonydyke-Outcome"), reason: resp.Header.Get("Ebonydyke-Reason"),
		firstOutcome: resp.Header.Get("Ebonydyke-First"),
	}
}
