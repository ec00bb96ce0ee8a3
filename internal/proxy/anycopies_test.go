package proxy_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	copyServers  = 3
	copyCallers  = 8
	copyRequests = 6
	// copyRounds are the instances of a case. After the first copy a server's connections are not kept for a while, so copies meet
	// kept connections only at the start of each.
	copyRounds = 6
	// copyEvents are the events of a stream.
	copyEvents = 4
)

// sentResponse is a response as it was sent on a connection.
type sentResponse struct{ id, text, body string }

// copyRecord is what has become of a request at the servers.
type copyRecord struct {
	arrivals, runs int
	// answers are the statuses and bodies of its runs.
	answers []string
}

// copyServerSet are servers that send any of their earlier responses on a connection again, at any time.
type copyServerSet struct {
	// respond returns the own response to a request, and whether the request has run.
	respond func(random *rand.Rand, r *http.Request) (own sentResponse, ran bool)
	// anyConn lets a server send a response again on another connection than its own.
	anyConn bool
	// quiet is set while the servers send nothing again.
	quiet atomic.Bool

	mu       sync.Mutex
	random   *rand.Rand
	requests map[string]*copyRecord
	history  map[net.Conn][]sentResponse
	all      []sentResponse
	copies   int
}

// write sends a text in pieces, so that a head may arrive in several reads.
func (s *copyServerSet) write(conn net.Conn, text string, split int) error {
	for split > 0 && len(text) > 2 {
		at := 1 + len(text)/3
		if _, err := io.WriteString(conn, text[:at]); err != nil {
			return err
		}
		time.Sleep(200 * time.Microsecond)
		text, split = text[at:], split-1
	}
	_, err := io.WriteString(conn, text)
	return err
}

// earlier returns copies of up to n earlier responses, on another connection than their own only those to requests with other IDs.
func (s *copyServerSet) earlier(conn net.Conn, id string, n int) string {
	from := s.history[conn]
	if s.anyConn {
		from = slices.DeleteFunc(slices.Clone(s.all[max(0, len(s.all)-20):]), func(r sentResponse) bool { return r.id == id })
	}
	var text strings.Builder
	for range n {
		if len(from) > 0 {
			s.copies++
			text.WriteString(from[max(0, len(from)-1-s.random.IntN(4))].text)
		}
	}
	return text.String()
}

// plan returns what is sent before and after the own response, and how long after it.
func (s *copyServerSet) plan(r *http.Request, conn net.Conn) (before, own, after string, delay time.Duration, split int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fakeplatform.ReadAttempt(r).ID
	record := s.requests[id]
	if record == nil {
		record = &copyRecord{}
		s.requests[id] = record
	}
	record.arrivals++
	quiet := s.quiet.Load()
	if !quiet && s.random.IntN(4) > 0 {
		before = s.earlier(conn, id, 1+s.random.IntN(3))
	}
	response, ran := s.respond(s.random, r)
	response.id = id
	if ran {
		record.runs++
		record.answers = append(record.answers, response.body)
	}
	s.history[conn] = append(s.history[conn], response)
	s.all = append(s.all, response)
	if !quiet && s.random.IntN(4) == 0 {
		after, delay = s.earlier(conn, id, 1), time.Duration(s.random.IntN(4))*300*time.Microsecond
	}
	return before, response.text, after, delay, s.random.IntN(3)
}

func (s *copyServerSet) serve(_ int, r *http.Request, conn net.Conn) bool {
	before, own, after, delay, split := s.plan(r, conn)
	if delay == 0 {
		return s.write(conn, before+own+after, split) == nil
	}
	if s.write(conn, before+own, split) != nil {
		return false
	}
	time.Sleep(delay)
	return s.write(conn, after, 0) == nil
}

// startCopyServers starts an instance before servers that send responses again.
func startCopyServers(t *testing.T, route string, s *copyServerSet) (*instance, endlessPath) {
	s.requests, s.history = make(map[string]*copyRecord), make(map[net.Conn][]sentResponse)
	var addresses []string
	for range copyServers {
		addresses = append(addresses, startRawBackend(t, s.serve).address)
	}
	path := routePath(route, route)
	cfg := endlessConfig(path, addresses)
	cfg.Services[0].RetryBurst, cfg.Services[0].RetryShare = 10000, 1
	return startInstance(t, cfg, path.options), path
}

// headOf returns the head of a success of the request.
func headOf(r *http.Request, status, fields string) string {
	return "HTTP/1.1 " + status + "\r\n" + sealedFields(r) + fields + "\r\n"
}

// plainResponse returns a response of a plain server: a refusal, a success of each framing, or a failure.
func plainResponse(random *rand.Rand, r *http.Request) (sentResponse, bool) {
	id := fakeplatform.ReadAttempt(r).ID
	body := strings.Repeat("answer to "+id+"\n", 1+random.IntN(40))
	interim := ""
	if random.IntN(4) == 0 {
		interim = "HTTP/1.1 103 Early Hints\r\nAttempt-Id: " + id + "\r\nLink: </x>\r\n\r\n"
	}
	switch random.IntN(8) {
	case 0, 1:
		return sentResponse{text: interim + refusalOf(id)}, false
	case 2:
		return sentResponse{text: interim + headOf(r, "204 No Content", ""), body: "204 "}, true
	case 3:
		text := headOf(r, "500 Internal Server Error", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
		return sentResponse{text: text, body: "500 " + body}, true
	case 4, 5:
		text := headOf(r, "200 OK", "Transfer-Encoding: chunked\r\n") + chunk(body) + lastChunk
		return sentResponse{text: interim + text, body: "200 " + body}, true
	default:
		text := headOf(r, "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
		return sentResponse{text: interim + text, body: "200 " + body}, true
	}
}

// streamOf returns the events of a request's stream after one.
func streamOf(id, after string) string {
	var text strings.Builder
	for n := 1; n <= copyEvents; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", n, id)
	}
	if _, rest, found := strings.Cut(text.String(), "id: "+after+"\ndata: "+id+"\n\n"); found {
		return rest
	}
	return text.String()
}

// streamResponse returns a stream, or a refusal.
func streamResponse(random *rand.Rand, r *http.Request) (sentResponse, bool) {
	attempt := fakeplatform.ReadAttempt(r)
	if random.IntN(4) == 0 {
		return sentResponse{text: refusalOf(attempt.ID)}, false
	}
	text := headOf(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for event := range strings.SplitSeq(strings.TrimSuffix(streamOf(attempt.ID, attempt.ResumeAfter), "\n\n"), "\n\n") {
		text += chunk(event + "\n\n")
	}
	return sentResponse{text: text + lastChunk, body: "200 " + streamOf(attempt.ID, "")}, true
}

// checkCopied checks a reply against what the servers have done.
func (s *copyServerSet) check(t *testing.T, id string, once bool, got reply) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.requests[id]
	if record == nil {
		record = &copyRecord{}
	}
	if promised(got.status) && record.runs > 0 {
		t.Errorf("%s: REFUSED: status %d, %d runs, %d arrivals", id, got.status, record.runs, record.arrivals)
	}
	if once && record.runs > 1 {
		t.Errorf("%s: TWICE: %d runs", id, record.runs)
	}
	own := slices.Contains(record.answers, fmt.Sprint(got.status, " ", stripComments(got.body)))
	if got.status < http.StatusMultipleChoices && !own {
		t.Errorf("%s: MIXED: status %d, body %q, error %v, answers %q", id, got.status, got.body, got.err, record.answers)
	}
	return record.runs > 0 && !own
}

// stripComments removes the lines of a stream that keep its connection alive.
func stripComments(body string) string {
	return strings.ReplaceAll(body, ":\n\n", "")
}

// sendAll sends requests of all callers at the same time and returns the number of requests whose answer was lost.
func (s *copyServerSet) sendAll(t *testing.T, i *instance, path endlessPath, first int) int {
	var lost atomic.Int64
	var group errgroup.Group
	for c := range copyCallers {
		group.Go(func() error {
			for n := range copyRequests {
				req := path.request(t, i, first+c*copyRequests+n)
				id := req.Header.Get("Attempt-Id")
				got, err := call(req)
				if err != nil {
					return err
				}
				if s.check(t, id, path.once, got) {
					lost.Add(1)
					t.Logf("%s: lost: status %d, %q", id, got.status, got.body)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	return int(lost.Load())
}

// checkCopies sends requests over several instances, first to servers that send nothing again, so that connections are kept.
func checkCopies(t *testing.T, route string, anyConn bool) {
	lost, copies := 0, 0
	for round := range copyRounds {
		s := &copyServerSet{respond: plainResponse, anyConn: anyConn, random: rand.New(rand.NewPCG(uint64(round), uint64(len(route))))}
		if route == "resumable" || route == "stream" {
			s.respond = streamResponse
		}
		i, path := startCopyServers(t, route, s)
		s.quiet.Store(true)
		lost += s.sendAll(t, i, path, 1)
		s.quiet.Store(false)
		lost += s.sendAll(t, i, path, 1000)
		copies += s.copies
	}
	t.Logf("%d requests, %d copies, %d answers lost", 2*copyRounds*copyCallers*copyRequests, copies, lost)
	require.Positive(t, copies)
	require.Zero(t, lost, "requests that ran and whose answer was lost")
}

// Guards against a request that runs twice, is refused though it has run, gets another one's answer, or loses its own, because a
// server sends any of its earlier responses again on the connection, at any time.
func TestAnyResponseSentAgainOnItsConnection(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"once", "idempotent", "resumable", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			checkCopies(t, route, false)
		})
	}
}

// Guards against the same if responses to other requests come on other connections than their own.
func TestAnyResponseSentAgainOnAnotherConnection(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"once", "idempotent", "resumable", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			checkCopies(t, route, true)
		})
	}
}
