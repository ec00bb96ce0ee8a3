package proxy_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/daemon"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/standin/engine"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// instance runs the real core, loop and proxy over TCP. It ignores effects that concern
// the platform and the peers.
type instance struct {
	server  *proxy.Server
	loop    *daemon.Loop
	address string
	url     string
	stopped chan struct{}
	// closed is closed once the listener is closed.
	closed chan struct{}
	// relays are the peers that each attempt may ask.
	relays []core.PeerAddress
	// process is the process that each attempt must reach, nil if any will do.
	process *core.ProcessCheck
	// onNotReady is called when the instance reports that it is not ready.
	onNotReady func()

	mu sync.Mutex
	// applied is the generation of the configuration that was applied last.
	applied  uint64
	finishes []core.Finish
	attempts []core.SendAttempt
	refused  map[reason.Reason]int
	dialled  map[proxy.DialReason]int
	// acceptErrors and idleCloses count errors of accepting connections and idle ones that were closed.
	acceptErrors, idleCloses atomic.Int64
	// connEnds are the ends of connections without a whole response.
	connEnds []string
	// endCauses counts the ends of attempts.
	endCauses map[proxy.EndCause]int
	// firstStates are the times at which the core first reported each state of a backend server.
	firstStates map[backendState]time.Time
}

// backendState is a state of a backend server that the core reports.
type backendState struct{ backend, state string }

// Execute executes the effects that concern the proxy.
func (i *instance) Execute(effect core.Effect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch e := effect.(type) {
	case core.SendAttempt:
		e.Dial.Relays = i.relays
		e.Process = i.process
		i.attempts = append(i.attempts, e)
		i.server.Deliver(e.Request, e)
	case core.CancelAttempt:
		i.server.Deliver(e.Request, e)
	case core.Finish:
		i.finishes = append(i.finishes, e)
		go i.server.Deliver(e.Request, e)
	case core.StateChanged:
		key := backendState{e.Name, e.State}
		if e.Subject == core.SubjectBackend && i.firstStates[key].IsZero() {
			i.firstStates[key] = time.Now()
		}
	case core.ConfigApplied:
		i.server.SetCallerLimits(e.Limits)
		i.applied = e.Generation
	case core.SetReady:
		i.server.SetReady(e.Ready)
		if i.onNotReady != nil {
			i.onNotReady()
		}
	case core.CloseListener:
		go func() {
			i.server.CloseListener()
			close(i.closed)
		}()
	case core.Stopped:
		go func() {
			i.server.Drain()
			close(i.stopped)
		}()
	}
}

// Refused implements proxy.Metrics.
func (i *instance) Refused(r reason.Reason) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refused[r]++
}

// Retried implements proxy.Metrics.
func (i *instance) Retried(reason.Reason) {}

// AttemptEnded implements proxy.Metrics.
func (i *instance) AttemptEnded(cause proxy.EndCause) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endCauses[cause]++
}

// attemptsEnded returns the number of attempts that ended by a cause.
func (i *instance) attemptsEnded(cause proxy.EndCause) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.endCauses[cause]
}

// ResponseIdentified implements proxy.Metrics.
func (i *instance) ResponseIdentified(proxy.Identity) {}

// Answered implements proxy.Metrics.
func (i *instance) Answered(string, time.Duration, time.Duration) {}

// CallerBytes implements proxy.Metrics.
func (i *instance) CallerBytes(int) {}

// Dialled implements proxy.Metrics.
func (i *instance) Dialled(r proxy.DialReason) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dialled[r]++
}

// ConnEnded implements proxy.Metrics.
func (i *instance) AcceptFailed() { i.acceptErrors.Add(1) }

func (i *instance) IdleClosed(proxy.IdleClose) { i.idleCloses.Add(1) }

func (i *instance) ConnEnded(phase proxy.ConnPhase, end proxy.ConnEnd) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.connEnds = append(i.connEnds, fmt.Sprint(phase, " ", end))
}

func (i *instance) dials(r proxy.DialReason) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dialled[r]
}

func (i *instance) refusals(r reason.Reason) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.refused[r]
}

// firstInState returns the time at which the core first reported a backend server to be in a state, zero if it has not.
func (i *instance) firstInState(backend, state string) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.firstStates[backendState{backend, state}]
}

// firstAttemptsAt returns the number of requests whose first attempt went to a backend server.
func (i *instance) firstAttemptsAt(backend string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, a := range i.attempts {
		if a.Attempt == 1 && a.Backend == backend {
			count++
		}
	}
	return count
}

func (i *instance) lastFinish() core.Finish {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.finishes) == 0 {
		return core.Finish{}
	}
	return i.finishes[len(i.finishes)-1]
}

// startInstance starts an instance with the given configuration.
func startInstance(t testing.TB, cfg config.Text, o proxy.Options) *instance {
	t.Helper()
	listener, err := proxy.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	return startInstanceOn(t, listener, cfg, o)
}

// startInstanceOn starts an instance with the given listener and configuration.
func startInstanceOn(t testing.TB, listener net.Listener, cfg config.Text, o proxy.Options) *instance {
	t.Helper()
	i := &instance{
		stopped: make(chan struct{}),
		closed:  make(chan struct{}),
		refused: make(map[reason.Reason]int),
		dialled: make(map[proxy.DialReason]int),

		firstStates: make(map[backendState]time.Time),
		endCauses:   make(map[proxy.EndCause]int),
	}
	node := core.New(core.Settings{Name: "entry-1", Zone: "zone-1", Seed: 1, AcceptDelay: 100 * time.Millisecond})
	i.loop = daemon.NewLoop(node)
	o.Metrics = i
	i.server = proxy.New(i.loop.Post, o)
	i.address = listener.Addr().String()
	i.url = "http://" + i.address
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(func() { _ = listener.Close() })
	encoded, err := json.Marshal(cfg)
	require.NoError(t, err)
	i.loop.Post(core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "e1", Text: string(encoded)}})
	go func() { _ = i.loop.Run(ctx, i) }()
	go func() { _ = i.server.Serve(listener) }()
	return i
}

// fleetConfig returns a configuration with a model service and a plain service at the given
// addresses.
func fleetConfig(model, plain []string) config.Text {
	servers := func(kind string, addresses []string) []config.BackendServer {
		var list []config.BackendServer
		for n, a := range addresses {
			list = append(list, config.BackendServer{Name: fmt.Sprintf("%s-%d", kind, n+1), Address: a, Zone: "zone-1"})
		}
		return list
	}
	cfg := config.Text{Customers: []config.Customer{{Name: "branch-recife"}}}
	add := func(name string, kind config.Kind, list []config.BackendServer) {
		if len(list) > 0 {
			cfg.Services = append(cfg.Services, config.Service{
				Name: name, Kind: kind, BackendServers: list, MaxAttempts: 3, Capacity: 4096,
			})
		}
	}
	add("underwriting", config.Model, servers("engine", model))
	add("portal", config.Plain, servers("portal", plain))
	return cfg
}

// startEngines starts n engines whose responses have eight tokens.
func startEngines(t testing.TB, n int, interval time.Duration) ([]*engine.Server, []string) {
	t.Helper()
	var engines []*engine.Server
	var addresses []string
	for i := range n {
		e := &engine.Server{Name: fmt.Sprintf("engine-%d", i+1), Tokens: 8, Interval: interval}
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		t.Cleanup(s.CloseClientConnections)
		engines = append(engines, e)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return engines, addresses
}

type headers map[string]string

func newChat(t testing.TB, url string, stream bool, h headers) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"model":"underwriting","stream":%v,"messages":[{"role":"user","content":"review"}]}`, stream)
	return newCall(t, http.MethodPost, url+"/v1/chat/completions", body, h)
}

func newCall(t testing.TB, method, url, body string, h headers) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(proxy.HeaderCustomer, "branch-recife")
	req.Header.Set(proxy.HeaderChat, "dossier-17")
	for key, value := range h {
		req.Header.Set(key, value)
	}
	return req
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// err is the error that ended the body.
	err error
}

func send(t testing.TB, req *http.Request) reply {
	t.Helper()
	got, err := call(req)
	require.NoError(t, err)
	return got
}

// call sends a request. It returns an error only if no response was received.
func call(req *http.Request) (reply, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}, nil
}

// eventIDs returns the event numbers of the body in order.
func eventIDs(body string) []string {
	var ids []string
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
