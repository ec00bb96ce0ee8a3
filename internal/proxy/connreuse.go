package proxy

import (
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Rules for reusing a pooled connection.
//
// A request that must run at most once is sent only once. If its connection turns out to
// be dead, it is unknown whether the request ran, and the caller receives an error. If a
// connection cannot be opened, the request has certainly not been sent and moves to
// another server. A pooled connection is therefore reused only if the two ways in which
// it can fail unnoticed are ruled out: the server closes it at the end of its idle
// timeout while the request is in flight, or the network path is cut silently. A server
// that is killed resets its connections, which is detected before the next use.
const (
	// keepAliveMargin is subtracted from the idle timeout that a server announces. Servers
	// announce whole seconds, so the actual timeout may be up to one second shorter.
	keepAliveMargin = time.Second
	// maxZoneSilence is the time without bytes from any server of a zone after which pooled
	// connections to the zone are not reused. It equals the time in which a new connection
	// detects that the path is cut. A silent cut then loses only the requests sent within
	// this time; without the rule it would lose one request per pooled connection. If a
	// zone sends less often than this, new connections are opened, which is safe.
	maxZoneSilence = 150 * time.Millisecond
	// maxKeepAlive is the idle time after which the pool closes a connection, even if its
	// server announced a longer timeout.
	maxKeepAlive = 30 * time.Second
)

// DialReason is why a connection to a backend server was opened.
type DialReason string

// The reasons for opening a connection.
const (
	// NoneIdle means that the pool held no idle connection.
	NoneIdle DialReason = "none-idle"
	// ServerClosed means that the server had closed the pooled connection or sent
	// unexpected bytes on it.
	ServerClosed DialReason = "server-closed"
	// IdleTooLong means that the server might close the pooled connection at any moment.
	IdleTooLong DialReason = "idle-too-long"
	// ZoneSilent means that no bytes have arrived from the server's zone recently, so the
	// network path may be cut.
	ZoneSilent DialReason = "zone-silent"
	// Relayed means that a peer relays the connection, because none could be opened directly or its
	// path is known to be lost.
	Relayed DialReason = "relayed"
	// SameRequest means that the pooled connection had carried an earlier attempt of the request: a late copy of the response to
	// that one could not be told from the response to this one.
	SameRequest DialReason = "same-request"
	// UsedUp means that the pooled connection had carried as many requests as are remembered.
	UsedUp DialReason = "used-up"
	// EndCheck means that a connection had closed early, and that the dial was to show whether the
	// server has ended.
	EndCheck DialReason = "end-check"
)

// DialReasons lists all reasons for opening a connection.
var DialReasons = []DialReason{NoneIdle, ServerClosed, IdleTooLong, ZoneSilent, SameRequest, UsedUp, Relayed, EndCheck}

// unusableReason returns the reason why the connection must not be reused, or "" if it may be.
func (c *backendConn) unusableReason(zone *zoneActivity, now time.Time) DialReason {
	switch {
	case now.Sub(c.idleSince) > c.maxIdle():
		return IdleTooLong
	case zone.silence(now) > maxZoneSilence:
		return ZoneSilent
	case !c.openAndSilent():
		return ServerClosed
	default:
		return ""
	}
}

// hasBytes reports whether bytes have arrived on an idle connection, which belong to no request.
func (c *backendConn) hasBytes() bool {
	_, hasBytes := c.peek()
	return hasBytes
}

// maxIdle returns the longest idle time after which the connection may be reused.
func (c *backendConn) maxIdle() time.Duration {
	if c.keepAlive == 0 {
		return c.defaultKeepAlive
	}
	return c.keepAlive - keepAliveMargin
}

// openAndSilent reports whether an idle connection is open and has no bytes to read.
//
// A backend server may close a pooled connection at any time, and a late response to an
// abandoned request would be taken for the response to the next request. Both are
// detected by a read, without consuming bytes, on a connection that must be silent.
func (c *backendConn) openAndSilent() bool {
	silent, _ := c.peek()
	return silent
}

// peek reports whether the connection is open and silent, or has bytes to read.
func (c *backendConn) peek() (silent, hasBytes bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent, hasBytes = errors.Is(err, syscall.EAGAIN), err == nil && n > 0
		return true
	})
	return err == nil && silent, err == nil && hasBytes
}

// parseKeepAlive returns the idle timeout that a server announces in its Keep-Alive
// header, or 0 if it announces none.
func parseKeepAlive(h *fasthttp.ResponseHeader) time.Duration {
	for field := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(min(seconds, int(maxKeepAlive.Seconds()))) * time.Second
		}
	}
	return 0
}

// zoneActivity holds the time at which bytes last arrived from the backend servers of a
// zone, on any connection of this instance.
type zoneActivity struct {
	// lastRead is in nanoseconds since the Unix epoch by the core's clock; 0 means never.
	lastRead atomic.Int64
}

// recordRead records that bytes arrived at now.
func (z *zoneActivity) recordRead(now time.Time) { z.lastRead.Store(now.UnixNano()) }

// silence returns the time since bytes last arrived.
func (z *zoneActivity) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, z.lastRead.Load()))
}

// zoneActivities holds the activity of each zone. Entries are never removed, because
// operators configure few zones.
type zoneActivities struct {
	mu     sync.Mutex
	byName map[string]*zoneActivity
}

func newZoneActivities() *zoneActivities {
	return &zoneActivities{byName: make(map[string]*zoneActivity)}
}

// get returns the entry of a zone and creates it if necessary.
func (z *zoneActivities) get(name string) *zoneActivity {
	z.mu.Lock()
	defer z.mu.Unlock()
	activity := z.byName[name]
	if activity == nil {
		activity = &zoneActivity{}
		z.byName[name] = activity
	}
	return activity
}
