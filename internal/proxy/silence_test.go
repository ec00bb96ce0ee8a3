package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

const (
	// silence is how long a server sends nothing. It exceeds every timeout of the attempts in these tests.
	silence = 1400 * time.Millisecond
	// shortInactivity replaces the default of the setting, which is longer than a test should take.
	shortInactivity = 500 * time.Millisecond
	// nativeDeadline and routeTimeout end a request whose answer never comes.
	nativeDeadline = "6000"
	routeTimeout   = 6 * time.Second
	routeHost      = "desk.example"
	headerRun      = "Run"
)

// routeDialect resolves requests by routes. Its streams have numbered events and no end mark.
type routeDialect struct{ proxy.Native }

func (routeDialect) ReadRequest(ctx *fasthttp.RequestCtx, id core.RequestID, _ time.Time) (*proxy.Request, *proxy.Rejection) {
	target := string(ctx.Request.Header.RequestURI())
	return &proxy.Request{Target: target, Arrived: core.RequestArrived{Request: id, Host: routeHost, Path: target}}, nil
}

func (d routeDialect) WriteAttempt(to, from *fasthttp.Request, e *core.SendAttempt, left time.Duration) {
	d.Native.WriteAttempt(to, from, e, left)
	if e.ResumeAfter != "" {
		to.Header.Set(proxy.HeaderLastEventID, e.ResumeAfter)
	}
}

func (d routeDialect) ReadHead(h *fasthttp.ResponseHeader, r *proxy.Request, e *core.SendAttempt, now time.Time) proxy.Head {
	head := d.Native.ReadHead(h, r, e, now)
	head.Events = string(h.ContentType()) == "text/event-stream"
	head.BufferBody = !head.Events
	head.EndMarked = false
	return head
}

// silenceRoutes are one route of each kind.
func silenceRoutes() []config.Route {
	route := func(name, service string, kind config.RouteKind, resumable bool) config.Route {
		return config.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, Anonymous: true,
			Split:   []config.Share{{Service: service, Weight: 1}},
			Timeout: config.Duration(routeTimeout), Goal: config.Duration(100 * time.Millisecond),
			PauseGoal: config.Duration(100 * time.Millisecond),
		}
	}
	routes := []config.Route{
		route("resumable", "underwriting", config.Stream, true),
		route("stream", "underwriting", config.Stream, false),
		route("idempotent", "portal", config.Idempotent, false),
		route("once", "portal", config.NonIdempotent, false),
	}
	for i := range routes {
		if routes[i].Kind == config.Idempotent || routes[i].Resumable {
			routes[i].MaxRuns = 2
		}
	}
	return routes
}

// script is a response in pieces. The server falls silent before one of them.
type script struct {
	phase  string
	pieces []string
	pause  int
	body   string
}

// after returns the response without the events up to the given one.
func (s script) after(event string) string {
	text := strings.Join(s.pieces, "")
	head, events, _ := strings.Cut(text, "\r\n\r\n")
	if event != "" && event != "0" {
		_, events, _ = strings.Cut(events, "id: "+event+"\n")
		_, events, _ = strings.Cut(events, "\n\n\r\n")
	}
	return head + "\r\n\r\n" + events
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// streamScripts returns the phases of a stream in which its server can fall silent.
func streamScripts() []script {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda", "ta: c\n\n", "id: 4\ndata: [DONE]\n\n"}
	pieces := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
		"Engine-Stream-Id: s1\r\nEngine-Incarnation: 1\r\nRun: %RUN\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for _, e := range events {
		pieces = append(pieces, chunk(e))
	}
	pieces = append(pieces, lastChunk)
	body := strings.Join(events, "")
	return []script{
		{"before the head", pieces, 0, body},
		{"inside the head", pieces, 1, body},
		{"before the first event", pieces, 2, body},
		{"between events", pieces, 3, body},
		{"inside an event", pieces, 5, body},
		{"before the last chunk", pieces, 7, body},
	}
}

// plainScripts returns the phases of a response without events in which its server can fall silent.
func plainScripts() []script {
	const half = "half of the answer "
	long := strings.Repeat("long answer ", 10_000)
	const start = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	sized := func(body string) []string {
		cut := len(body) / 2
		return []string{start, fmt.Sprintf("Run: %%RUN\r\nContent-Length: %d\r\n\r\n", len(body)), body[:cut], body[cut:]}
	}
	chunked := []string{start, "Run: %RUN\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(half), chunk(half), lastChunk}
	return []script{
		{"before the head", sized(half), 0, half},
		{"inside the head", sized(half), 1, half},
		{"before a body with a length", sized(half), 2, half},
		{"inside a body with a length", sized(half), 3, half},
		{"inside a long body with a length", sized(long), 3, long},
		{"before a chunked body", chunked, 2, half + half},
		{"inside a chunked body", chunked, 3, half + half},
		{"before the last chunk", chunked, 4, half + half},
	}
}

// otherServer is what meets the attempts that follow the one whose server falls silent.
type otherServer string

const (
	noOther         otherServer = "no other server"
	otherRefusesAll otherServer = "the other refuses connections"
	otherRefuses    otherServer = "the other does not start the request"
	otherEnds       otherServer = "the other resets the connection"
	otherSilent     otherServer = "the other is silent too"
	otherAnswers    otherServer = "the other answers"
	budgetSpent     otherServer = "the retry budget is spent"
)

var otherServers = []otherServer{noOther, otherRefusesAll, otherRefuses, otherEnds, otherSilent, otherAnswers, budgetSpent}

// silentFleet is the backend servers of one request. The server of the first attempt falls silent once.
type silentFleet struct {
	// host is an address of the loopback interface that no other fleet has, so that a closed port of one is not
	// opened by another.
	host     string
	script   script
	other    otherServer
	servers  []*rawBackend
	attempts atomic.Int64
	started  sync.Mutex
	// retryBurst replaces the default of the retry budget, unless it is 0.
	retryBurst float64
	// dialTimeout limits the time to open a connection, 0 for the default.
	dialTimeout time.Duration
}

// spendQuery marks a request that is only to spend the retry budget.
const spendQuery = "?spend"

// fleets counts the fleets.
var fleets atomic.Int64

func startSilentFleet(t *testing.T, s script, other otherServer) *silentFleet {
	t.Helper()
	n := fleets.Add(1)
	f := &silentFleet{host: fmt.Sprintf("127.1.%d.%d", n/250, 1+n%250), script: s, other: other}
	f.started.Lock()
	defer f.started.Unlock()
	count := 2
	if other == noOther {
		count = 1
	}
	for n := range count {
		f.servers = append(f.servers, startRawBackendAt(t, f.host, func(_ int, r *http.Request, conn net.Conn) bool {
			return f.serve(n, r, conn)
		}))
	}
	return f
}

func (f *silentFleet) addresses() []string {
	var list []string
	for _, s := range f.servers {
		list = append(list, s.address)
	}
	return list
}

// serve serves a request at the nth server.
func (f *silentFleet) serve(n int, r *http.Request, conn net.Conn) bool {
	f.started.Lock()
	servers := f.servers
	f.started.Unlock()
	if strings.HasSuffix(r.RequestURI, spendQuery) {
		respondNotStarted(conn)
		return true
	}
	if run := f.attempts.Add(1); run > 1 {
		return f.serveOther(r, conn)
	}
	if f.other == otherRefusesAll {
		_ = servers[1-n].listener.Close()
	}
	for i, piece := range f.script.pieces {
		if i == f.script.pause {
			time.Sleep(silence)
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(piece, "%RUN", "1")); err != nil {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

// serveOther serves an attempt after the first.
func (f *silentFleet) serveOther(r *http.Request, conn net.Conn) bool {
	switch f.other {
	case otherAnswers:
		_, err := io.WriteString(conn, strings.ReplaceAll(f.script.after(r.Header.Get(proxy.HeaderLastEventID)), "%RUN", "2"))
		return err == nil
	case otherRefuses:
		respondNotStarted(conn)
		return true
	case otherEnds:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	default:
		_, _ = io.Copy(io.Discard, conn) // It sends nothing until its caller gives up.
		return false
	}
}

func respondNotStarted(conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: true\r\nContent-Length: 0\r\n\r\n", proxy.HeaderNotStarted)
}

// silentPath is one way on which a response reaches a caller.
type silentPath struct {
	name    string
	stream  bool
	options proxy.Options
	relayed bool
	// once is set if the request must not run again.
	once    bool
	request func(t *testing.T, url, path string) *http.Request
}

func routeRequest(route string) func(*testing.T, string, string) *http.Request {
	return func(t *testing.T, url, path string) *http.Request {
		return newCall(t, http.MethodGet, url+"/"+route+path, "", nil)
	}
}

func silentPaths() []silentPath {
	onRoute := proxy.Options{Dialect: routeDialect{}}
	native := proxy.Options{Inactivity: shortInactivity}
	return []silentPath{
		{name: "resumable stream", stream: true, options: onRoute, request: routeRequest("resumable")},
		{name: "stream", stream: true, options: onRoute, once: true, request: routeRequest("stream")},
		{name: "idempotent", options: onRoute, request: routeRequest("idempotent")},
		{name: "non-idempotent", options: onRoute, once: true, request: routeRequest("once")},
		{name: "relayed resumable stream", stream: true, relayed: true, options: onRoute, request: routeRequest("resumable")},
		{name: "relayed idempotent", relayed: true, options: onRoute, request: routeRequest("idempotent")},
		{name: "native stream", stream: true, options: native, request: func(t *testing.T, url, path string) *http.Request {
			_, query, _ := strings.Cut(path, "?")
			req := newChat(t, url, true, headers{proxy.HeaderDeadline: nativeDeadline})
			req.URL.RawQuery = query
			return req
		}},
		{name: "native plain", options: native, request: func(t *testing.T, url, path string) *http.Request {
			return newCall(t, http.MethodGet, url+"/services/portal"+path, "", headers{proxy.HeaderDeadline: nativeDeadline})
		}},
	}
}

// start starts an instance before the fleet, whose retry budget is spent if the fleet asks for it.
func (p silentPath) start(t *testing.T, f *silentFleet) *instance {
	t.Helper()
	addresses, options := f.addresses(), p.options
	options.DialTimeout = f.dialTimeout
	if p.relayed {
		relay := mapRelay{}
		for n, address := range addresses {
			addresses[n] = net.JoinHostPort(f.host, strconv.Itoa(n+1))
			relay[addresses[n]] = address
		}
		options.Relays = relay
	}
	cfg := fleetConfig(addresses, nil)
	if !p.stream {
		cfg = fleetConfig(nil, addresses)
	}
	for _, r := range silenceRoutes() {
		if r.Split[0].Service == cfg.Services[0].Name {
			cfg.Routes = append(cfg.Routes, r)
		}
	}
	cfg.Services[0].RetryBurst = f.retryBurst
	if f.other == budgetSpent {
		cfg.Services[0].RetryBurst, cfg.Services[0].RetryShare = 0.001, 0.001
	}
	i := startInstance(t, cfg, options)
	if p.relayed {
		i.relays = []core.PeerAddress{{Name: "entry-2"}}
	}
	if f.other == budgetSpent {
		send(t, p.request(t, i.url, "/x"+spendQuery))
	}
	return i
}

// mapRelay relays connections to other addresses.
type mapRelay map[string]string

// DialContext implements proxy.RelayDialer.
func (r mapRelay) DialContext(ctx context.Context, peer core.PeerAddress, address string) (net.Conn, error) {
	return fixedRelay{r[address]}.DialContext(ctx, peer, address)
}

// Guards against ending an answer whose server is silent for a while and lives, before another server has delivered.
func TestSilenceEndsNoAnswer(t *testing.T) {
	for _, p := range silentPaths() {
		scripts := plainScripts()
		if p.stream {
			scripts = streamScripts()
		}
		for _, other := range otherServers {
			t.Run(fmt.Sprintf("%s, %s", p.name, other), func(t *testing.T) {
				t.Parallel()
				requireWholeAnswers(t, p, other, scripts)
			})
		}
	}
}

// requireWholeAnswers sends a request for each script at the same time, to an instance of its own, and checks that
// each is answered whole, by its first attempt unless the other server answers.
func requireWholeAnswers(t *testing.T, p silentPath, other otherServer, scripts []script) {
	t.Helper()
	tried, replies, errs := make([]*silentFleet, len(scripts)), make([]reply, len(scripts)), make([]error, len(scripts))
	var group sync.WaitGroup
	for n, s := range scripts {
		tried[n] = startSilentFleet(t, s, other)
		req := p.request(t, p.start(t, tried[n]).url, "/x")
		group.Go(func() { replies[n], errs[n] = call(req) })
	}
	group.Wait()
	for n, s := range scripts {
		t.Run(s.phase, func(t *testing.T) {
			got := replies[n]
			require.NoError(t, errs[n])
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.NoError(t, got.err, "after %d of %d bytes", len(got.body), len(s.body))
			require.Equal(t, s.body, got.body)
			if other != otherAnswers {
				require.Equal(t, "1", got.header.Get(headerRun))
			}
			if p.once {
				require.EqualValues(t, 1, tried[n].attempts.Load(), "runs")
			}
		})
	}
}
