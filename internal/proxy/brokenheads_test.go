package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/platform"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
	"github.com/ebonydyke/ebonydyke/test/heads"
)

// brokenResponse is a response with a broken head. Its text has the marks of a path, and begins with colonMark if a blank precedes
// the colon of each of its fields.
type brokenResponse struct{ name, text string }

const colonMark = "%COLON"

// fill returns the text with the fields of a response to the request.
func (b brokenResponse) fill(p endlessPath, r *http.Request) string {
	text := p.fill(r, b.text)
	if rest, found := strings.CutPrefix(text, colonMark); found {
		return strings.ReplaceAll(rest, ": ", " : ")
	}
	return text
}

// markedField and brokenBody are a field and the body of each broken response, by which one that was passed on is seen.
const (
	markedField = "X-Mark: z\r\n"
	brokenBody  = "broken answer."
)

// responsesOf returns answers with the heads, and, for those that end where the answer begins, refusals and failures.
func responsesOf(broken []heads.Head) []brokenResponse {
	var responses []brokenResponse
	for _, h := range broken {
		responses = append(responses, brokenResponse{h.Name, h.Text(strings.TrimSpace(statusOK), markedField+plainFields, brokenBody)})
		if h.StatusLine == "" && h.Framing == "" {
			responses = append(responses,
				brokenResponse{"refusal, " + h.Name, h.Text("HTTP/1.1 503 Service Unavailable", markedField+refusalMark, "")},
				brokenResponse{"failure, " + h.Name, h.Text("HTTP/1.1 500 Internal Server Error", markedField+plainFields, brokenBody)},
			)
		}
	}
	return responses
}

// brokenResponses are responses whose heads break the protocol, each in one way.
func brokenResponses() []brokenResponse {
	refused := heads.Head{}.Text("HTTP/1.1 503 Service Unavailable", refusalMark, "")
	answered := heads.Head{}.Text(strings.TrimSpace(statusOK), markedField+plainFields, brokenBody)
	return append(responsesOf(heads.Broken()),
		brokenResponse{"refusal of status 000", heads.Head{}.Text("HTTP/1.1 000 Service Unavailable", refusalMark, "")},
		brokenResponse{"refusal, blanks before all colons", colonMark + refused},
		brokenResponse{"answer, blanks before all colons", colonMark + answered},
	)
}

// headPaths are the ways of a request that differ in how its response is read.
func headPaths() []endlessPath {
	return []endlessPath{
		nativePath("plain", false, plainCall), nativePath("chat in events", true, chatCall(true)), routePath("idempotent", "idempotent"),
		routePath("resumable", "resumable"), routePath("once", "once"), routePath("stream", "stream"),
	}
}

func (p endlessPath) dialect() proxy.Dialect {
	if p.native {
		return proxy.Native{}
	}
	return platform.Dialect{}
}

// headCounter is a dialect that counts the heads that it is given.
type headCounter struct {
	proxy.Dialect
	heads *atomic.Int64
}

// ReadHead implements proxy.Dialect.
func (c headCounter) ReadHead(h *fasthttp.ResponseHeader, r *proxy.Request, e *core.SendAttempt, now time.Time) proxy.Head {
	c.heads.Add(1)
	return c.Dialect.ReadHead(h, r, e, now)
}

// ResponseID implements proxy.Dialect.
func (c headCounter) ResponseID(h *fasthttp.ResponseHeader) string {
	c.heads.Add(1)
	return c.Dialect.ResponseID(h)
}

// startBrokenBackend starts a server that sends a broken response and keeps its connections open.
func startBrokenBackend(t *testing.T, p endlessPath, broken brokenResponse) *rawBackend {
	return startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
		_, err := io.WriteString(conn, broken.fill(p, r))
		return err == nil
	})
}

// Guards against a response that reaches a caller, or is believed in any of its fields, although its head breaks the protocol.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, p := range headPaths() {
		for _, broken := range brokenResponses() {
			t.Run(p.name+"/"+broken.name, func(t *testing.T) {
				t.Parallel()
				var read atomic.Int64
				options := p.options
				options.Dialect = headCounter{p.dialect(), &read}
				b := startBrokenBackend(t, p, broken)
				i := startInstance(t, endlessConfig(p, []string{b.address}), options)
				resp, err := singleUse.Do(p.request(t, i, 1))
				require.NoError(t, err)
				body, _ := io.ReadAll(resp.Body)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.Empty(t, resp.Header.Get("X-Mark"))
				require.NotContains(t, string(body), brokenBody[:3])
				require.Zero(t, read.Load(), "heads that were read")
				attempts := b.requests.Load()
				require.Positive(t, attempts)
				require.EqualValues(t, attempts, i.attemptsEnded("malformed"), "attempts that count as malformed")
				require.Eventually(t, func() bool { return b.closed.Load() == attempts }, waitTimeout, pollInterval, "no connection is used again")
			})
		}
	}
}

// Guards against a caller that gets a broken response, or none, although another server is sound, and against a request that
// runs twice because a broken refusal was believed.
func TestBrokenHeadBesideSoundServer(t *testing.T) {
	t.Parallel()
	const requests = 12
	for _, p := range headPaths() {
		for _, broken := range brokenResponses() {
			t.Run(p.name+"/"+broken.name, func(t *testing.T) {
				t.Parallel()
				bad := startBrokenBackend(t, p, broken)
				sound := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool { return p.respond(r, conn) })
				i := startInstance(t, endlessConfig(p, []string{bad.address, sound.address}), p.options)
				failed := int64(0)
				for n := range requests {
					got := askOnce(p.request(t, i, n))
					if got.status != http.StatusOK {
						require.Equal(t, http.StatusBadGateway, got.status)
						failed++
						continue
					}
					require.NoError(t, got.err)
					require.Equal(t, p.whole(), got.body)
				}
				if p.once {
					require.Equal(t, bad.requests.Load(), failed, "requests whose outcome is unknown")
					require.EqualValues(t, requests, bad.requests.Load()+sound.requests.Load(), "runs")
					return
				}
				require.Zero(t, failed)
			})
		}
	}
}

// Guards against a late response to an earlier request that is skipped although its head is broken, so that nobody knows where it
// ends.
func TestLateResponseWithBrokenHeadIsNotSkipped(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Broken() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			server := startLateCopyServer(t)
			server.late = behind("first", h.Text(strings.TrimSpace(statusOK), "Attempt-Id: other\r\nServer-Seal: s\r\n", "late"))
			send := serveOnce(t, server)
			got := server.sendBehindLate(t, func() reply { return send("first") }, func() reply { return send("second") })
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Equal(t, "answer to third", send("third").body, "on another connection")
		})
	}
}

// Guards against turning a sound response away, or changing it, because its head is unusual.
func TestUnusualHeadsArePassedOn(t *testing.T) {
	t.Parallel()
	unusual := append(heads.Unusual(),
		heads.Head{Name: "long field", Lines: "X-Long: " + strings.Repeat("z", 8000) + "\r\n"},
		heads.Head{Name: "100 interim responses before", Before: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
		heads.Head{Name: "length in lower case", Framing: "content-length:14\r\n"},
		heads.Head{Name: "length among blanks", Framing: "Content-Length: \t14 \t\r\n"},
		heads.Head{Name: "length with zeros", Framing: "Content-Length: 0014\r\n"},
	)
	for _, status := range []string{"201", "226", "299", "399", "418", "451", "499", "500", "520", "599"} {
		unusual = append(unusual, heads.Head{Name: "status " + status, StatusLine: "HTTP/1.1 " + status + " Name"})
	}
	for _, p := range []endlessPath{nativePath("plain", false, plainCall), routePath("idempotent", "idempotent")} {
		for _, h := range unusual {
			t.Run(p.name+"/"+h.Name, func(t *testing.T) {
				t.Parallel()
				requirePassedOn(t, p, h, soundBody)
			})
		}
		t.Run(p.name+"/chunks in capitals", func(t *testing.T) {
			t.Parallel()
			requirePassedOn(t, p, heads.Head{Framing: "Transfer-Encoding: CHUNKED\r\n"}, chunk(soundBody)+lastChunk)
		})
	}
}

// requirePassedOn checks that a caller gets a response with a head and a framed body as it is.
func requirePassedOn(t *testing.T, p endlessPath, h heads.Head, framedBody string) {
	b := startBrokenBackend(t, p, brokenResponse{h.Name, h.Text(strings.TrimSpace(statusOK), plainFields, framedBody)})
	i := startInstance(t, endlessConfig(p, []string{b.address}), p.options)
	resp, err := singleUse.Do(p.request(t, i, 1))
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, soundBody, string(body))
	require.Zero(t, i.attemptsEnded("malformed"))
	if _, code, found := strings.Cut(h.Name, "status "); found {
		require.Equal(t, code, resp.Status[:3])
		return
	}
	require.Equal(t, http.StatusOK, resp.StatusCode)
	if name, value, found := strings.Cut(strings.TrimSuffix(h.Lines, "\r\n"), ":"); found {
		require.Equal(t, []string{strings.Trim(value, " \t")}, resp.Header[http.CanonicalHeaderKey(name)])
	}
}

// Guards against opening a connection for each response whose head is unusual.
func TestConnectionsAreReusedAfterUnusualHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Unusual() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				_, err := io.WriteString(conn, h.Text(strings.TrimSpace(statusOK), "Connection: keep-alive\r\nKeep-Alive: timeout=10\r\n", "ok"))
				return err == nil
			})
			i := startInstance(t, oneBackendConfig(b.address), proxy.Options{})
			for range 3 {
				require.Equal(t, "ok", sendAtMostOnce(t, i).body)
			}
			require.Equal(t, 1, i.dials(proxy.NoneIdle))
		})
	}
}

// Guards against a request that is sent although the report of its server's process has a broken head, and against a server that is
// not left for it.
func TestBrokenReportStopsTheRequest(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Broken() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			p := routePath("once", "once")
			p.incarnation = uint64(time.Now().UnixMilli())
			var reached atomic.Int64
			b := startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
				if r.URL.Path != fakeplatform.ReportPath {
					reached.Add(1)
					return p.respond(r, conn)
				}
				_, err := io.WriteString(conn, h.Text(strings.TrimSpace(statusOK), "", fmt.Sprintf(`{"born":%d}`, p.incarnation)))
				return err == nil
			})
			i := startInstance(t, endlessConfig(p, []string{b.address}), p.options)
			i.process = p.checkedProcess()
			got := askOnce(p.request(t, i, 1))
			require.Equal(t, http.StatusServiceUnavailable, got.status, "it has not run")
			require.Zero(t, reached.Load())
			require.EqualValues(t, b.requests.Load(), i.attemptsEnded("malformed"))
		})
	}
}
