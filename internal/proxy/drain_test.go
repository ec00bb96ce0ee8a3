package proxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// balancer is a tiny stand-in for the platform's. It sends a request again only
// when its connection was refused; whatever else fails is a lost request.
type balancer struct {
	mu        sync.Mutex
	addresses []string
	next      int

	whole   atomic.Int64
	refused atomic.Int64
	lost    atomic.Int64
	losses  chan error
}

func (b *balancer) add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = append(b.addresses, address)
}

func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, a := range b.addresses {
		if a == address {
			b.addresses = append(b.addresses[:i:i], b.addresses[i+1:]...)
			return
		}
	}
}

// connect opens a connection to the next instance that does not refuse it.
func (b *balancer) connect() (net.Conn, error) {
	for {
		b.mu.Lock()
		b.next++
		address := b.addresses[b.next%len(b.addresses)]
		b.mu.Unlock()
		conn, err := net.DialTimeout("tcp", address, waitFor)
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		return conn, err
	}
}

// worker sends requests until stop is closed: each on a new connection, or on one
// that it keeps until an answer asks to close it, with a pause between two.
func (b *balancer) worker(stop <-chan struct{}, newRequest func() *http.Request, keep bool, pause time.Duration) {
	var conn net.Conn
	for {
		select {
		case <-stop:
			return
		default:
		}
		if conn != nil && closed(conn) {
			conn = nil
		}
		if conn == nil {
			var err error
			if conn, err = b.connect(); err != nil {
				b.lose(fmt.Errorf("connect: %w", err))
				continue
			}
		}
		again, err := b.once(conn, newRequest())
		if err != nil {
			b.lose(err)
		}
		if !again || !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(pause)
	}
}

func (b *balancer) lose(err error) {
	b.lost.Add(1)
	select {
	case b.losses <- err:
	default:
	}
}

// closed tells whether the other end closed an idle connection.
func closed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Microsecond))
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// once sends one request and tells whether the connection may be used again.
func (b *balancer) once(conn net.Conn, req *http.Request) (bool, error) {
	if err := req.Write(conn); err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return false, fmt.Errorf("read header: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, fmt.Errorf("read body: %w", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		b.whole.Add(1)
	case resp.Header.Get(proxy.HeaderOutcome) == string(reason.NotRun):
		b.refused.Add(1)
	default:
		return false, fmt.Errorf("status %d, %s", resp.StatusCode, resp.Header.Get(proxy.HeaderReason))
	}
	return !resp.Close, nil
}

// load runs workers of every kind and returns what ends them.
func (b *balancer) load(t *testing.T, width int) (stop func()) {
	done := make(chan struct{})
	var workers sync.WaitGroup
	run := func(keep bool, pause time.Duration, stream bool) {
		workers.Go(func() {
			b.worker(done, func() *http.Request { return newChat(t, "http://fleet", stream, nil) }, keep, pause)
		})
	}
	for range width {
		run(false, 0, false)
		run(true, 0, false)
		run(true, 0, true)
		run(true, 70*time.Millisecond, false)
	}
	return func() {
		close(done)
		workers.Wait()
	}
}

// requireNoLoss reports the counts, and the first losses.
func (b *balancer) requireNoLoss(t *testing.T) {
	t.Helper()
	t.Logf("whole %d, refused %d, lost %d", b.whole.Load(), b.refused.Load(), b.lost.Load())
	for range min(3, len(b.losses)) {
		t.Log(<-b.losses)
	}
	require.Zero(t, b.lost.Load(), "requests lost")
	require.Zero(t, b.refused.Load(), "requests refused by the stop")
	require.NotZero(t, b.whole.Load())
}

const (
	// balancerLag is how late the balancer hears of readiness; it is longer than
	// the accept delay of the instances.
	balancerLag = 250 * time.Millisecond
	fleetSize   = 8
)

// rollingFleet is a fleet of instances behind a balancer, the oldest first.
type rollingFleet struct {
	t         *testing.T
	balancer  *balancer
	engines   []string
	instances []*instance
}

func (f *rollingFleet) start() {
	i := startInstance(f.t, fleetText(f.engines, nil), proxy.Options{
		DrainIdle:   100 * time.Millisecond,
		AcceptQuiet: 200 * time.Millisecond,
	})
	i.notReady = func() { time.AfterFunc(balancerLag, func() { f.balancer.remove(i.address) }) }
	f.instances = append(f.instances, i)
	f.balancer.add(i.address)
}

// replace starts n instances and stops the n oldest at once.
func (f *rollingFleet) replace(n int) {
	old := f.instances[:n]
	f.instances = f.instances[n:]
	for range n {
		f.start()
	}
	for _, i := range old {
		i.loop.Post(core.StopRequested{})
	}
	for _, i := range old {
		select {
		case <-i.stopped:
		case <-time.After(waitFor):
			f.t.Error("an instance did not stop")
		}
	}
}

// At every release some riders see a blank screen: a request was on a connection
// that the stopping instance closed, in the accept queue of its listener, or its
// stream was cut. All eight instances are replaced under load on new and kept
// connections, one after another and two at once, while the balancer goes on
// sending to a stopping one for longer than its accept delay. Nothing may be lost.
func TestRollingReplacementLosesNothing(t *testing.T) {
	_, engines := startEngines(t, 2, 2*time.Millisecond)
	f := &rollingFleet{t: t, balancer: &balancer{losses: make(chan error, 16)}, engines: engines}
	for range fleetSize {
		f.start()
	}
	stop := f.balancer.load(t, 4)
	for _, n := range []int{1, 1, 1, 1, 2, 2} {
		f.replace(n)
	}
	stop()
	f.balancer.requireNoLoss(t)
}

// A stream of a dossier review runs when its instance is told to stop, and a
// request arrives on an open connection after the listener is closed. Both get
// their whole answers; only then does the instance stop.
func TestStopWaitsForStreams(t *testing.T) {
	engines, addresses := startEngines(t, 1, 50*time.Millisecond)
	engines[0].Tokens = 20
	i := startInstance(t, fleetText(addresses, nil), proxy.Options{
		DrainIdle: 300 * time.Millisecond, AcceptQuiet: 10 * time.Millisecond,
	})
	kept := dial(t, i.address)
	b := &balancer{}
	again, err := b.once(kept, newChat(t, i.url, false, nil))
	require.NoError(t, err)
	require.True(t, again)
	long := dial(t, i.address)
	require.NoError(t, newChat(t, i.url, true, nil).Write(long))
	require.Eventually(t, func() bool { return engines[0].Stats().InFlight == 1 }, waitFor, poll)
	i.loop.Post(core.StopRequested{})
	<-i.closed
	_, err = net.Dial("tcp", i.address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	again, err = b.once(kept, newChat(t, i.url, false, nil))
	require.NoError(t, err)
	require.False(t, again, "an answer of a stopping instance asks to close the connection")
	resp, err := http.ReadResponse(bufio.NewReader(long), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, long.Close())
	require.Len(t, eventIDs(string(body)), 21)
	<-i.stopped
}

// A stopping instance closes an idle connection at the moment at which the
// balancer sends a request on it. The request can't be served any more, but it is
// told so: not run, because of the stop, and when to come back.
func TestRequestThatCrossesTheCloseIsTold(t *testing.T) {
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstance(t, fleetText(addresses, nil), proxy.Options{
		DrainIdle: 50 * time.Millisecond, AcceptQuiet: 10 * time.Millisecond,
	})
	conn := dial(t, i.address)
	b := &balancer{}
	_, err := b.once(conn, newChat(t, i.url, false, nil))
	require.NoError(t, err)
	i.loop.Post(core.StopRequested{})
	notice := bufio.NewReader(conn)
	_, err = notice.Peek(1)
	require.NoError(t, err, "the close comes with a notice")
	require.NoError(t, newChat(t, i.url, false, nil).Write(conn), "the request crosses the notice")
	resp, err := http.ReadResponse(notice, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Equal(t, string(reason.NotRun), resp.Header.Get(proxy.HeaderOutcome))
	require.Equal(t, string(reason.Stopping), resp.Header.Get(proxy.HeaderReason))
	require.NoError(t, conn.Close())
	<-i.stopped
}
