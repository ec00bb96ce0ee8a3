package proxy

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// ConnPhase is the phase of the request on a caller's connection, for logging.
type ConnPhase string

// The phases.
const (
	// phaseIdle means that no byte of a request was read.
	phaseIdle ConnPhase = "idle"
	// phaseArriving means that a request was read in part.
	phaseArriving ConnPhase = "arriving"
	// phaseWaiting means that a request waits in the core: the line of its refusal tells for what.
	phaseWaiting ConnPhase = "waiting"
	// phaseDialling and phaseSent mean that an attempt has sent no byte, or some, and that nothing was answered.
	phaseDialling ConnPhase = "dialling"
	phaseSent     ConnPhase = "sent"
	// phaseResponding means that the response is being written.
	phaseResponding ConnPhase = "responding"
	// phaseBehind means that a further request has begun to arrive behind one that is answered.
	phaseBehind ConnPhase = "behind-another"
	// phaseUnread means that bytes had arrived on an idle connection and were not read.
	phaseUnread ConnPhase = "unread"
)

// ConnPhases lists the phases that end without a response.
var ConnPhases = []ConnPhase{phaseArriving, phaseWaiting, phaseDialling, phaseSent, phaseResponding, phaseBehind, phaseUnread}

// ConnEnd says which event ended a caller's connection, for logging.
type ConnEnd string

// The events. The first two are the caller's, the others this instance's.
const (
	endByCaller      ConnEnd = "caller-closed"
	endByCallerReset ConnEnd = "caller-reset"
	endByTimeout     ConnEnd = "read-timeout"
	endByRetirement  ConnEnd = "retired"
	endByWriteStall  ConnEnd = "write-stalled"
	// endByBrokenResponse means that the response broke off, which the caller is told by the close.
	endByBrokenResponse ConnEnd = "broken-response"
	// endByResponse means that a response asked to close the connection.
	endByResponse ConnEnd = "response-closes"
	endByGrace    ConnEnd = "grace-time-over"
	endByOther    ConnEnd = "other"
)

// ConnEnds lists the events.
var ConnEnds = []ConnEnd{
	endByCaller, endByCallerReset, endByTimeout, endByRetirement, endByWriteStall, endByBrokenResponse, endByResponse, endByGrace, endByOther,
}

// byCaller reports whether the caller ended the connection.
func (e ConnEnd) byCaller() bool { return e == endByCaller || e == endByCallerReset }

// connEndOf returns the event of an error on a caller's connection.
func connEndOf(err error) ConnEnd {
	switch {
	case errors.Is(err, io.EOF):
		return endByCaller
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return endByCallerReset
	case errors.Is(err, net.ErrClosed):
		return endByRetirement
	case isTimeout(err):
		return endByTimeout
	default:
		return endByOther
	}
}

// writeEndOf is connEndOf for an error of a write.
func writeEndOf(err error) ConnEnd {
	if isTimeout(err) {
		return endByWriteStall
	}
	return connEndOf(err)
}

// connProgress is what the log needs of a caller's connection.
type connProgress struct {
	mu sync.Mutex
	// arriving is set while a request is read, and current is the one that is processed, nil if there is none.
	arriving bool
	current  *exchange
	// lastByte is when the last byte was read.
	lastByte time.Time
	// end is the first event that ended the connection, "" if there was none. reported is set once its line is written.
	end      ConnEnd
	reported bool
}

// read records that bytes of a request were read; ahead is set if they were read ahead.
func (s *connProgress) read(ahead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastByte = time.Now()
	s.arriving = s.arriving || !ahead
}

// process records that a request is processed.
func (s *connProgress) process(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arriving, s.current = false, x
}

// answered records that the response was written.
func (s *connProgress) answered() { s.process(nil) }

// ended records the event that ends the connection, unless another one did.
func (s *connProgress) ended(end ConnEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == "" {
		s.end = end
	}
}

// phase returns the phase of the request on the connection, and the request if it is processed.
func (s *connProgress) phase() (ConnPhase, *exchange) {
	s.mu.Lock()
	x, arriving := s.current, s.arriving
	s.mu.Unlock()
	switch {
	case x != nil:
		return x.phase(), x
	case arriving:
		return phaseArriving, nil
	default:
		return phaseIdle, nil
	}
}

// phase returns the phase of a request that is processed.
func (x *exchange) phase() ConnPhase {
	if x.responding.Load() {
		return phaseResponding
	}
	x.race.mu.Lock()
	current := x.race.current
	x.race.mu.Unlock()
	switch {
	case current == nil:
		return phaseWaiting
	case current.call.sent():
		return phaseSent
	default:
		return phaseDialling
	}
}

// reportEnd logs and counts that the connection ends although a request on it has no whole response. It does so once.
func (c *callerConn) reportEnd(end ConnEnd, phase ConnPhase, x *exchange) {
	line, ok := c.endLine(end, phase, x)
	if ok {
		c.server.log.put(endText, line...)
	}
}

// endText is the text of the line about a connection that ended without a response.
const endText = "caller connection ended without a response"

// endLine returns the fields of the line about the end of the connection, and counts it. It returns false if it was
// written before.
func (c *callerConn) endLine(end ConnEnd, phase ConnPhase, x *exchange) (line []any, ok bool) {
	s := &c.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported {
		return nil, false
	}
	s.reported = true
	c.server.options.Metrics.ConnEnded(phase, end)
	closedBy, request, sinceArrival := "instance", "", int64(-1)
	if end.byCaller() {
		closedBy = "caller"
	}
	if x != nil {
		request, sinceArrival = string(x.id), time.Since(x.startedAt).Milliseconds()
	}
	sinceLastByte := int64(-1)
	if !s.lastByte.IsZero() {
		sinceLastByte = time.Since(s.lastByte).Milliseconds()
	}
	return []any{
		"request", request, "phase", phase, "closedBy", closedBy, "cause", end, "sinceLastByteMs", sinceLastByte,
		"sinceArrivalMs", sinceArrival, "nextWaits", c.next.waits(), "notReady", c.server.notReady.Load(),
	}, true
}

// reportGone logs that the caller ended its connection before the response to its request was whole.
func (c *callerConn) reportGone(err error) {
	end := connEndOf(err)
	c.state.ended(end)
	if phase, x := c.state.phase(); x != nil {
		c.reportEnd(end, phase, x)
	}
}

// reportClose logs the close of the connection by the HTTP library if a request on it has no whole response. What follows a
// rejected request is not read, since nobody knows where it begins.
func (c *callerConn) reportClose(rejected bool) {
	c.state.mu.Lock()
	end := c.state.end
	c.state.mu.Unlock()
	if rejected && !end.byCaller() {
		return
	}
	phase, x := c.state.phase()
	if answered := end == "" && x != nil; answered || phase == phaseIdle {
		phase = c.phaseBehindAnswer(end)
	}
	if phase == phaseIdle {
		return
	}
	c.reportEnd(cmp.Or(end, endByResponse), phase, x)
}

// phaseBehindAnswer returns the phase of what has arrived on a connection whose requests are answered.
func (c *callerConn) phaseBehindAnswer(end ConnEnd) ConnPhase {
	switch {
	case c.next.waits():
		return phaseBehind
	case !end.byCaller() && c.hasUnread():
		return phaseUnread
	default:
		return phaseIdle
	}
}

// hasUnread reports whether bytes have arrived that were not read. It takes one of them: the connection closes.
func (c *callerConn) hasUnread() bool {
	var b [1]byte
	return c.readAvailable(b[:]) > 0
}

// maxGraceLines bounds the lines about the connections that the end of the process closes.
const maxGraceLines = 200

// ReportUnanswered logs the requests without a whole response whose connections the end of the process closes. The lines
// are written before it returns: no queue outlives the process.
func (s *Server) ReportUnanswered() {
	s.mu.Lock()
	conns := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	lines, more := 0, 0
	for _, c := range conns {
		phase, x := c.state.phase()
		if phase == phaseIdle && c.next.waits() {
			phase = phaseBehind
		}
		if phase == phaseIdle {
			continue
		}
		line, ok := c.endLine(endByGrace, phase, x)
		switch {
		case !ok:
		case lines < maxGraceLines:
			lines++
			klog.InfoS(endText, line...)
		default:
			more++
		}
	}
	klog.InfoS("connections open at the end of the grace time", "connections", len(conns), "withRequests", lines+more)
}
