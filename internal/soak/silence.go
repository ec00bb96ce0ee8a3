package soak

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// phase is a phase of a request at a backend server, at which a pause can hold it.
type phase int

const (
	// anyPhase holds requests wherever they are.
	anyPhase phase = iota
	beforeHead
	afterHead
	betweenEvents
	insideEvent
	beforeLastChunk
	phaseCount
	heldPhases = int(phaseCount - beforeHead)
)

// phaseNames are for the report.
var phaseNames = [phaseCount]string{"anywhere", "before the head", "after the head", "between events", "inside an event", "before the last chunk"}

// holdTime is the first part of a pause, in which requests that reach its phase are held there while the rest of the
// process runs.
const holdTime = 80 * time.Millisecond

// silence pauses the process of a backend server: it accepts, reads, writes and closes nothing, while the kernel goes on
// accepting connections and bytes.
type silence struct {
	mu sync.Mutex
	// over is closed when the pause ends; nil if there is none.
	over chan struct{}
	// held is the phase at which requests are held, and whole is set once the process is silent as a whole.
	held  phase
	whole bool
}

// begin begins a pause, unless there is one.
func (s *silence) begin(held phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over != nil {
		return false
	}
	s.over, s.held, s.whole = make(chan struct{}), held, held == anyPhase
	return true
}

// deepen makes the process silent as a whole.
func (s *silence) deepen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole = true
}

// end ends the pause, if there is one.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over != nil {
		close(s.over)
		s.over = nil
	}
}

// wait blocks while the process is silent as a whole.
func (s *silence) wait() {
	s.mu.Lock()
	over, whole := s.over, s.whole
	s.mu.Unlock()
	if over != nil && whole {
		<-over
	}
}

// holds reports whether requests are held at a phase.
func (s *silence) holds(at phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over != nil && s.held == at
}

// pause makes the backend server silent for a duration, unless it is already. Requests that reach the given phase at the
// start are held there.
func (b *backend) pause(held phase, d time.Duration) {
	if !b.silence.begin(held) {
		return
	}
	defer b.world.zones.beginHold(b, b.world.recorder.elapsed)()
	startedAt := time.Now()
	if held != anyPhase {
		time.Sleep(holdTime)
		b.silence.deepen()
	}
	time.Sleep(time.Until(startedAt.Add(d)))
	b.silence.end()
}

// holdAt holds a request at a phase if a pause does so. Before that it sends what was written.
func (b *backend) holdAt(at phase, w http.ResponseWriter) {
	if !b.silence.holds(at) {
		return
	}
	if at != beforeHead {
		flush(w)
	}
	b.world.recorder.count("held " + phaseNames[at])
	b.silence.mu.Lock()
	over := b.silence.over
	b.silence.mu.Unlock()
	if over != nil {
		<-over
	}
}

// writeHeldInside writes text; a pause inside an event holds it after its first half.
func (b *backend) writeHeldInside(w http.ResponseWriter, text string) error {
	if b.silence.holds(insideEvent) {
		half := len(text) / 2
		if _, err := w.Write([]byte(text[:half])); err != nil {
			return err
		}
		text = text[half:]
		b.holdAt(insideEvent, w)
	}
	_, err := w.Write([]byte(text))
	return err
}

func flush(w http.ResponseWriter) {
	// A connection that has ended shows at the next write.
	_ = http.NewResponseController(w).Flush()
}

// silentListener is the listener of a process that a silence can pause.
type silentListener struct {
	net.Listener
	silence *silence
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.silence.wait()
	return &silentConn{Conn: conn, silence: l.silence}, nil
}

// silentConn is a connection of such a process.
type silentConn struct {
	net.Conn
	silence *silence
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.silence.wait()
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	c.silence.wait()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.silence.wait()
	return c.Conn.Close()
}
