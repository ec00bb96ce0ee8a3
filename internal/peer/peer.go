// Package peer maintains the links between the instances of the fleet: one TCP connection per
// pair, multiplexed by yamux into two streams of protobuf frames.
//
// The bulk stream carries configurations of up to a megabyte under its own flow control, so that
// they don't delay the digests and claims on the control stream. The digests are the heartbeat,
// so keep-alives are disabled in both yamux and TCP.
package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// protocolVersion is the version in the hello. A link between instances of different versions
// is refused.
const protocolVersion = 2

// Timeouts and intervals of a link.
const (
	dialTimeout = 2 * time.Second
	// helloTimeout bounds the wait for the hello on a new connection.
	helloTimeout = 3 * time.Second
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// linkCheckInterval is the interval at which the goroutine that keeps a peer connected checks
	// an existing link that it did not dial itself.
	linkCheckInterval = time.Second
)

// Limits on connections that other hosts open.
const (
	// maxLinks is above the number of links that the largest layout requires, plus the links of
	// all other instances to the owner of a partition of the claims ledger.
	maxLinks = 512
	// maxPendingHandshakes bounds the accepted connections that have not completed the handshake.
	maxPendingHandshakes = 64
)

// Config describes this instance to its peers and sets the parameters of its links.
type Config struct {
	// Fleet is the name of the fleet. Links to instances of another fleet are refused.
	Fleet       string
	Name        string
	Zone        string
	Incarnation uint64
	// Listener accepts connections from peers. Run closes it.
	Listener net.Listener
	// Seeds are addresses of instances whose names need not be known. An instance that starts
	// while the platform is unreachable joins the fleet through them.
	Seeds []string
	// Post passes events to the core. It may block.
	Post func(core.Event)
	// Relay serves a request to relay a connection until that ends; nil if this instance does not relay.
	Relay func(ctx context.Context, r *RelayRequest) error
	// IdleLimit is the time without a frame on the control stream after which a link is closed.
	// 0 selects the default.
	IdleLimit time.Duration
	// DialDelay is how long the instance with the greater name of a pair waits for the other one
	// to dial. 0 selects the default.
	DialDelay time.Duration
}

const (
	// defaultIdleLimit is several times the longest interval between digests.
	defaultIdleLimit = 15 * time.Second
	// defaultDialDelay is longer than the usual delay until an instance appears in the peer list
	// of the other one.
	defaultDialDelay = 5 * time.Second
)

// Links manages the links of this instance. SetPeers and Send never block.
type Links struct {
	cfg               Config
	stats             Stats
	configCache       deflateCache
	changed           chan struct{}
	pendingHandshakes chan struct{}

	mu     sync.Mutex
	wanted map[string]core.PeerAddress
	links  map[string]*link
}

// New returns the links of an instance. Run establishes them.
func New(cfg Config) *Links {
	if cfg.IdleLimit == 0 {
		cfg.IdleLimit = defaultIdleLimit
	}
	if cfg.DialDelay == 0 {
		cfg.DialDelay = defaultDialDelay
	}
	return &Links{
		cfg:               cfg,
		changed:           make(chan struct{}, 1),
		pendingHandshakes: make(chan struct{}, maxPendingHandshakes),
		wanted:            make(map[string]core.PeerAddress),
		links:             make(map[string]*link),
	}
}

// Listen opens the port for peers with TCP keep-alives disabled.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	return lc.Listen(ctx, "tcp", address)
}

// Stats returns the counters of all links.
func (l *Links) Stats() *Stats { return &l.stats }

// SetPeers sets the peers to which links are maintained.
func (l *Links) SetPeers(peers []core.PeerAddress) {
	wanted := make(map[string]core.PeerAddress, len(peers))
	for _, p := range peers {
		wanted[p.Name] = p
	}
	l.mu.Lock()
	l.wanted = wanted
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Send queues a message on the link to a peer. If the peer has no link or the queue is full, the
// message is dropped and counted.
func (l *Links) Send(to string, m core.PeerMessage) {
	l.mu.Lock()
	link := l.links[to]
	l.mu.Unlock()
	if link == nil || !link.send(m) {
		l.stats.dropped(KindOf(m))
	}
}

// Run maintains the links until ctx is done.
func (l *Links) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.cfg.Listener.Close()
	})
	group.Go(func() error { return l.accept(ctx, group) })
	for _, seed := range l.cfg.Seeds {
		if seed == l.cfg.Listener.Addr().String() {
			continue
		}
		group.Go(func() error { return l.keepConnected(ctx, core.PeerAddress{Address: seed}) })
	}
	group.Go(func() error { return l.reconcile(ctx, group) })
	err := group.Wait()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// connector is the goroutine that keeps one peer connected.
type connector struct {
	address string
	cancel  context.CancelFunc
}

// reconcile starts and stops one goroutine per peer as the set of peers changes.
func (l *Links) reconcile(ctx context.Context, group *errgroup.Group) error {
	connectors := make(map[string]connector)
	for {
		wanted := l.wantedPeers()
		for name, c := range connectors {
			if wanted[name].Address != c.address {
				c.cancel()
				delete(connectors, name)
			}
		}
		for name, peer := range wanted {
			if _, held := connectors[name]; held {
				continue
			}
			ctx, cancel := context.WithCancel(ctx)
			connectors[name] = connector{address: peer.Address, cancel: cancel}
			group.Go(func() error { return l.keepConnected(ctx, peer) })
		}
		select {
		case <-ctx.Done():
			for _, c := range connectors {
				c.cancel()
			}
			return nil
		case <-l.changed:
		}
	}
}

func (l *Links) wantedPeers() map[string]core.PeerAddress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// keepConnected keeps a link to a peer until ctx is done. It retries with jittered
// exponential backoff, so that the instances don't all dial a recovered zone at once.
//
// The instance with the lesser name of a pair dials, so that the pair has one link and sends
// nothing twice. The other instance waits and dials only if no link is established: the peer may
// not know of it, for example if it started while the platform was unreachable. If a message waits for the link, it dials
// at once. A seed, whose
// name is not known, is dialed only while there is no link at all: a new link to a peer replaces
// the existing one, and two goroutines that dial the same peer would replace each other's links
// without end.
func (l *Links) keepConnected(ctx context.Context, peer core.PeerAddress) error {
	name, address := peer.Name, peer.Address
	backoff := minBackoff
	for {
		if name != "" && name < l.cfg.Name && !peer.DialAtOnce {
			if !sleep(ctx, l.cfg.DialDelay) {
				return nil
			}
		}
		if l.hasLink(name) {
			if !sleep(ctx, linkCheckInterval) {
				return nil
			}
			continue
		}
		started := time.Now()
		err := l.dial(ctx, name, address)
		if ctx.Err() != nil {
			return nil
		}
		klog.V(1).InfoS("peer link down; retrying", "peer", name, "address", address, "error", err)
		if time.Since(started) > 2*maxBackoff {
			backoff = minBackoff
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// hasLink reports whether the peer has a link. For a seed, which has no name, it reports whether
// any peer has a link.
func (l *Links) hasLink(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if name == "" {
		return len(l.links) > 0
	}
	return l.links[name] != nil
}

// sleep waits for d or until ctx is done. It reports whether the full time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *Links) dial(ctx context.Context, name, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return l.serveConn(ctx, conn, name, true)
}

func (l *Links) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := l.cfg.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return err
			}
			// The process may be out of file descriptors. Existing links are not affected.
			klog.ErrorS(err, "failed to accept a peer connection")
			time.Sleep(minBackoff)
			continue
		}
		select {
		case l.pendingHandshakes <- struct{}{}:
		default:
			l.stats.rejected()
			_ = conn.Close()
			continue
		}
		group.Go(func() error {
			if err := l.serveConn(ctx, conn, "", false); err != nil {
				klog.V(1).InfoS("peer link closed", "remote", conn.RemoteAddr().String(), "error", err)
			}
			return nil
		})
	}
}
