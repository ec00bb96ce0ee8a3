package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/responsehead"
	"github.com/ebonydyke/ebonydyke/test/heads"
)

// Guards against a request that is sent to another process, because a report whose head breaks the protocol named the expected one.
func TestProcessCheckRejectsBrokenHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Broken() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			for _, status := range []string{"200 OK", "404 Not Found"} {
				b := heads.StartServer(t, h.Text("HTTP/1.1 "+status, "", "7"))
				c, _ := checkedCall(t, http.NotFound)
				raw, err := net.Dial("tcp", b.Address)
				require.NoError(t, err)
				conn := &backendConn{Conn: raw, now: time.Now, openedAt: time.Now()}
				require.ErrorIs(t, c.checkProcess(conn), errMalformed)
				require.False(t, c.processCertain)
				require.NoError(t, raw.Close())
			}
		})
	}
}

// Guards against refusing a report because its head is unusual.
func TestProcessCheckAcceptsUnusualHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Unusual() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			b := heads.StartServer(t, h.Text(statusLineOK, keepAliveField, "7"))
			c, _ := checkedCall(t, http.NotFound)
			raw, err := net.Dial("tcp", b.Address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = raw.Close() })
			require.NoError(t, c.checkProcess(&backendConn{Conn: raw, now: time.Now, openedAt: time.Now()}))
			require.True(t, c.processCertain)
		})
	}
}

const (
	statusLineOK = "HTTP/1.1 200 OK"
	// keepAliveField lets a connection be used again also by other versions.
	keepAliveField = "Connection: keep-alive\r\n"
	soundReport    = `{"incarnation":7,"state":"live","in_flight":3}`
)

// newReporter returns a server that asks backend servers for their load.
func newReporter() *Server {
	o := Options{BackendIdle: time.Minute, Now: time.Now}
	return &Server{options: o, engine: newEngineClient(o, &logQueue{})}
}

// Guards against a load, or a state, that is read from a report whose head breaks the protocol.
func TestLoadReportWithBrokenHeadIsNone(t *testing.T) {
	t.Parallel()
	s := newReporter()
	for _, h := range heads.Broken() {
		b := heads.StartServer(t, h.Text(statusLineOK, "", soundReport))
		for n := range int64(2) {
			report, err := s.Report("engine-1", b.Address)
			require.ErrorIs(t, err, responsehead.ErrMalformed, h.Name)
			require.Zero(t, report.InFlight, h.Name)
			require.Equal(t, n+1, b.Connections.Load(), "%s: connections that are not used again", h.Name)
		}
	}
}

// Guards against a load that stays unknown because the head of its report is unusual, and against a connection for each report.
func TestLoadReportWithUnusualHeadIsRead(t *testing.T) {
	t.Parallel()
	s := newReporter()
	for _, h := range heads.Unusual() {
		b := heads.StartServer(t, h.Text(statusLineOK, keepAliveField, soundReport))
		for range 3 {
			report, err := s.Report("engine-1", b.Address)
			require.NoError(t, err, h.Name)
			require.Equal(t, 3, report.InFlight, h.Name)
			require.Equal(t, membership.Live, report.State, h.Name)
		}
		require.EqualValues(t, 1, b.Connections.Load(), h.Name)
	}
}

// Guards against using a connection again on which a cancellation was answered with a head that breaks the protocol.
func TestCancellationWithBrokenHeadEndsConnection(t *testing.T) {
	t.Parallel()
	s := newReporter()
	for _, h := range heads.Broken() {
		b := heads.StartServer(t, h.Text(statusLineOK, "", "cancelled"))
		s.engine.cancel(streamRef{address: b.Address, id: "s1"})
		require.Eventually(t, func() bool { return b.Requests.Load() == 1 && b.Closed.Load() == 1 }, 10*time.Second, time.Millisecond, h.Name)
	}
}

// Guards against a report that is taken for the answer to the next poll on its connection.
func TestLoadReportWithBytesBehindItEndsConnection(t *testing.T) {
	t.Parallel()
	s := newReporter()
	text := heads.Head{}.Text(statusLineOK, "", soundReport)
	b := heads.StartServer(t, text+strings.Replace(text, `"in_flight":3`, `"in_flight":9`, 1))
	for n := range int64(3) {
		report, err := s.Report("engine-1", b.Address)
		require.NoError(t, err)
		require.Equal(t, 3, report.InFlight, fmt.Sprint("poll ", n))
		require.Equal(t, n+1, b.Connections.Load())
	}
}
