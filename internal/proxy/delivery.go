package proxy

import (
	"errors"
	"net"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/dial"
)

// A server that breaks off in the middle of a request may close its side of the connection in order before it resets the connection.
// The reads then end as they do behind a whole response without a length. What has become of the request tells the two apart.

const (
	// deliveryTimeout limits the time without an acknowledgement of further bytes of a request whose response has ended: the
	// kernel sends what was lost again within it.
	deliveryTimeout = time.Second
	// deliveryInterval is the interval at which the kernel is asked.
	deliveryInterval = 2 * time.Millisecond
)

// awaitDelivery waits until the server's machine has acknowledged the whole request, and reports whether it did without a reset of the
// connection. A connection that does not tell counts as one on which it did, unless this instance has closed it.
func (c *backendConn) awaitDelivery(deadline time.Time) bool {
	acknowledged, since := uint64(0), time.Now()
	for time.Now().Before(deadline) {
		d, err := dial.DeliveryOf(c.Conn)
		switch {
		case errors.Is(err, net.ErrClosed):
			return false
		case err != nil:
			return true
		case d.WasReset:
			return false
		case d.Complete:
			return true
		case d.Acknowledged > acknowledged:
			acknowledged, since = d.Acknowledged, time.Now()
		case time.Since(since) > deliveryTimeout:
			return false
		}
		time.Sleep(deliveryInterval)
	}
	return false
}
