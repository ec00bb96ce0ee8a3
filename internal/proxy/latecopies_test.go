package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// lateCopyServer is a backend server that sends a text in front of the next response on a connection.
type lateCopyServer struct {
	*rawBackend
	// late returns the text that follows the response to a request late, "" for none.
	late func(id string) string
	// refuses reports whether a request is refused.
	refuses func(id string, nth int) bool

	mu sync.Mutex
	// pending are the texts by connection, arrivals and runs the requests by ID, and sent the number of texts that were sent.
	pending        map[net.Conn]string
	arrivals, runs map[string]int
	sent           int
}

func startLateCopyServer(t testing.TB) *lateCopyServer {
	s := &lateCopyServer{
		late: func(string) string { return "" }, refuses: func(string, int) bool { return false },
		pending: make(map[net.Conn]string), arrivals: make(map[string]int), runs: make(map[string]int),
	}
	s.rawBackend = startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
		_, err := io.WriteString(conn, s.respond(fakeplatform.ReadAttempt(r).ID, conn))
		return err == nil
	})
	return s
}

// respond returns the response to a request, behind the text that is due on its connection.
func (s *lateCopyServer) respond(id string, conn net.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.pending[conn]
	if before != "" {
		s.sent++
	}
	s.pending[conn] = s.late(id)
	s.arrivals[id]++
	if s.refuses(id, s.arrivals[id]) {
		return before + refusalOf(id)
	}
	s.runs[id]++
	return before + answerOf(id)
}

// state returns how often a request has run, and how many late texts were sent.
func (s *lateCopyServer) state(id string) (runs, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.sent
}

// connections returns the number of connections that have carried a request.
func (s *lateCopyServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// maxLateTries limits the tries to send a request on a kept connection.
const maxLateTries = 20

// sendBehindLate sends two requests one after the other, again and again until one late response was sent with the second, and
// returns the reply to that one. The instance does not use a kept connection on which nothing has arrived for some time, as on a busy
// machine.
func (s *lateCopyServer) sendBehindLate(t *testing.T, first, second func() reply) reply {
	t.Helper()
	for range maxLateTries {
		require.Equal(t, http.StatusOK, first().status)
		s.forgetRuns()
		got := second()
		if _, sent := s.state(""); sent > 0 {
			require.Equal(t, 1, sent, "late responses")
			return got
		}
	}
	require.Fail(t, "no late response was sent")
	return reply{}
}

// forgetRuns forgets which requests have run.
func (s *lateCopyServer) forgetRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.runs)
}

// behind returns a function for lateCopyServer.late: a text follows late behind the response to the request with an ID.
func behind(id, text string) func(string) string {
	return func(answered string) string {
		if answered == id {
			return text
		}
		return ""
	}
}

func refusalOf(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func misdirectedOf(id string) string {
	return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id + "\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n"
}

func answerOf(id string) string {
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunkedAnswerOf(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
		chunk("answer to "+id) + lastChunk
}

// serveOnce starts an instance before one server, with a route for requests that may run once, and returns a function that sends one.
func serveOnce(t *testing.T, server *lateCopyServer) (send func(id string) reply) {
	sendWith := serveOnceAt(t, server.address)
	return func(id string) reply { return sendWith(http.MethodPost, id) }
}

// serveOnceAt is serveOnce for the server at an address and requests of any method.
func serveOnceAt(t *testing.T, address string) (send func(method, id string) reply) {
	path := routePath("once", "once")
	i := startInstance(t, endlessConfig(path, []string{address}), path.options)
	return func(method, id string) reply {
		req, err := fakeplatform.NewRequest(t.Context(), fakeplatform.Call{
			Address: i.address, Host: routeHost, Path: "/once/x", ID: id, Key: endlessKey, Timeout: endlessDeadline,
		})
		require.NoError(t, err)
		req.Method = method
		if method == http.MethodHead {
			req.Body, req.ContentLength = nil, 0
		}
		got, err := call(req)
		require.NoError(t, err)
		return got
	}
}

// promised reports whether a status tells a caller that its request has not run.
func promised(status int) bool {
	return slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, status)
}

// Guards against a request that runs twice, or runs and is answered as not run, because a late response that names another
// request is taken for its own.
func TestLateResponseToAnotherRequestIsNotTakenForOwn(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]string{
		"refusal":           refusalOf("other"),
		"misdirected":       misdirectedOf("other"),
		"answer":            answerOf("other"),
		"answer in chunks":  chunkedAnswerOf("other"),
		"several responses": refusalOf("other") + answerOf("another") + misdirectedOf("third"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startLateCopyServer(t)
			server.late = behind("first", late)
			send := serveOnce(t, server)
			got := server.sendBehindLate(t, func() reply { return send("first") }, func() reply { return send("second") })
			runs, _ := server.state("second")
			require.Equal(t, 1, runs, "runs")
			require.Equal(t, http.StatusOK, got.status, "the answer that is ready is delivered")
			require.Equal(t, "answer to second", got.body)
			require.Equal(t, "answer to third", send("third").body, "the server stays in use")
			require.Greater(t, server.connections(), 1, "a connection with a late response is not used again")
		})
	}
}

// Guards against a request that runs twice, or runs and is answered as not run, because a late response that names no request
// is taken for its own.
func TestLateResponseWithoutIDIsNoRefusal(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]string{
		"refusal":     "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startLateCopyServer(t)
			server.late = behind("first", late)
			send := serveOnce(t, server)
			got := server.sendBehindLate(t, func() reply { return send("first") }, func() reply { return send("second") })
			runs, _ := server.state("second")
			require.Equal(t, 1, runs, "runs")
			require.False(t, promised(got.status), "status %d says that the request has not run", got.status)
			require.Equal(t, "answer to third", send("third").body, "the server stays in use")
		})
	}
}

// Guards against a request that runs twice, or runs and is answered as not run, because a copy of the refusal of its first
// attempt is taken for the answer to the second one: both bear the caller's ID.
func TestLateCopyOfOwnRefusalIsNotTakenForNextAttempt(t *testing.T) {
	t.Parallel()
	server := startLateCopyServer(t)
	server.refuses = func(id string, nth int) bool { return id == "refused" && nth == 1 }
	server.late = behind("refused", refusalOf("refused"))
	send := serveOnce(t, server)
	require.Equal(t, http.StatusOK, send("first").status)
	got := send("refused")
	runs, _ := server.state("refused")
	require.Equal(t, 1, runs, "runs")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer to refused", got.body)
}

// Guards against a request that is answered as not run while it runs, because a caller has given two requests the same ID and
// a late copy of the first one's refusal is taken for the answer to the second one.
func TestLateCopyIsNotTakenForRequestWithSameID(t *testing.T) {
	t.Parallel()
	server := startLateCopyServer(t)
	server.late = behind("same", refusalOf("same"))
	send := serveOnce(t, server)
	for n := range 3 {
		got := send("same")
		require.Equal(t, http.StatusOK, got.status, "request %d", n)
		runs, _ := server.state("same")
		require.Equal(t, n+1, runs, "runs")
	}
}

// Guards against a request that runs and is answered as not run, because a server has sent a response to another request on a
// new connection, and a refusal without an ID behind it.
func TestRefusalWithoutIDBehindAnotherResponseIsNotBelieved(t *testing.T) {
	t.Parallel()
	server := startLateCopyServer(t)
	server.rawBackend = startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
		own := server.respond(fakeplatform.ReadAttempt(r).ID, conn)
		_, err := io.WriteString(conn, answerOf("other")+"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"+own)
		return err == nil
	})
	got := serveOnce(t, server)("first")
	runs, _ := server.state("first")
	require.Equal(t, 1, runs, "runs")
	require.False(t, promised(got.status), "status %d says that the request has not run", got.status)
}

// Guards against a HEAD request that runs and is answered as not run, because the body of a late response to another request is
// taken for a response: the late one has a body although the answer to a HEAD request has none.
func TestBodyOfLateResponseIsNoResponseToHead(t *testing.T) {
	t.Parallel()
	server := startLateCopyServer(t)
	body := refusalOf("head")
	server.late = behind("first", fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: first\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	sendWith := serveOnceAt(t, server.address)
	got := server.sendBehindLate(t, func() reply { return sendWith(http.MethodPost, "first") }, func() reply { return sendWith(http.MethodHead, "head") })
	runs, _ := server.state("head")
	require.Equal(t, 1, runs, "runs")
	require.False(t, promised(got.status), "status %d says that the request has not run", got.status)
}

// Guards against a request of the own interface that gets the response to another one as its answer, because that one cannot be
// skipped.
func TestLateResponseThatIsNotSkippedIsNotDelivered(t *testing.T) {
	t.Parallel()
	b := startRawBackend(t, func(nth int, _ *http.Request, conn net.Conn) bool {
		if nth == 1 {
			respondOK(conn, "ok")
			return true
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+proxy.HeaderAnswers+": other\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwrong")
		return false
	})
	i := startInstance(t, oneBackendConfig(b.address), proxy.Options{})
	require.Equal(t, "ok", sendAtMostOnce(t, i).body)
	got := sendAtMostOnce(t, i)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, "wrong")
}

// Guards against a request that runs twice, or runs and is answered as not run, because what follows the last chunk of a late
// response is taken for a response.
func TestTrailersOfLateResponseAreNoResponse(t *testing.T) {
	t.Parallel()
	server := startLateCopyServer(t)
	server.late = behind("first", strings.TrimSuffix(chunkedAnswerOf("first"), "\r\n")+refusalOf("second"))
	send := serveOnce(t, server)
	got := server.sendBehindLate(t, func() reply { return send("first") }, func() reply { return send("second") })
	runs, _ := server.state("second")
	require.Equal(t, 1, runs, "runs")
	require.False(t, promised(got.status), "status %d says that the request has not run", got.status)
}
