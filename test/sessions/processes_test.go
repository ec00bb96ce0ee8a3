package sessions_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/standin/balancer"
)

const (
	processTimeout      = 15 * time.Second
	processPollInterval = 20 * time.Millisecond
)

// fleet is a fake platform, two fake engines and three instances, each in its own process.
type fleet struct {
	t     *testing.T
	bin   string
	dir   string
	ports []string

	engines   map[string]*exec.Cmd
	instances []*exec.Cmd
}

const processSettings = `{"name": "entry-%d", "zone": "zone-1", "listen": "%s", "peer_listen": "%s", "admin_listen": "%s",
"platform": "http://%s", "accept_delay": "300ms", "limits": {"drain_idle": "200ms", "accept_quiet": "1s"}}`

const processConfig = `{"services": [{"name": "underwriting", "kind": "model", "capacity": 4096, "backend_servers": [
  {"name": "engine-a", "address": "%s", "zone": "zone-1"}, {"name": "engine-b", "address": "%s", "zone": "zone-1"}]}],
  "customers": [{"name": "branch-recife"}]}`

const fleetInstances = 3

func startFleet(t *testing.T, tokens int, interval time.Duration) *fleet {
	t.Helper()
	readSources(t)
	f := &fleet{t: t, bin: buildPrograms(t), dir: t.TempDir(), engines: make(map[string]*exec.Cmd)}
	f.ports = reservePorts(t.Cleanup, 3+3*fleetInstances)
	f.start("standin", "--listen", f.address(0), "platform")
	for i, name := range []string{"engine-a", "engine-b"} {
		f.engines[name] = f.start("standin", "--listen", f.address(1+i), "engine", "--name", name,
			"--tokens", fmt.Sprint(tokens), "--interval", interval.String())
	}
	for i := range fleetInstances {
		file := filepath.Join(f.dir, fmt.Sprintf("entry-%d.json", i))
		text := fmt.Sprintf(processSettings, i, f.listen(i), f.address(4+3*i), f.address(5+3*i), f.address(0))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		f.instances = append(f.instances, f.start("ebonydyked", "--settings", file))
	}
	text := filepath.Join(f.dir, "fleet.json")
	require.NoError(t, os.WriteFile(text, fmt.Appendf(nil, processConfig, f.address(1), f.address(2)), 0o600))
	require.Eventually(t, func() bool {
		return exec.Command(filepath.Join(f.bin, "ebonyctl"), "--platform", "http://"+f.address(0), "apply", text).Run() == nil
	}, processTimeout, processPollInterval)
	for i := range fleetInstances {
		require.Eventually(t, func() bool {
			got, err := f.chat(i, nil)
			return err == nil && got.status == http.StatusOK
		}, processTimeout, processPollInterval)
	}
	return f
}

func (f *fleet) address(i int) string { return "127.0.0.1:" + f.ports[i] }

// listen returns the address on which an instance accepts callers' requests.
func (f *fleet) listen(i int) string { return f.address(3 + 3*i) }

// start starts a program and kills it at the end of the test.
func (f *fleet) start(name string, args ...string) *exec.Cmd {
	f.t.Helper()
	c := exec.Command(filepath.Join(f.bin, name), args...)
	require.NoError(f.t, c.Start())
	f.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

func (f *fleet) request(i int, h map[string]string) *http.Request {
	body := strings.NewReader(`{"model":"underwriting","stream":true}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.listen(i)+"/v1/chat/completions", body)
	if err != nil {
		panic(err)
	}
	req.Header.Set(proxy.HeaderCustomer, "branch-recife")
	req.Header.Set(proxy.HeaderChat, "dossier-17")
	for key, value := range h {
		req.Header.Set(key, value)
	}
	return req
}

// chatReply is the response that a caller received.
type chatReply struct {
	status  int
	backend string
	body    string
	// err is the error at which the response body ended.
	err error
}

func (f *fleet) chat(i int, h map[string]string) (chatReply, error) {
	return f.chatWithCallback(i, h, func(string) {})
}

// chatWithCallback sends a chat request and calls onFirstByte with the name of the responding
// engine when the first byte of the response has arrived.
func (f *fleet) chatWithCallback(i int, h map[string]string, onFirstByte func(backend string)) (chatReply, error) {
	resp, err := http.DefaultClient.Do(f.request(i, h))
	if err != nil {
		return chatReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	got := chatReply{status: resp.StatusCode, backend: resp.Header.Get(proxy.HeaderBackend)}
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	if err != nil {
		got.err = err
		return got, nil
	}
	onFirstByte(got.backend)
	body, err := io.ReadAll(resp.Body)
	got.body, got.err = string(first[:n])+string(body), err
	return got, nil
}

var processTokenPattern = regexp.MustCompile(`"content":"(engine-[ab]-\d+)-\d+ "`)

// tokensByRun returns the number of tokens in the response by the run that generated them.
func (r chatReply) tokensByRun() map[string]int {
	found := make(map[string]int)
	for _, m := range processTokenPattern.FindAllStringSubmatch(r.body, -1) {
		found[m[1]]++
	}
	return found
}

func (r chatReply) requireComplete(t *testing.T, tokens int) {
	t.Helper()
	require.NoError(t, r.err)
	require.True(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"), r.body)
	require.Len(t, r.tokensByRun(), 1)
	for _, n := range r.tokensByRun() {
		require.Equal(t, tokens, n)
	}
}

// An engine's process is killed or suspended in the middle of a stream. The caller gets an error
// that it can't mistake for the end of the stream, at its deadline if the engine is suspended. The
// next turn is complete and comes from one run. The events that a suspended engine sends after it
// resumes reach no caller.
func TestEngineProcessKilledOrSuspended(t *testing.T) {
	const tokens = 20
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(signal.String(), func(t *testing.T) {
			f := startFleet(t, tokens, 40*time.Millisecond)
			first, err := f.chat(0, nil)
			require.NoError(t, err)
			first.requireComplete(t, tokens)
			// The engine of the second turn may differ from that of the first one. The first
			// choice depended on load reports of another instance, which were up to half a
			// second old.
			var stopped *exec.Cmd
			interrupted, err := f.chatWithCallback(0, map[string]string{proxy.HeaderDeadline: "3000"}, func(backend string) {
				stopped = f.engines[backend]
				_ = stopped.Process.Signal(signal)
			})
			require.NoError(t, err)
			require.ErrorContains(t, interrupted.err, "unexpected EOF")
			require.Contains(t, interrupted.body, "event: error\n")
			require.NotContains(t, interrupted.body, "[DONE]")
			require.Len(t, interrupted.tokensByRun(), 1)
			_ = stopped.Process.Signal(syscall.SIGCONT)
			for i := range fleetInstances {
				next, err := f.chat(i, nil)
				require.NoError(t, err)
				next.requireComplete(t, tokens)
			}
		})
	}
}

// Two of three instances are stopped at the same time under load. The load balancer notices it only
// by refused connections and "Connection: close". Both processes exit with 0, and no request is
// lost or refused.
func TestTwoInstancesStoppedTogether(t *testing.T) {
	f := startFleet(t, 8, 5*time.Millisecond)
	b := &balancer.Balancer{}
	for i := range fleetInstances {
		b.Add(f.listen(i))
	}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for n := range 12 {
		w := balancer.Worker{Request: func() *http.Request { return f.request(0, nil) }, KeepAlive: n%3 != 0}
		workers.Go(func() { b.Run(stop, w) })
	}
	time.Sleep(200 * time.Millisecond)
	for i := range 2 {
		require.NoError(t, f.instances[i].Process.Signal(syscall.SIGTERM))
		time.AfterFunc(400*time.Millisecond, func() { b.Remove(f.listen(i)) })
	}
	for i := range 2 {
		require.NoError(t, f.instances[i].Wait(), "exit code of entry-%d", i)
	}
	close(stop)
	workers.Wait()
	t.Logf("whole %d, refused %d, lost %d %v", b.Completed.Load(), b.Refused.Load(), b.Lost.Load(), b.Losses())
	require.Zero(t, b.Lost.Load())
	require.Zero(t, b.Refused.Load())
	require.NotZero(t, b.Completed.Load())
}
