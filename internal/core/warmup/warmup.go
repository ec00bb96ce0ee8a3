// Package warmup decides which backend servers are cold, and how many requests a second may be sent to one of them.
//
// A server that has just started ends if it gets more requests a second than it tolerates, summed over all instances. For
// each cold server one instance, the issuer, permits requests. Two issuers at once stay within the bound together, since
// each grants at most half of it.
package warmup

import (
	"math"
	"time"
)

const (
	// window is the time in which an issuer grants at most its limit. It exceeds the second of the bound by the time that
	// passes between a grant and the arrival of its request: at most AskTimeout, and the way to the server.
	window = time.Second + 100*time.Millisecond
	// endMemory is the time for which the end of a cold server lowers its limit.
	endMemory = time.Minute
	// maxRemainingFactor is the remaining time in an entry, as a multiple of the service's duration, above which it is
	// considered invalid.
	maxRemainingFactor = 10
	// bothIssuers is the number of issuers that must stay within the bound together.
	bothIssuers = 2
)

// Limits are the limits on requests to the cold servers of a service. The zero value means that there are none.
type Limits struct {
	// Duration is the time for which a server is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold server tolerates.
	PerSecond float64
	// Bound is the number of requests that it may get in any second.
	Bound float64
}

// Active reports whether there are limits.
func (l Limits) Active() bool { return l.Duration > 0 && l.PerSecond > 0 }

// Remaining returns the remaining time of a warm-up as stated in an entry, and reports whether it is valid. An invalid time is limited
// to the service's duration.
func (l Limits) Remaining(stated time.Duration) (time.Duration, bool) {
	remaining := max(0, stated)
	if stated < 0 || l.Active() && remaining > maxRemainingFactor*l.Duration {
		return min(remaining, l.Duration), false
	}
	return remaining, true
}

// Permits returns the number of requests that an issuer grants in a window to a server that has ended a number of times
// while it was cold.
func (l Limits) Permits(ends int) int {
	permits := math.Floor(min(l.PerSecond, l.Bound/bothIssuers))
	for range ends {
		if permits <= 1 {
			break
		}
		permits = math.Floor(permits / 2)
	}
	return int(max(1, permits))
}

// Issuer holds the permits that this instance has granted lately. It is not safe for concurrent use.
type Issuer struct {
	// granted holds the times of the grants within the last window, by server, oldest first.
	granted map[string][]time.Time
}

// NewIssuer returns an issuer that has granted nothing.
func NewIssuer() *Issuer { return &Issuer{granted: make(map[string][]time.Time)} }

// Grant reports whether another request may be sent to a server, and counts it if so.
func (i *Issuer) Grant(server string, permits int, now time.Time) bool {
	if i.Granted(server, now) >= permits {
		return false
	}
	i.granted[server] = append(i.granted[server], now)
	return true
}

// Granted returns the number of permits granted within the last window.
func (i *Issuer) Granted(server string, now time.Time) int {
	list := i.granted[server]
	for len(list) > 0 && now.Sub(list[0]) >= window {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(i.granted, server)
		return 0
	}
	i.granted[server] = list
	return len(list)
}

// Expire forgets the grants of servers that have had none within the last window.
func (i *Issuer) Expire(now time.Time) {
	for server := range i.granted {
		i.Granted(server, now)
	}
}
