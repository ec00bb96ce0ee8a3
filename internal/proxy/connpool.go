package proxy

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// errNoIdleConn means that the client library's pool holds no idle connection to a server.
var errNoIdleConn = errors.New("proxy: no idle connection")

// connPool lets the client library keep idle connections that the proxy opens itself. The library
// would open them directly only; its dial function instead returns the connection that is being adopted,
// or errNoIdleConn.
type connPool struct {
	mu       sync.Mutex
	adopting net.Conn
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
	return pooledConn{conn: conn, release: func(reuse bool) {
		if reuse {
			hc.ReleaseConn(cc)
			return
		}
		hc.CloseConn(cc)
	}}, nil
}
