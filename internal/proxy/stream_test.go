package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/standin/engine"
)

var wholeStreamIDs = []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"}

// The engine's connection breaks or freezes, loses or repeats an event, or ends without
// the end mark during a response. The caller must receive every event once, from the
// stream that the response started with, or an error that it cannot mistake for the end
// of the response.
func TestStreamFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault engine.Fault
		// want lists the events of a whole response, or is nil if it must end with an error.
		want    []string
		resumed int
	}{
		{"none", engine.Fault{}, wholeStreamIDs, 0},
		{"cut before the first event", engine.Fault{Kind: engine.Cut}, wholeStreamIDs, 1},
		{"cut after three", engine.Fault{Kind: engine.Cut, After: 3}, wholeStreamIDs, 1},
		{"cut twice", engine.Fault{Kind: engine.Cut, After: 3, Times: 2}, wholeStreamIDs, 2},
		{"cut before the end mark", engine.Fault{Kind: engine.Cut, After: 8}, wholeStreamIDs, 1},
		{"frozen after three", engine.Fault{Kind: engine.Freeze, After: 3}, wholeStreamIDs, 1},
		{"event lost", engine.Fault{Kind: engine.Skip, After: 4}, wholeStreamIDs, 1},
		{"event repeated", engine.Fault{Kind: engine.Repeat, After: 4}, wholeStreamIDs, 0},
		{"no end mark", engine.Fault{Kind: engine.NoEndMark}, wholeStreamIDs, 1},
		{"restarted after three", engine.Fault{Kind: engine.Restart, After: 3}, nil, 0},
		{"cut without end", engine.Fault{Kind: engine.Cut, After: 3, Times: 100}, nil, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines, addresses := startEngines(t, 1, time.Millisecond)
			var o proxy.Options
			if tt.fault.Kind == engine.Freeze {
				o.Inactivity = 500 * time.Millisecond
			}
			i := startInstance(t, fleetConfig(addresses, nil), o)
			engines[0].SetFault(tt.fault)
			got := send(t, newChat(t, i.url, true, headers{proxy.HeaderIdempotent: "false"}))
			require.Equal(t, http.StatusOK, got.status)
			requireOneStream(t, got.body)
			require.Equal(t, tt.resumed, engines[0].Stats().Resumed, "resumptions")
			require.Len(t, engines[0].Stats().Runs, 1)
			if tt.want != nil {
				require.NoError(t, got.err)
				require.Equal(t, tt.want, eventIDs(got.body))
				require.True(t, strings.HasSuffix(got.body, "data: [DONE]\n\n"))
				return
			}
			require.ErrorContains(t, got.err, "unexpected EOF", "an incomplete response must not look complete")
			require.Contains(t, got.body, "event: error\n")
			require.NotContains(t, got.body, "[DONE]")
			require.Equal(t, reason.Unknown, i.lastFinish().Outcome)
		})
	}
}

var tokenSource = regexp.MustCompile(`"content":"(engine-\d+-\d+)-\d+ "`)

// requireOneStream checks that all tokens come from one run of one engine.
func requireOneStream(t *testing.T, body string) {
	t.Helper()
	sources := make(map[string]bool)
	for _, m := range tokenSource.FindAllStringSubmatch(body, -1) {
		sources[m[1]] = true
	}
	require.LessOrEqual(t, len(sources), 1, "tokens of several runs in one response: %v", sources)
}

// An engine fails while another engine is available. After the first event, the caller
// must not receive the rest of the stream from the other engine, because the outputs of
// two engines do not form one response. Before the first event, an idempotent request
// must move to the other engine.
func TestStartedStreamStaysOnEngine(t *testing.T) {
	tests := []struct {
		name  string
		fault engine.Fault
		whole bool
	}{
		{"before the first event", engine.Fault{Kind: engine.Restart}, true},
		{"after it", engine.Fault{Kind: engine.Restart, After: 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines, addresses := startEngines(t, 2, time.Millisecond)
			i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{})
			struck := send(t, newChat(t, i.url, true, nil)).header.Get(proxy.HeaderBackend)
			for _, e := range engines {
				if e.Name == struck {
					e.SetFault(tt.fault)
				}
			}
			got := send(t, newChat(t, i.url, true, nil))
			requireOneStream(t, got.body)
			if tt.whole {
				require.NoError(t, got.err)
				require.Equal(t, wholeStreamIDs, eventIDs(got.body))
				return
			}
			require.Error(t, got.err)
			require.Equal(t, []string{"1"}, eventIDs(got.body))
		})
	}
}

// A caller disconnects before or during its response. The stream must be cancelled at the
// engine; otherwise the engine continues the work while other requests are queued.
func TestCallerDisconnectCancelsStream(t *testing.T) {
	tests := []struct {
		name string
		// read is the number of bytes that the caller reads before it disconnects.
		read  int
		fault engine.Fault
	}{
		{"before the first event", 0, engine.Fault{Kind: engine.Freeze}},
		{"during the response", 10, engine.Fault{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines, addresses := startEngines(t, 1, 50*time.Millisecond)
			engines[0].Tokens = 10_000
			i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{})
			engines[0].SetFault(tt.fault)
			conn := dial(t, i.address)
			require.NoError(t, newChat(t, i.url, true, nil).Write(conn))
			require.Eventually(t, func() bool { return engines[0].Stats().InFlight == 1 }, waitTimeout, pollInterval)
			readBytes(t, conn, tt.read)
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool {
				s := engines[0].Stats()
				return s.InFlight == 0 && s.Cancelled == 1
			}, waitTimeout, pollInterval, "the engine still works for a caller that has disconnected")
			require.Eventually(t, func() bool { return i.lastFinish().Reason == reason.CallerGone }, waitTimeout, pollInterval)
		})
	}
}

// An engine fails and a new process takes its address. The new process numbers its
// streams from one again, so the resumption finds another caller's stream with the same
// ID. The incarnation differs, so the caller must receive an error and not that stream.
func TestResumeOfAnotherIncarnation(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		"Engine-Stream-Id: 1\r\nEngine-Incarnation: %d\r\n\r\n"
	b := startRawBackend(t, func(nth int, _ *http.Request, conn net.Conn) bool {
		_, _ = fmt.Fprintf(conn, head, nth)
		event := fmt.Sprintf("id: %d\ndata: text of caller %d\n\n", nth, nth)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		return false
	})
	i := startInstance(t, fleetConfig([]string{b.address}, nil), proxy.Options{})
	got := send(t, newChat(t, i.url, true, nil))
	require.ErrorContains(t, got.err, "unexpected EOF")
	require.Contains(t, got.body, "text of caller 1")
	require.NotContains(t, got.body, "text of caller 2")
}

// An engine's machine fails after the response header of a stream and before the first
// event. The stream cannot be resumed there, and nothing of it was sent to the caller. An
// idempotent request must run on another engine with the remaining attempts.
func TestUnstartedStreamMovesFromFailedEngine(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		"Engine-Stream-Id: 1\r\nEngine-Incarnation: 1\r\n\r\n"
	var machine atomic.Pointer[rawBackend]
	dying := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_ = machine.Load().listener.Close()
		_, _ = io.WriteString(conn, head)
		return false
	})
	machine.Store(dying)
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstance(t, fleetConfig(append(addresses, dying.address), nil), proxy.Options{})
	for n := 0; dying.requests.Load() == 0 && n < 100; n++ {
		got := send(t, newChat(t, i.url, true, headers{proxy.HeaderChat: fmt.Sprintf("dossier-%d", n)}))
		require.NoError(t, got.err)
		require.Equal(t, wholeStreamIDs, eventIDs(got.body), got.body)
		require.Equal(t, "engine-1", got.header.Get(proxy.HeaderBackend))
	}
	require.EqualValues(t, 1, dying.requests.Load())
}
