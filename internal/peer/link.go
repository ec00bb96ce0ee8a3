package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Bounds of one link.
const (
	// maxHello bounds the hello, the first frame of a connection, in bytes.
	maxHello = 1 << 10
	// controlQueueSize is enough for a few rounds of digests, or for the claims of one second
	// at high load.
	controlQueueSize = 256
	bulkQueueSize    = 4
	// writeTimeout is the time after which a link is closed if the peer accepts no bytes.
	writeTimeout = 5 * time.Second
)

// Errors for which a connection is refused as a link.
var (
	errWrongPeer        = errors.New("peer: unexpected instance at this address")
	errOtherFleet       = errors.New("peer: instance belongs to another fleet")
	errStaleIncarnation = errors.New("peer: a later incarnation is already connected")
	errTooManyLinks     = errors.New("peer: too many links")
)

// errUnfinished means that a frame is not complete within its time limit.
var errUnfinished = errors.New("peer: unfinished frame")

// link is a connection to a peer on which the handshake is complete.
type link struct {
	owner   *Links
	peer    *peerpb.Hello
	session *yamux.Session
	conn    *linkConn
	control chan core.PeerMessage
	bulk    chan core.PeerMessage
	// done is closed after the link has posted its last event.
	done chan struct{}
}

// send queues a message and reports whether the queue had room.
func (k *link) send(m core.PeerMessage) bool {
	queue := k.control
	if m.ConfigOffer != nil || m.EntriesOffer != nil {
		queue = k.bulk
	}
	select {
	case queue <- m:
		return true
	default:
		return false
	}
}

// serveConn performs the handshake on a connection, registers the link and serves it until it is
// closed.
func (l *Links) serveConn(ctx context.Context, raw net.Conn, name string, dialed bool) error {
	conn := &linkConn{Conn: &countingConn{Conn: raw, stats: &l.stats}}
	// Cancellation of ctx must also abort reads and writes in progress.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer func() { _ = raw.Close() }()
	first, err := l.handshake(conn)
	if !dialed {
		<-l.pendingHandshakes
	}
	if err != nil {
		if !dialed {
			l.stats.rejected()
		}
		return err
	}
	if first.RelayRequest != nil && !dialed {
		return l.serveRelay(ctx, raw, first.RelayRequest)
	}
	peer, err := checkHello(first)
	if err != nil {
		return err
	}
	if peer.Fleet != l.cfg.Fleet {
		// The address is now used by another fleet. If its revisions and generations happen to be
		// higher, this fleet would adopt its entries and configuration for good.
		l.stats.rejected()
		return errOtherFleet
	}
	if peer.Name == l.cfg.Name || (name != "" && peer.Name != name) {
		return errWrongPeer
	}
	conn.beginSession(func(err error) { l.endlessInput(peer.Name, err) })
	session, err := openSession(conn, dialed)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	k := &link{
		owner: l, peer: peer, session: session, conn: conn,
		control: make(chan core.PeerMessage, controlQueueSize),
		bulk:    make(chan core.PeerMessage, bulkQueueSize),
		done:    make(chan struct{}),
	}
	old, err := l.register(k)
	if err != nil {
		return err
	}
	if old != nil {
		// The peer made a new connection, so the old link is dead. The old link's last event must
		// precede the first event of the new one.
		_ = old.session.Close()
		<-old.done
	}
	return k.serve(ctx, dialed)
}

// handshake sends the hello and returns the peer's first frame: its hello, or a relay request. No other memory is allocated for a connection before its handshake is
// complete.
func (l *Links) handshake(conn net.Conn) (*peerpb.Frame, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	frame, err := NewEncoder().hello(&peerpb.Hello{
		Version: protocolVersion, Name: l.cfg.Name, Zone: l.cfg.Zone, Incarnation: l.cfg.Incarnation, Fleet: l.cfg.Fleet,
		KeepsStreams: true, IssuesPermits: true, KeepsHistory: true,
	})
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, fmt.Errorf("peer: hello: %w", err)
	}
	reply, err := readFrame(byteReader{conn}, maxHello)
	if err != nil {
		return nil, err
	}
	first, err := decodeFirstFrame(reply)
	if err != nil {
		return nil, err
	}
	return first, conn.SetDeadline(time.Time{})
}

// byteReader reads single bytes without buffering, so that the bytes after the hello remain on
// the connection.
type byteReader struct{ io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

func openSession(conn net.Conn, dialed bool) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.AcceptBacklog = 2
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	if dialed {
		return yamux.Client(conn, cfg)
	}
	return yamux.Server(conn, cfg)
}

// register makes k the link of its peer and returns the link that it replaces. It refuses an
// incarnation older than the connected one: a process that was frozen may dial after it has been
// replaced.
func (l *Links) register(k *link) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.links[k.peer.Name]
	if old != nil && old.peer.Incarnation > k.peer.Incarnation {
		return nil, errStaleIncarnation
	}
	if old == nil && len(l.links) >= maxLinks {
		return nil, errTooManyLinks
	}
	l.links[k.peer.Name] = k
	return old, nil
}

func (l *Links) unregister(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer.Name] == k {
		delete(l.links, k.peer.Name)
	}
}

// serve sends and receives messages until either side closes the link.
func (k *link) serve(ctx context.Context, dialed bool) error {
	defer close(k.done)
	post := k.owner.cfg.Post
	post(core.PeerConnected{Peer: k.peer.Name, Incarnation: k.peer.Incarnation, NoStreams: !k.peer.KeepsStreams, NoPermits: !k.peer.IssuesPermits, NoHistory: !k.peer.KeepsHistory})
	defer func() {
		k.owner.unregister(k)
		post(core.PeerLost{Peer: k.peer.Name})
	}()
	control, err := k.nextStream(ctx, dialed)
	if err != nil {
		return err
	}
	bulk, err := k.nextStream(ctx, dialed)
	if err != nil {
		return err
	}
	k.conn.addStream(control)
	k.conn.addStream(bulk)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.read(control, k.nextDigest) })
	group.Go(func() error { return k.read(bulk, k.nextBulkFrame) })
	group.Go(func() error { return k.write(ctx, control, k.control) })
	group.Go(func() error { return k.write(ctx, bulk, k.bulk) })
	group.Go(func() error {
		<-ctx.Done()
		return k.session.Close()
	})
	return group.Wait()
}

// nextStream opens or accepts the next stream. The control stream comes first, then the bulk
// stream.
func (k *link) nextStream(ctx context.Context, dialed bool) (*yamux.Stream, error) {
	if dialed {
		return k.session.OpenStream()
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return k.session.AcceptStreamWithContext(ctx)
}

// read posts the messages that the peer sends. It waits for the first byte of each with await, which also sets the time limit
// of the whole frame. An error closes the link; a closed link alone does not mark the peer as gone.
func (k *link) read(stream *yamux.Stream, await func(*yamux.Stream, *bufio.Reader) error) error {
	r := bufio.NewReader(stream)
	d := NewDecoder()
	for {
		if err := await(stream, r); err != nil {
			return err
		}
		frame, err := readFrame(r, maxFrame)
		if err != nil {
			return k.readError(err)
		}
		m, err := d.Decode(frame)
		if err != nil {
			return k.readError(err)
		}
		k.conn.limit.messageCompleted()
		k.owner.stats.received(KindOf(m), len(frame))
		if m.Digest != nil {
			m.Digest.Incarnation = k.peer.Incarnation
		}
		k.owner.cfg.Post(core.PeerReceived{From: k.peer.Name, Message: m})
	}
}

// nextDigest waits for a frame on the control stream. It returns an error if none is complete within the idle limit: the
// connection is half open, or the peer is frozen.
func (k *link) nextDigest(stream *yamux.Stream, r *bufio.Reader) error {
	if err := k.conn.setReadTimeout(stream, k.owner.cfg.IdleLimit); err != nil {
		return err
	}
	_, err := r.Peek(1)
	return err
}

// nextBulkFrame waits for a frame on the bulk stream, which may be idle for good. Once it has begun, it has to be complete
// within the idle limit.
func (k *link) nextBulkFrame(stream *yamux.Stream, r *bufio.Reader) error {
	if err := k.conn.clearReadTimeout(stream); err != nil {
		return err
	}
	if _, err := r.Peek(1); err != nil {
		return err
	}
	return k.conn.setReadTimeout(stream, k.owner.cfg.IdleLimit)
}

// readError counts and logs the error of a frame that has begun.
func (k *link) readError(err error) error {
	switch {
	case errors.Is(err, errFrame):
		k.owner.stats.badFrame()
	case errors.Is(err, yamux.ErrTimeout):
		err = fmt.Errorf("%w: %w", errUnfinished, err)
		k.owner.endlessInput(k.peer.Name, err)
	}
	return err
}

// endlessInput counts and logs that a link is closed because no message of its peer ends.
func (l *Links) endlessInput(peer string, err error) {
	l.stats.endlessInput()
	klog.InfoS("peer link closed: its bytes complete no message", "peer", peer, "error", err)
}

// write sends the queued messages. The link is closed if the peer accepts no bytes for
// writeTimeout. Until then messages that find the queue full are dropped, so senders never block.
func (k *link) write(ctx context.Context, stream *yamux.Stream, queue <-chan core.PeerMessage) error {
	e := newEncoder(&k.owner.configCache)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-queue:
			frame, err := e.Encode(m)
			if err != nil {
				k.owner.stats.dropped(KindOf(m))
				return err
			}
			if err := k.conn.setWriteTimeout(stream, writeTimeout); err != nil {
				return err
			}
			if _, err := stream.Write(frame); err != nil {
				return fmt.Errorf("peer: write: %w", err)
			}
			k.owner.stats.sent(KindOf(m), len(frame))
		}
	}
}
