package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

const (
	// keepAlive is a comment that a server sends while it has no event.
	keepAlive = ": keep-alive\n\n"
	// slowPieces is the number of pieces of a response that takes seconds, and slowInterval the time between two of them.
	slowPieces   = 25
	slowInterval = 100 * time.Millisecond
)

// slowScript is a sound response in pieces.
type slowScript struct {
	phase  string
	pieces []string
	// interval is the time between two pieces.
	interval time.Duration
	body     string
}

// after returns the response without the events up to the given one.
func (s slowScript) after(event string) string {
	return script{pieces: s.pieces}.after(event)
}

// cutText returns the script of a response that has a mark where its server pauses.
func cutText(phase, text, body string) slowScript {
	before, after, _ := strings.Cut(text, pauseMark)
	return slowScript{phase: phase, pieces: []string{before, after}, interval: silence, body: body}
}

// pauseMark is where the server pauses.
const pauseMark = "|"

// pausedHeads returns heads of a response in which their server pauses.
func pausedHeads(fields string) map[string]string {
	rest := fields + "Run: %RUN\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]string{
		"inside the version":        "HTT|P/1.1 200 OK\r\n" + rest,
		"inside the status":         "HTTP/1.1 2|00 OK\r\n" + rest,
		"inside the reason":         "HTTP/1.1 200 O|K\r\n" + rest,
		"inside a field's name":     "HTTP/1.1 200 OK\r\nX-Fi|eld: a\r\n" + rest,
		"inside a field's value":    "HTTP/1.1 200 OK\r\nX-Field: a|b\r\n" + rest,
		"inside a field's line end": "HTTP/1.1 200 OK\r\nX-Field: ab\r|\n" + rest,
		"inside the head's end":     "HTTP/1.1 200 OK\r\n" + strings.TrimSuffix(rest, "\n") + "|\n",
		"inside a 1xx head":         "HTTP/1.1 103 Early Hints\r\nLink: <a|b>\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"after a 1xx head":          "HTTP/1.1 102 Processing\r\n\r\n|HTTP/1.1 200 OK\r\n" + rest,
	}
}

// pausedChunks returns chunks of a body, of the given content before and after, in whose framing their server pauses.
func pausedChunks(before, after string) map[string]string {
	size := fmt.Sprintf("%x", len(after))
	data := "\r\n" + after + "\r\n"
	return map[string]string{
		"before a chunk's size":           chunk(before) + "|" + size + data + lastChunk,
		"inside a chunk's size":           chunk(before) + "0|" + size + data + lastChunk,
		"inside a chunk's extension":      chunk(before) + size + ";a=b|c" + data + lastChunk,
		"inside a chunk's size line end":  chunk(before) + size + "\r|\n" + after + "\r\n" + lastChunk,
		"inside a chunk":                  chunk(before) + size + "\r\n" + after[:3] + "|" + after[3:] + "\r\n" + lastChunk,
		"inside a chunk's end":            chunk(before) + size + "\r\n" + after + "\r|\n" + lastChunk,
		"inside the last chunk":           chunk(before) + size + data + "0|\r\n\r\n",
		"before the end of the last":      chunk(before) + size + data + "0\r\n|\r\n",
		"inside the end of the last":      chunk(before) + size + data + "0\r\n\r|\n",
		"inside a trailer":                chunk(before) + size + data + "0\r\nX-Sum: a|b\r\n\r\n",
		"between trailers":                chunk(before) + size + data + "0\r\nX-Sum: a\r\n|X-More: b\r\n\r\n",
		"inside an extension of the last": chunk(before) + size + data + "0;a=|b\r\n\r\n",
	}
}

// pausedEvents returns streams in which their server pauses, in chunks of one event or less.
func pausedEvents() map[string]string {
	const first, last = "id: 1\ndata: a\n\n", "id: 3\ndata: [DONE]\n\n"
	stream := func(second string) string {
		before, after, _ := strings.Cut(second, pauseMark)
		return chunk(first) + chunk(before) + pauseMark + chunk(after) + chunk(last) + lastChunk
	}
	return map[string]string{
		"inside an event's number":    stream("id: |2\ndata: b\n\n"),
		"between an event's lines":    stream("id: 2\n|data: b\n\n"),
		"inside an event's name":      stream("id: 2\nda|ta: b\n\n"),
		"inside an event's data":      stream("id: 2\ndata: |b\n\n"),
		"before an event's end":       stream("id: 2\ndata: b\n|\n"),
		"inside a comment":            stream(": keep|-alive\n\nid: 2\ndata: b\n\n"),
		"after a comment":             stream(keepAlive + "|id: 2\ndata: b\n\n"),
		"after a comment without end": stream(": keep-alive\n|id: 2\ndata: b\n\n"),
	}
}

const (
	pausedBody   = "before the pause and after it"
	pausedStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: [DONE]\n\n"
)

// sortedScripts returns scripts with the given head before, and the given rest after, each text.
func sortedScripts(before string, texts map[string]string, after, body string) []slowScript {
	var scripts []slowScript
	for phase, text := range texts {
		scripts = append(scripts, cutText(phase, before+text+after, body))
	}
	slices.SortFunc(scripts, func(a, b slowScript) int { return strings.Compare(a.phase, b.phase) })
	return scripts
}

// slowPlainScripts are sound responses that come in pieces.
func slowPlainScripts() []slowScript {
	const fields = "Content-Type: text/plain\r\n"
	const start = "HTTP/1.1 200 OK\r\n" + fields + "Run: %RUN\r\n"
	const chunked = start + "Transfer-Encoding: chunked\r\n\r\n"
	scripts := sortedScripts("", pausedHeads(fields), chunk(pausedBody)+lastChunk, pausedBody)
	scripts = append(scripts, sortedScripts(chunked, pausedChunks(pausedBody[:9], pausedBody[9:]), "", pausedBody)...)
	for _, size := range []int{2000, 20_000} {
		piece := strings.Repeat("slow", size/4)
		body := strings.Repeat(piece, slowPieces)
		sized := append([]string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, len(body))}, slices.Repeat([]string{piece}, slowPieces)...)
		chunks := append(append([]string{chunked}, slices.Repeat([]string{chunk(piece)}, slowPieces)...), lastChunk)
		scripts = append(scripts,
			slowScript{fmt.Sprintf("slow body with a length of %d", len(body)), sized, slowInterval, body},
			slowScript{fmt.Sprintf("slow body of %d in chunks", len(body)), chunks, slowInterval, body},
		)
	}
	return scripts
}

// slowStreamScripts are sound streams that come in pieces.
func slowStreamScripts() []slowScript {
	const fields = "Content-Type: text/event-stream\r\nEngine-Stream-Id: s1\r\nEngine-Incarnation: 1\r\n"
	const head = "HTTP/1.1 200 OK\r\n" + fields + "Run: %RUN\r\nTransfer-Encoding: chunked\r\n\r\n"
	first, rest, _ := strings.Cut(pausedStream, "id: 2")
	rest = "id: 2" + rest
	scripts := sortedScripts("", pausedHeads(fields), chunk(first)+chunk(rest)+lastChunk, pausedStream)
	scripts = append(scripts, sortedScripts(head, pausedChunks(first, rest), "", pausedStream)...)
	scripts = append(scripts, sortedScripts(head, pausedEvents(), "", pausedStream)...)
	comments := slices.Repeat([]string{chunk(keepAlive)}, slowPieces)
	before := append(append([]string{head}, comments...), chunk(first), chunk(rest), lastChunk)
	between := append(append([]string{head, chunk(first)}, comments...), chunk(rest), lastChunk)
	return append(scripts,
		slowScript{"comments only before the first event", before, slowInterval, pausedStream},
		slowScript{"comments only between events", between, slowInterval, pausedStream},
	)
}

// Guards against taking a sound server for one that gives no answer, because its answer comes in pieces with pauses
// anywhere, slowly, or behind comments.
func TestSlowAnswerIsWhole(t *testing.T) {
	for _, p := range silentPaths() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			scripts := slowPlainScripts()
			if p.stream {
				scripts = slowStreamScripts()
			}
			requireSlowAnswers(t, p, scripts)
		})
	}
}

// slowFleet is the backend servers of one request for each script. The first attempt of each gets the script.
type slowFleet struct {
	scripts  []slowScript
	other    otherServer
	attempts []atomic.Int64
}

// scriptParam is the parameter of a target that selects the script.
const scriptParam = "script"

// serve serves an attempt at any server.
func (f *slowFleet) serve(_ int, r *http.Request, conn net.Conn) bool {
	if strings.HasSuffix(r.RequestURI, spendQuery) {
		respondNotStarted(conn)
		return true
	}
	n, err := strconv.Atoi(r.URL.Query().Get(scriptParam))
	if err != nil || n >= len(f.scripts) {
		return false
	}
	s := f.scripts[n]
	if f.attempts[n].Add(1) > 1 {
		return f.serveOther(s, r, conn)
	}
	for i, piece := range s.pieces {
		if i > 0 {
			time.Sleep(s.interval)
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(piece, "%RUN", "1")); err != nil {
			return false
		}
	}
	return true
}

// serveOther serves an attempt after the first.
func (f *slowFleet) serveOther(s slowScript, r *http.Request, conn net.Conn) bool {
	if f.other != otherAnswers {
		_, _ = io.Copy(io.Discard, conn) // It sends nothing until its caller gives up.
		return false
	}
	_, err := io.WriteString(conn, strings.ReplaceAll(s.after(r.Header.Get(proxy.HeaderLastEventID)), "%RUN", "2"))
	return err == nil
}

// start starts an instance before the servers.
func (f *slowFleet) start(t *testing.T, p silentPath) *instance {
	t.Helper()
	n := fleets.Add(1)
	servers := &silentFleet{host: fmt.Sprintf("127.3.%d.%d", n/250, 1+n%250), other: f.other, dialTimeout: slowDialTimeout}
	servers.servers = append(servers.servers, startRawBackendAt(t, servers.host, f.serve))
	if f.other != noOther {
		servers.servers = append(servers.servers, startRawBackendAt(t, servers.host, f.serve))
	}
	if f.other == otherRefusesAll {
		require.NoError(t, servers.servers[1].listener.Close())
		// Many of the requests, all at the same time, meet it first.
		servers.retryBurst = 1000
	}
	return p.start(t, servers)
}

// slowDialTimeout is so long that a machine busy with all scripts at once opens each connection. What is tested comes after that.
const slowDialTimeout = 5 * time.Second

// requireSlowAnswers sends a request for each script beside each other server, all at the same time, and checks that each is
// answered whole, by its first attempt unless the other server answers.
func requireSlowAnswers(t *testing.T, p silentPath, scripts []slowScript) {
	t.Helper()
	type answer struct {
		fleet *slowFleet
		n     int
		reply reply
		err   error
	}
	var answers []*answer
	var group sync.WaitGroup
	for _, other := range []otherServer{noOther, otherRefusesAll, otherSilent, otherAnswers, budgetSpent} {
		f := &slowFleet{scripts: scripts, other: other, attempts: make([]atomic.Int64, len(scripts))}
		i := f.start(t, p)
		for n := range scripts {
			a := &answer{fleet: f, n: n}
			answers = append(answers, a)
			req := p.request(t, i.url, fmt.Sprintf("/x?%s=%d", scriptParam, n))
			group.Go(func() { a.reply, a.err = call(req) })
		}
	}
	group.Wait()
	for _, a := range answers {
		t.Run(fmt.Sprintf("%s, %s", scripts[a.n].phase, a.fleet.other), func(t *testing.T) {
			require.NoError(t, a.err)
			a.fleet.check(t, p, a.n, a.reply)
		})
	}
}

// check checks the reply to the request for the nth script.
func (f *slowFleet) check(t *testing.T, p silentPath, n int, got reply) {
	t.Helper()
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.NoError(t, got.err, "after %d of %d bytes", len(got.body), len(f.scripts[n].body))
	require.Equal(t, f.scripts[n].body, withoutComments(got.body))
	if f.other != otherAnswers {
		require.Equal(t, "1", got.header.Get(headerRun))
	}
	if p.once {
		require.EqualValues(t, 1, f.attempts[n].Load(), "runs")
	}
}

// withoutComments removes the comments of a stream, of which a caller may get any number.
func withoutComments(body string) string {
	return strings.ReplaceAll(strings.ReplaceAll(body, keepAlive, ""), ": keep-alive\n", "")
}

// Guards against taking a body for one without end, because it is marked by the close of its connection and comes with a pause.
func TestSlowAnswerEndedByCloseIsWhole(t *testing.T) {
	for name, c := range map[string]struct{ contentType, before, after string }{
		"body":            {"text/plain", "before the pause ", "and after it"},
		"before the body": {"text/plain", "", "after the pause"},
		"stream":          {"text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"},
		"before the end":  {"text/event-stream", "id: 1\ndata: a\n\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", c.contentType, c.before)
				time.Sleep(silence)
				_, _ = io.WriteString(conn, c.after)
				return false
			})
			i := startInstance(t, fleetConfig(nil, []string{b.address}), proxy.Options{Dialect: closeFramedDialect{}})
			got := send(t, newCall(t, http.MethodGet, i.url+"/services/portal/x", "", headers{proxy.HeaderDeadline: nativeDeadline}))
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.NoError(t, got.err)
			require.Equal(t, c.before+c.after, got.body)
		})
	}
}
