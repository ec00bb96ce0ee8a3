package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// endCheckTimeout limits the check whether a backend server has ended, for which a retry waits.
// A machine whose process has ended refuses a connection within one round trip.
const endCheckTimeout = 100 * time.Millisecond

// unframedEndChecks is the number of checks, each of which may time out, before a response without a length or chunks
// passes for whole although its server could not be checked. A busy machine may refuse a connection late.
const unframedEndChecks = 10

// endChecker finds out whether the process of a backend server has ended.
//
// A connection that closes early does not show that: the server may have closed it, its reply
// may be lost, or a device on the path may have reset it. After the end of the process, its
// machine also refuses new connections to the address. A server that is frozen or cut off
// refuses nothing. As a device on this instance's own path may refuse connections as well, peers are
// asked to connect too; the core decides.
type endChecker struct {
	countDial func(DialReason)
	// relays is nil if this instance uses no relays.
	relays RelayDialer
	// connect opens and closes a connection to an address.
	connect func(address string) error
	// dials merges the checks of all requests that the end of one server breaks.
	dials singleflight.Group
}

// endCheck is the result of a check.
type endCheck struct {
	// refused is set if the server's machine refused a connection, and connected if the server accepted one.
	refused, connected bool
	// timedOut is set if neither was known in time.
	timedOut bool
	// found is what the attempt's relays found if this instance was refused.
	found []paths.Observation
}

// ended reports whether the server has ended, as far as this instance and the relays can tell.
func (e endCheck) ended() bool {
	return e.refused && !slices.ContainsFunc(e.found, func(o paths.Observation) bool { return o.Result == paths.Connected })
}

// endDial is a dial that checks share.
type endDial struct {
	startedAt time.Time
	err       error
	// found is what the relays found if this instance was refused.
	found []paths.Observation
}

// check finds out whether the backend server of an attempt refuses a connection, after one to it has ended. A dial that
// was in progress already does not count if it connected: the server may have accepted it before its end.
func (c *endChecker) check(attempt *core.SendAttempt) endCheck {
	startedAt := time.Now()
	d := c.dial(attempt)
	if d.err == nil && d.startedAt.Before(startedAt) {
		d = c.dial(attempt)
	}
	if !errors.Is(d.err, syscall.ECONNREFUSED) {
		return endCheck{connected: d.err == nil, timedOut: isTimeout(d.err)}
	}
	return endCheck{refused: true, found: d.found}
}

// dial dials the backend server of an attempt, or joins another check's dial in progress.
func (c *endChecker) dial(attempt *core.SendAttempt) endDial {
	shared, _, _ := c.dials.Do(attempt.Address, func() (any, error) {
		d := endDial{startedAt: time.Now()}
		c.countDial(EndCheck)
		d.err = c.connect(attempt.Address)
		d.found = c.askRelays(attempt, d.err)
		return d, nil
	})
	return shared.(endDial)
}

// checkUnframed checks a server that has closed the connection of a response without a length or chunks, again while
// that times out.
func (c *endChecker) checkUnframed(attempt *core.SendAttempt) endCheck {
	check := c.check(attempt)
	for n := 1; n < unframedEndChecks && check.timedOut; n++ {
		check = c.check(attempt)
	}
	return check
}

// connectOnce opens and closes a connection to an address.
func connectOnce(address string) error {
	conn, err := net.DialTimeout("tcp", address, endCheckTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// askRelays asks the attempt's relays to connect to the backend server if this instance was refused.
func (c *endChecker) askRelays(attempt *core.SendAttempt, err error) []paths.Observation {
	if c.relays == nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	found := make([]paths.Observation, len(attempt.Dial.Relays))
	var group errgroup.Group
	for i, relay := range attempt.Dial.Relays {
		group.Go(func() error {
			conn, err := c.relays.DialContext(ctx, relay, attempt.Address)
			found[i] = paths.Observation{Relay: relay.Name, Result: paths.ResultOf(err)}
			if err == nil {
				return conn.Close()
			}
			return nil
		})
	}
	// An error of Close changes nothing: the relay has connected.
	_ = group.Wait()
	return found
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
