// Package relay connects peers to backend servers that they cannot reach themselves.
//
// A relayed connection takes one hop: this instance connects directly or not at all. It decides nothing
// about the request, which the requesting instance has admitted, counted and placed, and it passes
// bytes on as they come. The end of one side ends the other in the same path: an orderly close as an
// orderly close, which may end a response, and anything else as a reset.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/dial"
	"github.com/ebonydyke/ebonydyke/internal/peer"
)

const (
	// maxConnections bounds the relayed connections, so that their buffers and descriptors stay a small
	// part of an instance's. A peer whose request is refused for it asks another instance.
	maxConnections = 256
	// maxConnectTime bounds the time for connecting to a backend server, whatever the peer asks for.
	maxConnectTime = 2 * time.Second
	// ackTimeout is the time after which a connection is closed whose other end acknowledges nothing.
	// Without it the connections of an instance that lost power would stay. It exceeds the seconds for
	// which the path to a healthy machine may be interrupted. A process that reads nothing does not
	// matter: its machine acknowledges.
	ackTimeout = 5 * time.Second
	bufferSize = 4 << 10
	// maxDiscarded is the number of bytes that a requester may send after its backend server has closed. It is far above the rest of a
	// request that was answered early.
	maxDiscarded = 128 << 20
)

// Metrics receives the measurements of a Server. Its methods must be safe for concurrent use.
type Metrics interface {
	// Relayed counts a relay request by its result.
	Relayed(paths.Result)
}

// Server relays connections for peers.
type Server struct {
	metrics Metrics
	scope   atomic.Pointer[scope]
	active  atomic.Int64
	buffers sync.Pool
}

// scope is what the server relays: nothing if it is closed, and nothing to the lost addresses.
type scope struct {
	closed bool
	lost   []string
}

// NewServer returns a server that relays to all backend servers.
func NewServer(m Metrics) *Server {
	s := &Server{metrics: m, buffers: sync.Pool{New: func() any { return new([bufferSize]byte) }}}
	s.scope.Store(&scope{})
	return s
}

// SetScope sets whether the server relays, and the sorted addresses to which it does not.
func (s *Server) SetScope(closed bool, lost []string) {
	s.scope.Store(&scope{closed: closed, lost: lost})
}

// Active returns the number of relayed connections.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve carries out a relay request. It returns once the connection has ended.
func (s *Server) Serve(ctx context.Context, r *peer.RelayRequest) error {
	defer s.active.Add(-1)
	if s.active.Add(1) > maxConnections || s.excludes(r.Address) {
		return s.reply(r, paths.NoRelay)
	}
	dialer := net.Dialer{Timeout: min(r.Timeout, maxConnectTime)}
	server, err := dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return s.reply(r, paths.ResultOf(err))
	}
	defer func() { _ = server.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := s.reply(r, paths.Connected); err != nil {
		return err
	}
	return s.watchAndJoin(r, server)
}

// watchAndJoin joins the connections, and resets one whose machine is gone.
func (s *Server) watchAndJoin(r *peer.RelayRequest, server net.Conn) error {
	for _, conn := range []net.Conn{r.Conn, server} {
		stop, err := dial.Watch(conn, ackTimeout, func() {
			klog.V(1).InfoS("relayed connection reset: one end acknowledges nothing", "requester", r.From, "server", r.Address,
				"end", conn.RemoteAddr().String())
			abort(conn)
		})
		if err != nil {
			return err
		}
		defer stop()
	}
	s.join(r.Conn, server)
	return nil
}

func (s *Server) reply(r *peer.RelayRequest, result paths.Result) error {
	s.metrics.Relayed(result)
	return r.Reply(result)
}

func (s *Server) excludes(address string) bool {
	current := s.scope.Load()
	_, lost := slices.BinarySearch(current.lost, address)
	return current.closed || lost
}

// join passes bytes between the requesting instance and the backend server until one side ends.
func (s *Server) join(requester, server net.Conn) {
	requests := make(chan struct{})
	go func() {
		defer close(requests)
		s.passRequests(server, requester)
	}()
	err := s.pass(requester, server)
	if err != nil {
		abort(requester)
		abort(server)
		<-requests
		return
	}
	// The requester closes once it has read the answer, however late. It may also still be sending the rest of a
	// request that was answered early: closing over bytes that were not read would reset the connection, and the
	// answer with it.
	if closer, ok := requester.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
	<-requests
}

// passRequests passes bytes to the backend server. When the requester has closed its side, it no
// longer waits for a response, and the server is to stop working on it.
func (s *Server) passRequests(server, requester net.Conn) {
	if err := s.pass(server, requester); errors.Is(err, errWrite) {
		// The server has closed. What the requester still sends is discarded until it has closed as well.
		rest := io.LimitedReader{R: requester, N: maxDiscarded}
		_ = s.pass(io.Discard, &rest)
		if rest.N == 0 {
			klog.InfoS("relayed connection reset: its requester sends on without end", "bytes", maxDiscarded)
			abort(requester)
		}
	}
	abort(server)
}

// errWrite marks an error of the destination.
var errWrite = errors.New("relay: write failed")

// pass copies bytes until the end of src. It returns nil at an orderly end.
func (s *Server) pass(dst io.Writer, src io.Reader) error {
	buffer := s.buffers.Get().(*[bufferSize]byte)
	defer s.buffers.Put(buffer)
	for {
		n, err := src.Read(buffer[:])
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return errors.Join(errWrite, err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// abort resets a connection, so that the other end does not take its end for an orderly one, and bytes
// that are still buffered are not delivered later.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// drainInterval is the interval at which Drain checks for relayed connections.
const drainInterval = 20 * time.Millisecond

// Drain waits until no relayed connection is left or ctx is done.
func (s *Server) Drain(ctx context.Context) {
	for s.Active() > 0 && ctx.Err() == nil {
		time.Sleep(drainInterval)
	}
}
