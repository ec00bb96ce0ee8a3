package proxy

import (
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// idleCheckInterval is the interval at which idle connections are checked: what a server sends on one belongs to no
// response, and would fill the kernel's buffers.
const idleCheckInterval = time.Second

// distrustTime is the time for which connections to a server are not used again after it has sent more than a response on
// one: such bytes may arrive just as the next request is sent, which would then be lost.
const distrustTime = 10 * time.Second

// errNoIdleConn means that the client library's pool holds no idle connection to a server.
var errNoIdleConn = errors.New("proxy: no idle connection")

// connPool lets the client library keep idle connections that the proxy opens itself. The library
// would open them directly only; its dial function instead returns the connection that is being adopted,
// or errNoIdleConn.
type connPool struct {
	mu       sync.Mutex
	adopting net.Conn

	// idleMu guards idleConns, the addresses of the connections that no call uses, and idleCheck, which checks them, nil before
	// the first one. It is scheduled while there are any.
	idleMu    sync.Mutex
	idleConns map[*backendConn]string
	idleCheck *time.Timer
	// distrusted holds the times until which connections to addresses are not used again. It is guarded by idleMu.
	distrusted map[string]time.Time
}

// pooledConn is a connection of the pool. Release returns it to the pool if reuse is set, or closes it.
type pooledConn struct {
	conn    *backendConn
	release func(reuse bool)
}

// dial is the library's dial function. It is called with mu held.
func (p *connPool) dial(string, time.Duration) (net.Conn, error) {
	conn := p.adopting
	p.adopting = nil
	if conn == nil {
		return nil, errNoIdleConn
	}
	return conn, nil
}

// idle returns an idle connection, or errNoIdleConn.
func (p *connPool) idle(hc *fasthttp.HostClient) (pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acquire(hc)
}

// adopt makes a new connection one of the pool's.
func (p *connPool) adopt(hc *fasthttp.HostClient, conn *backendConn) (pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopting = conn
	var idle []pooledConn
	defer func() {
		p.adopting = nil
		for _, c := range idle {
			c.release(true)
		}
	}()
	for {
		c, err := p.acquire(hc)
		if err != nil {
			return pooledConn{}, errors.Join(err, conn.Close())
		}
		if c.conn == conn {
			return c, nil
		}
		// The library prefers a connection that became idle in the meantime.
		idle = append(idle, c)
	}
}

func (p *connPool) acquire(hc *fasthttp.HostClient) (pooledConn, error) {
	cc, err := hc.AcquireConn(time.Second, false)
	if err != nil {
		return pooledConn{}, err
	}
	conn, ok := cc.Conn().(*backendConn)
	if !ok {
		hc.CloseConn(cc)
		return pooledConn{}, errors.New("proxy: unexpected connection type")
	}
	p.removeIdle(conn)
	return pooledConn{conn: conn, release: func(reuse bool) {
		if reuse {
			p.addIdle(conn, hc.Addr)
			hc.ReleaseConn(cc)
			return
		}
		hc.CloseConn(cc)
	}}, nil
}

// addIdle records that no call uses a connection.
func (p *connPool) addIdle(conn *backendConn, address string) {
	p.idleMu.Lock()
	defer p.idleMu.Unlock()
	if p.idleConns == nil {
		p.idleConns = make(map[*backendConn]string)
	}
	p.idleConns[conn] = address
	if len(p.idleConns) > 1 {
		return
	}
	if p.idleCheck == nil {
		p.idleCheck = time.AfterFunc(idleCheckInterval, p.checkIdle)
		return
	}
	p.idleCheck.Reset(idleCheckInterval)
}

// removeIdle records that a call is about to use a connection.
func (p *connPool) removeIdle(conn *backendConn) {
	p.idleMu.Lock()
	defer p.idleMu.Unlock()
	delete(p.idleConns, conn)
}

// checkIdle closes the idle connections that have ended or on which bytes have arrived.
func (p *connPool) checkIdle() {
	p.idleMu.Lock()
	defer p.idleMu.Unlock()
	for conn, address := range p.idleConns {
		silent, hasBytes := conn.peek()
		if silent {
			continue
		}
		if hasBytes {
			p.setDistrusted(address, conn.now())
		}
		conn.reset()
		delete(p.idleConns, conn)
	}
	maps.DeleteFunc(p.distrusted, func(_ string, until time.Time) bool { return time.Now().After(until) })
	if len(p.idleConns) > 0 {
		p.idleCheck.Reset(idleCheckInterval)
	}
}

// distrust records that a server has sent more than a response.
func (p *connPool) distrust(address string, now time.Time) {
	p.idleMu.Lock()
	defer p.idleMu.Unlock()
	p.setDistrusted(address, now)
}

// setDistrusted is distrust for callers that hold idleMu.
func (p *connPool) setDistrusted(address string, now time.Time) {
	if p.distrusted == nil {
		p.distrusted = make(map[string]time.Time)
	}
	p.distrusted[address] = now.Add(distrustTime)
}

// trusts reports whether connections to a server may be used again.
func (p *connPool) trusts(address string, now time.Time) bool {
	p.idleMu.Lock()
	defer p.idleMu.Unlock()
	until, distrusted := p.distrusted[address]
	if distrusted && !now.Before(until) {
		delete(p.distrusted, address)
	}
	return !distrusted || !now.Before(until)
}
