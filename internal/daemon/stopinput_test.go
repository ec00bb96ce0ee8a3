package daemon

import (
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/settings"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startServer starts a backend server that answers each request with a large body.
func startServer(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("x", 16<<20)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// runningInstance is a whole instance in this process.
type runningInstance struct {
	address string
	stop    chan struct{}
	ended   chan error
}

func runInstance(t *testing.T, grace time.Duration) *runningInstance {
	t.Helper()
	store := fakeplatform.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	text, err := json.Marshal(config.Text{
		Customers: []config.Customer{{Name: "branch-recife"}},
		Services: []config.Service{{Name: "portal", Kind: config.Plain, Capacity: 64, MaxAttempts: 3, BackendServers: []config.BackendServer{
			{Name: "portal-1", Address: startServer(t), Zone: "zone-1"},
		}}},
	})
	require.NoError(t, err)
	envelope, err := json.Marshal(config.Envelope{Generation: 1, Edit: "e1", Text: string(text)})
	require.NoError(t, err)
	store.Put(core.ConfigKey, envelope)

	s := settings.Default()
	s.Name, s.Zone, s.Platform = "entry-1", "zone-1", server.URL
	s.Listen, s.PeerListen, s.AdminListen = freeAddress(t), freeAddress(t), freeAddress(t)
	s.AcceptDelay = 0
	s.StopGrace = config.Duration(grace)
	path := filepath.Join(t.TempDir(), "settings.json")
	encoded, err := json.Marshal(s)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, encoded, 0o600))
	i := &runningInstance{address: s.Listen, stop: make(chan struct{}), ended: make(chan error, 1)}
	go func() { i.ended <- Run(Signals{Stop: i.stop}, path, &s) }()
	require.Eventually(t, func() bool { return i.status(t) == "200" }, 10*time.Second, 20*time.Millisecond)
	return i
}

const portalRequest = "GET /services/portal/x HTTP/1.1\r\nHost: fleet\r\nEbonydyke-Customer: branch-recife\r\n\r\n"

// status sends a request on a new connection and returns the status, "" if there is none.
func (i *runningInstance) status(t *testing.T) string {
	t.Helper()
	conn, err := net.Dial("tcp", i.address)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, portalRequest)
	line := make([]byte, 12)
	if _, err := io.ReadFull(conn, line); err != nil {
		return ""
	}
	return string(line[9:])
}

// Guards against a stop that outlasts its grace time, after which the process is killed, because of a caller that sends without
// end, reads nothing, or connects again and again.
func TestCallersDoNotHoldUpAStop(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	trickle := func(conn net.Conn) {
		var err error
		for err == nil {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(conn, "x")
		}
	}
	for name, call := range map[string]func(t *testing.T, i *runningInstance, conn net.Conn){
		"sends a head without end": func(_ *testing.T, _ *runningInstance, conn net.Conn) {
			_, _ = io.WriteString(conn, "GET /")
			trickle(conn)
		},
		"sends a body without end": func(_ *testing.T, _ *runningInstance, conn net.Conn) {
			_, _ = io.WriteString(conn, "POST /services/portal/x HTTP/1.1\r\nHost: fleet\r\nContent-Length: 1000000\r\n\r\n")
			trickle(conn)
		},
		"reads nothing": func(_ *testing.T, _ *runningInstance, conn net.Conn) {
			_, _ = io.WriteString(conn, portalRequest)
		},
		"connects again and again": func(_ *testing.T, i *runningInstance, _ net.Conn) {
			for {
				conn, err := net.Dial("tcp", i.address)
				if err != nil {
					return
				}
				_ = conn.Close()
				time.Sleep(50 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := runInstance(t, grace)
			conn, err := net.Dial("tcp", i.address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			go call(t, i, conn)
			time.Sleep(500 * time.Millisecond)
			begun := time.Now()
			close(i.stop)
			select {
			case err := <-i.ended:
				require.NoError(t, err)
				require.Less(t, time.Since(begun), grace)
			case <-time.After(2 * grace):
				require.Fail(t, "the instance still runs after its grace time")
			}
		})
	}
}
