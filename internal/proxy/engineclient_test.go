package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// The core receives an engine's load by polls and from the headers of each response. A
// leaving engine refuses requests explicitly, and they run on another engine.
func TestEngineLoadReports(t *testing.T) {
	engines, addresses := startEngines(t, 2, time.Millisecond)
	i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{})
	for range 3 {
		got := send(t, newChat(t, i.url, true, headers{proxy.HeaderPriority: "7"}))
		require.NoError(t, got.err)
	}
	stats := engines[0].Stats()
	if stats.Hits == 0 {
		stats = engines[1].Stats()
	}
	require.Equal(t, 1, stats.Misses, "the first turn of a chat")
	require.Equal(t, 2, stats.Hits, "later turns use the engine that caches the prefix")
	require.Equal(t, "7", stats.LastPriority)

	report, err := i.server.Report("engine-1", addresses[0])
	require.NoError(t, err)
	require.Equal(t, membership.Live, report.State)
	require.NotZero(t, report.Incarnation)
	for _, a := range addresses[:1] {
		resp, err := http.Post("http://"+a+"/leave", "", nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	left, err := i.server.Report("engine-1", addresses[0])
	require.NoError(t, err)
	require.Equal(t, membership.Leaving, left.State)
	got := send(t, newChat(t, i.url, true, headers{proxy.HeaderIdempotent: "false"}))
	require.NoError(t, got.err)
	require.Equal(t, "engine-2", got.header.Get(proxy.HeaderBackend))
}

// An invalid load report must yield an error, not a load.
func TestInvalidLoadReport(t *testing.T) {
	for _, body := range []string{
		"", "{", `{"in_flight":-1,"state":"live"}`, `{"in_flight":1,"state":"well"}`, `[]`,
		`{"in_flight":1000001,"state":"live"}`, `{"in_flight":4611686018427387904,"state":"live"}`, `{"in_flight":1e300,"state":"live"}`,
	} {
		b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
			respondOK(conn, body)
			return true
		})
		i := startInstance(t, fleetConfig([]string{b.address}, nil), proxy.Options{})
		_, err := i.server.Report("engine-1", b.address)
		require.Error(t, err, body)
	}
}

// Guards against unbounded memory use if an engine sends invalid load headers and an
// endless event. The response must end with an error.
func TestEndlessEventFromEngine(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		"Engine-Load: -7\r\nEngine-Incarnation: x\r\nEngine-State: leaving\r\n\r\n"
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, head+"fffffff\r\ndata: ")
		for {
			if _, err := conn.Write(make([]byte, 1<<16)); err != nil {
				return false
			}
		}
	})
	cfg := fleetConfig([]string{b.address}, nil)
	cfg.Services[0].MaxAttempts = 1
	i := startInstance(t, cfg, proxy.Options{})
	got := send(t, newChat(t, i.url, true, nil))
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, string(reason.BrokenStream), got.header.Get(proxy.HeaderReason))
}
