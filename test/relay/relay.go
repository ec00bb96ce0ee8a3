// Package relay is a TCP relay with faults to order, for tests of what a broken
// network does between two parties.
package relay

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// NoLimit lets a direction carry any number of bytes.
const NoLimit = -1

// Relay passes connections on to one target.
type Relay struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	resume *sync.Cond
	faults Faults
	conns  map[net.Conn]struct{}
}

// Faults are what the relay does to connections. The zero value cuts at once;
// begin from None.
type Faults struct {
	// Delay holds back each piece of data.
	Delay time.Duration
	// Frozen carries nothing and closes nothing, like a cut cable.
	Frozen bool
	// Refuse closes new connections at once.
	Refuse bool
	// CutForward and CutBack are how many bytes a connection carries to the target
	// and back before it is reset, or NoLimit.
	CutForward, CutBack int
	// Once heals the relay after the first connection that is cut.
	Once bool
}

// None is a sound network.
var None = Faults{CutForward: NoLimit, CutBack: NoLimit}

// Start returns a relay to target.
func Start(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: l, faults: None, conns: make(map[net.Conn]struct{})}
	r.resume = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the faults, for open connections too.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	r.resume.Broadcast()
}

// Cut resets every open connection.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Set(None)
	r.Cut()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

func (r *Relay) carry(near net.Conn) {
	if r.current().Refuse {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	r.hold(near, far)
	var both sync.WaitGroup
	both.Go(func() { r.pipe(far, near, func(f Faults) int { return f.CutForward }) })
	both.Go(func() { r.pipe(near, far, func(f Faults) int { return f.CutBack }) })
	both.Wait()
	r.drop(near, far)
}

// pipe carries one direction until its end, or resets both at its limit.
func (r *Relay) pipe(to, from net.Conn, limit func(Faults) int) {
	buffer := make([]byte, 4096)
	carried := 0
	for {
		n, err := from.Read(buffer)
		f := r.wait()
		left := limit(f)
		if n > 0 && left != NoLimit && carried+n >= left {
			_, _ = to.Write(buffer[:max(0, left-carried)])
			if f.Once {
				r.Set(None)
			}
			time.Sleep(time.Millisecond)
			reset(to)
			reset(from)
			return
		}
		carried += n
		time.Sleep(f.Delay)
		if _, werr := to.Write(buffer[:n]); werr != nil {
			reset(from)
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// wait returns the faults in force, once the relay is not frozen.
func (r *Relay) wait() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.faults.Frozen {
		r.resume.Wait()
	}
	return r.faults
}

func (r *Relay) current() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *Relay) hold(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		_ = c.Close()
	}
}

// reset closes a connection so that the other end reads a reset, not an end.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
