package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
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
	"golang.org/x/sync/errgroup"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/peer"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/internal/relay"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// cutEnding is how a backend server ends a connection in the middle of a response.
type cutEnding string

const (
	// closedInOrder means that the server still accepts connections.
	closedInOrder cutEnding = "closed"
	wasReset      cutEnding = "reset"
	// serverEnded means an orderly close by the end of the server's process.
	serverEnded cutEnding = "server ended"
)

var cutEndings = []cutEnding{closedInOrder, wasReset, serverEnded}

// cutRow is a sound response that is cut.
type cutRow struct {
	name string
	// before precedes the response; its marks are filled like those of the response.
	before, response string
	// late is set if before follows an earlier response on the connection.
	late bool
	// body is the whole body that a caller may get.
	body string
	// refuses is set if the head tells that the request was not started.
	refuses bool
	// unframed is set if an orderly close ends the body.
	unframed bool
	// at is the path of the requests that get the response, "" for all.
	at string
	// firstPart is a cut response to the first attempt of a stream, which goes on with this response.
	firstPart string
}

// cutCase is a response that is cut after a number of bytes.
type cutCase struct {
	path   endlessPath
	row    cutRow
	ending cutEnding
	bytes  int
}

// cutServer is a backend server that sends the first bytes of a response.
type cutServer struct {
	*rawBackend
	c cutCase
	// other is the listener of a second server, nil if there is none.
	other net.Listener
	// reached counts the requests of callers.
	reached atomic.Int64
}

func startCutServer(t testing.TB, host string, c cutCase) *cutServer {
	s := &cutServer{c: c}
	var started sync.WaitGroup
	started.Add(1)
	start := startRawBackendAt
	if c.path.unread {
		start = startHeadReaderAt
	}
	s.rawBackend = start(t, host, func(_ int, r *http.Request, conn net.Conn) bool {
		started.Wait()
		return s.serve(r, conn)
	})
	started.Done()
	return s
}

// whole returns the response that is cut.
func (c cutCase) whole(r *http.Request) string {
	return c.path.fill(r, c.row.before+c.row.response)
}

func (s *cutServer) serve(r *http.Request, conn net.Conn) bool {
	if r.URL.Path == fakeplatform.ReportPath && s.c.row.at == "" {
		return s.c.path.respond(r, conn)
	}
	if r.URL.Path != fakeplatform.ReportPath {
		first := s.reached.Add(1) == 1
		switch {
		case s.c.row.at != "", s.c.row.late && first:
			return s.c.path.respond(r, conn)
		case s.c.row.firstPart != "" && first:
			_, _ = io.WriteString(conn, s.c.path.fill(r, s.c.row.firstPart))
			return false
		}
	}
	if s.c.ending == serverEnded {
		_ = s.listener.Close()
		if s.other != nil {
			_ = s.other.Close()
		}
	}
	text := s.c.whole(r)
	text = text[:min(len(text), s.c.bytes)]
	_, _ = io.WriteString(conn, text)
	if s.c.ending == wasReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// realRelay relays connections with the relay of an instance.
type realRelay struct {
	host   string
	server *relay.Server
	target map[string]string
}

type noRelayMetrics struct{}

// Relayed implements relay.Metrics.
func (noRelayMetrics) Relayed(paths.Result) {}

// DialContext implements proxy.RelayDialer.
func (r realRelay) DialContext(ctx context.Context, _ core.PeerAddress, address string) (net.Conn, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(r.host, "0"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = r.server.Serve(context.Background(), &peer.RelayRequest{From: "entry-1", Address: r.target[address], Timeout: time.Second, Conn: conn})
	}()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	// The reply of the relay is one frame of at most 127 bytes.
	var size [1]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return nil, err
	}
	_, err = io.ReadFull(conn, make([]byte, size[0]))
	return conn, err
}

// cutReply is what a caller got.
type cutReply struct {
	status int
	body   string
	// err ended the body, or came in place of a response.
	err error
	// unframed is set if nothing but the close marks the end of the body, and rest holds the bytes after the response.
	unframed bool
	rest     string
}

// askRaw sends a request on a connection of its own, reads all bytes up to its close, and reads the response from them.
func askRaw(req *http.Request) cutReply {
	conn, err := net.Dial("tcp", req.URL.Host)
	if err != nil {
		return cutReply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	req.Close = true
	if err := req.Write(conn); err != nil {
		return cutReply{err: err}
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		return cutReply{err: err}
	}
	in := bufio.NewReader(bytes.NewReader(text))
	resp, err := http.ReadResponse(in, req)
	if err != nil {
		return cutReply{err: err}
	}
	got := cutReply{status: resp.StatusCode, unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
	body, err := io.ReadAll(resp.Body)
	got.body, got.err = string(body), err
	if err == nil {
		rest, _ := io.ReadAll(in)
		got.rest = string(rest)
	}
	return got
}

// askClient sends a request with the standard library's client.
func askClient(req *http.Request) cutReply {
	resp, err := singleUse.Do(req)
	if err != nil {
		return cutReply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return cutReply{status: resp.StatusCode, body: string(body), err: err}
}

// start starts the instance of a case before one server, or before two if a stream goes on at the other one.
func (c cutCase) start(t testing.TB) (*instance, *cutServer) {
	n := fleets.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 3+n/62500, n/250%250, 1+n%250)
	server := startCutServer(t, host, c)
	addresses, options := []string{server.address}, c.path.options
	if c.row.firstPart != "" && !c.path.native {
		other := startRawBackendAt(t, host, func(_ int, r *http.Request, conn net.Conn) bool { return server.serve(r, conn) })
		addresses = append(addresses, other.address)
		server.other = other.listener
	}
	if c.path.relayed {
		relayed := realRelay{host, relay.NewServer(noRelayMetrics{}), make(map[string]string)}
		for n, address := range addresses {
			addresses[n] = net.JoinHostPort(host, strconv.Itoa(n+1))
			relayed.target[addresses[n]] = address
		}
		options.Relays = relayed
	}
	// Each case has an address of its own: the ports of one address do not suffice for all.
	listener, err := proxy.Listen(context.Background(), net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	i := startInstanceOn(t, listener, endlessConfig(c.path, addresses), options)
	i.process = c.path.checkedProcess()
	if c.path.relayed {
		i.relays = []core.PeerAddress{{Name: "entry-2"}}
	}
	return i, server
}

// run sends the requests of a case and returns what is wrong with its reply, "" if nothing is.
func (c cutCase) run(t testing.TB, ask func(*http.Request) cutReply) (wrong string, got cutReply) {
	scope := &caseScope{TB: t}
	defer scope.end()
	i, server := c.start(scope)
	if c.row.late {
		if first := askClient(c.path.request(t, i, 1)); first.status != http.StatusOK || first.err != nil {
			return fmt.Sprint("first request: ", first), first
		}
	}
	before := server.reached.Load()
	got = ask(c.path.request(t, i, testedNumber))
	return c.judge(got, server.reached.Load() > before), got
}

// testedNumber is the number of the request whose response is cut.
const testedNumber = 2

// testedRequest is what the marks of a response are filled from.
func testedRequest() *http.Request {
	return &http.Request{Header: http.Header{"Attempt-Id": {fmt.Sprintf("%04x", testedNumber)}}}
}

// headLength is the number of bytes up to the body.
func (c cutCase) headLength() int {
	before := c.path.fill(testedRequest(), c.row.before)
	head, _, _ := strings.Cut(c.path.fill(testedRequest(), c.row.response), headEnd)
	return len(before) + len(head) + len(headEnd)
}

const headEnd = "\r\n\r\n"

// judge returns what is wrong with a reply.
func (c cutCase) judge(got cutReply, reached bool) string {
	switch {
	case got.unframed && got.err == nil:
		return "the reply has no framing"
	case got.rest != "":
		return "bytes follow the reply"
	case got.status/100 == 2 && got.err == nil && got.body != c.row.body && !c.endsBody(got):
		return "a reply that is not whole looks whole"
	case got.status == 0 && got.err == nil:
		return "no reply"
	case promised(got.status) && reached && (!c.row.refuses || c.bytes < c.headLength()):
		return "a request that was sent is promised not to have run"
	default:
		return ""
	}
}

// endsBody reports whether the cut itself is the end of a body without a framing.
func (c cutCase) endsBody(got cutReply) bool {
	return c.row.unframed && c.ending == closedInOrder && !c.path.relayed && c.bytes >= c.headLength() && strings.HasPrefix(c.row.body, got.body)
}

// maxCutCases limits the cases at the same time.
const maxCutCases = 8

// cutStep is prime, so that all endings and readers take their turns.
var cutStep = flag.Int("cut-step", 31, "distance of the cases of TestResponseCutAtAnyByteIsNotWhole, 1 for all")

// cutReaders read the replies of the cases in turn.
var cutReaders = []func(*http.Request) cutReply{askRaw, askClient}

// requireNotWhole cuts each response after each number of bytes in each way.
func requireNotWhole(t *testing.T, p endlessPath, rows []cutRow) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var mu sync.Mutex
			var faults []string
			var group errgroup.Group
			group.SetLimit(maxCutCases)
			total := len(cutCase{path: p, row: row}.whole(testedRequest()))
			for n := 0; n < (total+1)*len(cutEndings); n += *cutStep {
				c := cutCase{p, row, cutEndings[n%len(cutEndings)], n / len(cutEndings)}
				if c.ending == serverEnded && !row.unframed {
					continue // Like closedInOrder: a body with a framing does not end with its connection.
				}
				group.Go(func() error {
					wrong, got := c.run(t, cutReaders[n%len(cutReaders)])
					mu.Lock()
					defer mu.Unlock()
					if wrong != "" {
						faults = append(faults, fmt.Sprintf("%s after %d of %d bytes (head %d): %s: %+v", c.ending, c.bytes, total, c.headLength(), wrong, got))
					}
					return nil
				})
			}
			require.NoError(t, group.Wait())
			require.Empty(t, faults[:min(5, len(faults))], "%d in all", len(faults))
		})
	}
}

// cutBody is the body of each response that is no stream.
const cutBody = "a body that needs two digits for its length"

// plainCutRows are responses that are no streams.
func plainCutRows() []cutRow {
	length := fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", statusOK, plainFields, len(cutBody), cutBody)
	chunked := statusOK + chunkedText + chunk(cutBody[:20]) + chunk(cutBody[20:]) + lastChunk
	const refused = "HTTP/1.1 503 Service Unavailable\r\n" + refusalMark
	return []cutRow{
		{name: "length", response: length, body: cutBody},
		{name: "chunks", response: chunked, body: cutBody},
		{name: "close", response: statusOK + plainFields + "Connection: close\r\n\r\n" + cutBody, body: cutBody, unframed: true},
		{name: "no content", response: "HTTP/1.1 204 No Content\r\n" + fieldsMark + "\r\n"},
		{name: "early hints, length", before: earlyHints, response: length, body: cutBody},
		{name: "early hints, close", before: earlyHints, response: statusOK + plainFields + "Connection: close\r\n\r\n" + cutBody, body: cutBody, unframed: true},
		{name: "two heads of 100, chunks", before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n", response: chunked, body: cutBody},
		{name: "refusal", response: refused + "Retry-After: 1\r\nContent-Length: 4\r\n\r\nbusy", refuses: true},
		{name: "early hints, refusal", before: earlyHints, response: refused + "Content-Length: 0\r\n\r\n", refuses: true},
		{name: "failure", response: "HTTP/1.1 500 Internal Server Error\r\n" + plainFields + "Content-Length: 4\r\n\r\nfail"},
	}
}

const earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

// streamCutRows are responses that are streams.
func streamCutRows() []cutRow {
	events := strings.SplitAfter(soundEvents, "\n\n")
	chunked := statusOK + eventFields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events[0]) + chunk(events[1]+events[2]) + chunk(events[3]) + lastChunk
	return []cutRow{
		{name: "chunks", response: chunked, body: soundEvents},
		{name: "length", response: fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", statusOK, eventFields, len(soundEvents), soundEvents), body: soundEvents},
		{name: "close", response: statusOK + eventFields + "Connection: close\r\n\r\n" + soundEvents, body: soundEvents, unframed: true},
		{name: "early hints, chunks", before: earlyHints, response: chunked, body: soundEvents},
	}
}

// resumedCutRows are the rests of streams whose first server has ended after its first event.
func resumedCutRows() []cutRow {
	rest := strings.SplitAfter(strings.TrimPrefix(soundEvents, firstEvent), "\n\n")
	first := statusOK + eventFields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent)
	chunked := statusOK + eventFields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(rest[0]) + chunk(rest[1]) + chunk(rest[2]) + lastChunk
	return []cutRow{
		{name: "rest in chunks", firstPart: first, response: chunked, body: soundEvents},
		{name: "rest ended by the close", firstPart: first, response: statusOK + eventFields + "Connection: close\r\n\r\n" + strings.Join(rest, ""), body: soundEvents, unframed: true},
		{name: "early hints, rest in chunks", firstPart: first, before: earlyHints, response: chunked, body: soundEvents},
	}
}

// lateCutRows are responses behind late copies of others.
func lateCutRows() []cutRow {
	rows := plainCutRows()
	var late []cutRow
	for name, before := range map[string]string{"refusal": refusalOf("other"), "answer": answerOf("other"), "chunks": chunkedAnswerOf("other")} {
		for _, row := range []cutRow{rows[0], rows[1], rows[2], rows[7]} {
			row.name, row.before, row.late = "late "+name+", "+row.name, before, true
			late = append(late, row)
		}
	}
	return late
}

// reportCutRows are answers to the process check, before a sound answer.
func reportCutRows(started uint64) []cutRow {
	text := fmt.Sprintf(`{"phase":"prefill_decode","busy":false,"born":%d}`, started)
	head := statusOK + "Content-Type: application/json\r\n"
	rows := []cutRow{
		{name: "length", response: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)},
		{name: "chunks", response: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text[:20]) + chunk(text[20:]) + lastChunk},
		{name: "close", response: head + "Connection: close\r\n\r\n" + text},
		{name: "early hints", before: earlyHints, response: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)},
	}
	for n := range rows {
		rows[n].at, rows[n].body = fakeplatform.ReportPath, soundBody
	}
	return rows
}

// Guards against a response that its server cuts off at any byte and that a caller takes for whole, or for a refusal.
func TestResponseCutAtAnyByteIsNotWhole(t *testing.T) {
	t.Parallel()
	checked := routePath("checked", "once")
	checked.incarnation = uint64(time.Now().UnixMilli())
	engine := nativePath("native chat stream that its engine resumes", true, chatCall(true))
	engine.fields = resumableFields
	for _, c := range []struct {
		path endlessPath
		rows []cutRow
	}{
		{routePath("once", "once"), plainCutRows()},
		{routePath("once, late copies", "once"), lateCutRows()},
		{routePathOf("once, body not read", "once", strings.Repeat("x", longBody)), []cutRow{plainCutRows()[0], plainCutRows()[7]}},
		{routePath("idempotent", "idempotent"), []cutRow{plainCutRows()[0], plainCutRows()[7]}},
		{routePath("once, relayed", "once").overRelay(), plainCutRows()},
		{routePath("stream", "stream"), streamCutRows()},
		{routePath("stream, relayed", "stream").overRelay(), streamCutRows()},
		{routePath("resumable stream", "resumable"), append(streamCutRows(), resumedCutRows()...)},
		{routePath("resumable stream, relayed", "resumable").overRelay(), resumedCutRows()},
		{nativePath("native plain", false, plainCall), plainCutRows()[:2]},
		{nativePath("native chat stream", true, chatCall(true)), streamCutRows()},
		{engine, []cutRow{streamCutRows()[0], resumedCutRows()[0]}},
		{checked, reportCutRows(checked.incarnation)},
	} {
		t.Run(c.path.name, func(t *testing.T) { requireNotWhole(t, c.path, c.rows) })
	}
}
