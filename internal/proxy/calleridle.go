package proxy

import (
	"slices"
	"time"
)

// Closing callers' idle connections.
const (
	// idleSweepInterval is the interval at which connections over the operators' idle timeout are closed.
	idleSweepInterval = time.Second
	// roomShare is the part of MaxConns, as a divisor, that is kept free by closing idle connections.
	roomShare = 16
	// minRoomIdle is how long a connection must have been idle to be closed for room. A caller that sends its next request at
	// once would only connect again.
	minRoomIdle = 500 * time.Millisecond
	// minRoomInterval is the minimum time between two searches for idle connections.
	minRoomInterval = 20 * time.Millisecond
)

// IdleClose is why an idle connection of a caller is closed.
type IdleClose string

// The reasons for closing an idle connection.
const (
	// IdleTimeout means that the operators' idle timeout has passed.
	IdleTimeout IdleClose = "idle-timeout"
	// ForRoom means that connections or descriptors are short.
	ForRoom IdleClose = "room"
)

// IdleCloses lists all reasons for closing an idle connection.
var IdleCloses = []IdleClose{IdleTimeout, ForRoom}

// CallerConns returns the number of callers' connections.
func (s *Server) CallerConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// nearLimit is the number of connections from which idle ones are closed.
func (s *Server) nearLimit() int { return s.options.MaxConns - s.options.MaxConns/roomShare }

// makeRoom closes the connections that have been idle for longest, a few at a time.
func (s *Server) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLongestIdle(max(1, s.options.MaxConns/roomShare/2))
}

// closeLongestIdle closes up to count connections, those that have been idle for longest. The server's mutex must be held.
func (s *Server) closeLongestIdle(count int) {
	now := time.Now()
	if now.Sub(s.roomMadeAt) < minRoomInterval {
		return
	}
	s.roomMadeAt = now
	limit := now.Add(-minRoomIdle)
	var idle []time.Time
	for c := range s.conns {
		if since, ok := c.idleSinceBefore(limit); ok {
			idle = append(idle, since)
		}
	}
	if len(idle) == 0 {
		return
	}
	slices.SortFunc(idle, time.Time.Compare)
	s.retireIdle(idle[min(count, len(idle))-1], ForRoom)
}

// sweepIdle closes the connections that have been idle for longer than the operators allow, until stop is closed.
func (s *Server) sweepIdle(stop <-chan struct{}) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if limit := time.Duration(s.limits.load().IdleTimeout); limit > 0 {
				s.mu.Lock()
				s.retireIdle(now.Add(-limit), IdleTimeout)
				s.mu.Unlock()
			}
		}
	}
}

// retireIdle closes the connections that have been idle since t or earlier. The server's mutex must be held.
func (s *Server) retireIdle(t time.Time, why IdleClose) {
	for c := range s.conns {
		if c.retire(t) {
			s.options.Metrics.IdleClosed(why)
		}
	}
}

// idleSinceBefore returns since when the connection has been idle, if that is before t and it is not being closed already.
func (c *callerConn) idleSinceBefore(t time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.idleSince.IsZero() && c.idleSince.Before(t) && !c.retired
}
