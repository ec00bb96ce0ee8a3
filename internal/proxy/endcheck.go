package proxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
)

// endCheckTimeout limits the check whether a backend server has ended, for which a retry waits.
// A machine whose process has ended refuses a connection within one round trip.
const endCheckTimeout = 100 * time.Millisecond

// endChecker finds out whether the process of a backend server has ended.
//
// A connection that closes early does not show that: the server may have closed it, its reply
// may be lost, or a device on the path may have reset it. After the end of the process, its
// machine also refuses new connections to the address. A server that is frozen or cut off
// refuses nothing.
type endChecker struct {
	countDial func(DialReason)
	// dials merges the checks of all requests that the end of one server breaks.
	dials singleflight.Group
}

// ended reports whether the server at the address has ended, given the error with which a
// connection to it ended.
func (c *endChecker) ended(address string, err error) bool {
	if !closedByPeer(err) {
		return false
	}
	_, dialErr, _ := c.dials.Do(address, func() (any, error) {
		c.countDial(EndCheck)
		conn, err := net.DialTimeout("tcp", address, endCheckTimeout)
		if err != nil {
			return nil, err
		}
		return nil, conn.Close()
	})
	return errors.Is(dialErr, syscall.ECONNREFUSED)
}

// closedByPeer reports whether an error means that the other end closed or reset the connection,
// as opposed to a timeout or to a call that this instance cancelled.
func closedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errUnframed, errNoEndMark} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
