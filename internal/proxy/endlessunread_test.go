package proxy_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// endlessServer answers each connection with a head and then sends the same bytes until it is closed. It counts them.
type endlessServer struct {
	address string
	sent    atomic.Int64
}

func startEndlessServer(t *testing.T, head, piece string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{address: l.Addr().String()}
	pieces := []byte(strings.Repeat(piece, 1+1<<14/len(piece)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, head, pieces)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn, head string, pieces []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1<<14)); err != nil {
		return
	}
	_, err := conn.Write([]byte(head))
	for err == nil {
		var n int
		n, err = conn.Write(pieces)
		s.sent.Add(int64(n))
	}
}

// Guards against an instance that keeps what a faulty server sends without end while its callers read nothing, also through a peer.
func TestBytesWithoutEndAreNotKeptForCallersThatReadNothing(t *testing.T) {
	t.Parallel()
	const (
		callers = 8
		// perCaller holds the buffers of the kernel for two or three connections, and those of the instance.
		perCaller = 24 << 20
		head      = "HTTP/1.1 200 OK\r\n"
	)
	kinds := map[string][2]string{
		"body to the close": {head + "Connection: close\r\n\r\n", "x"},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"long body":         {head + "Content-Length: 9000000000000\r\n\r\n", "x"},
		"events":            {head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\nid: 1\ndata: ab\n\n\r\n"},
		"event without end": {head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", "data: x"},
		"head without end":  {head, "X-Field: x\r\n"},
		"interim heads":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for name, kind := range kinds {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", name, relayed), func(t *testing.T) {
				t.Parallel()
				bad := startEndlessServer(t, kind[0], kind[1])
				address, options := bad.address, proxy.Options{Dialect: unframedDialect{}}
				if relayed {
					address, options.Relays = closedAddress(t), fixedRelay{bad.address}
				}
				i := startInstance(t, fleetConfig(nil, []string{address}), options)
				if relayed {
					i.relays = []core.PeerAddress{{Name: "entry-2"}}
				}
				for range callers {
					conn, err := net.Dial("tcp", i.address)
					require.NoError(t, err)
					t.Cleanup(func() { _ = conn.Close() })
					_, err = fmt.Fprintf(conn, "GET /services/portal/x HTTP/1.1\r\nHost: h\r\n%s: branch-recife\r\n\r\n", proxy.HeaderCustomer)
					require.NoError(t, err)
				}
				require.Eventually(t, func() bool {
					before := bad.sent.Load()
					require.Less(t, before, int64(callers*perCaller))
					time.Sleep(300 * time.Millisecond)
					return before > 0 && bad.sent.Load() == before
				}, 2*waitTimeout, pollInterval, "bytes are taken without end")
			})
		}
	}
}
