package fleet_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/test/relay"
)

const (
	// endGrace is the grace time of these tests. A claim waits longer.
	endGrace = 2500 * time.Millisecond
	// stopAfter is when the instance is stopped.
	stopAfter = 200 * time.Millisecond
	// endSlack is how long after the last byte of a request its connection may end without a response.
	endSlack = 200 * time.Millisecond
)

// ending is a fleet of one instance that stops while requests wait in one phase.
type ending struct {
	*fleet

	mu   sync.Mutex
	late []string
	ends map[string]int
}

// conn opens a connection to the instance, nil if it is refused.
func (e *ending) conn() net.Conn {
	conn, err := net.DialTimeout("tcp", e.instances[0].callerAddr, time.Second)
	if err != nil {
		return nil
	}
	return conn
}

// requestText returns the bytes of a note that must run at most once, or may run again.
func requestText(key string, once bool) string {
	body := "note " + key
	return fmt.Sprintf("POST /services/notes/approve HTTP/1.1\r\nHost: fleet\r\nEbonydyke-Customer: committee\r\nEbonydyke-Idempotent: %t\r\n"+
		"Ebonydyke-Deadline-Ms: 20000\r\nIdempotency-Key: %s\r\nNote: %s\r\nContent-Length: %d\r\n\r\n%s", !once, key, key, len(body), body)
}

// read reads the response to a request whose last byte was sent at a time, and records how it ended.
func (e *ending) read(name string, responses *bufio.Reader, sentAt time.Time) (again bool) {
	resp, err := http.ReadResponse(responses, nil)
	took := time.Since(sentAt)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.ends["no response"]++
		if took > endSlack {
			e.late = append(e.late, fmt.Sprintf("%s: %v after %v", name, err, took))
		}
		return false
	}
	e.ends[fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Ebonydyke-Outcome"))]++
	body := make([]byte, max(0, resp.ContentLength))
	_, _ = resp.Body.Read(body)
	_ = resp.Body.Close()
	return !resp.Close
}

// send sends a request on a connection of its own and reads the response.
func (e *ending) send(key string, once bool) {
	conn := e.conn()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err := conn.Write([]byte(requestText(key, once)))
	if err == nil {
		e.read(key, bufio.NewReader(conn), time.Now())
	}
}

// sendUntilExit sends requests one after another, each on a new connection or on one that is kept, until the instance
// has ended.
func (e *ending) sendUntilExit(keep bool) {
	var conn net.Conn
	var responses *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-e.instances[0].exited:
			return
		default:
		}
		if conn == nil {
			if conn = e.conn(); conn == nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			responses = bufio.NewReader(conn)
		}
		_, err := conn.Write([]byte(requestText(fmt.Sprint("idle-", keep, n), false)))
		if err != nil || !e.read(fmt.Sprint("request ", n), responses, time.Now()) || !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendPipelined sends two requests once the instance is stopping and still accepts connections, the second in the same or
// in a separate write.
func (e *ending) sendPipelined(name string, separate bool) {
	time.Sleep(stopAfter + 50*time.Millisecond)
	conn := e.conn()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	first, second := requestText(name+"-first", false), requestText(name+"-second", false)
	if separate {
		_, _ = conn.Write([]byte(first))
		time.Sleep(50 * time.Millisecond)
		_, _ = conn.Write([]byte(second))
	} else {
		_, _ = conn.Write([]byte(first + second))
	}
	sentAt := time.Now()
	responses := bufio.NewReader(conn)
	if e.read(name+" first", responses, sentAt); e.read(name+" second", responses, sentAt) {
		e.read(name+" third", responses, time.Now())
	}
}

// sendInPieces sends a request whose body arrives while the instance stops.
func (e *ending) sendInPieces(pause time.Duration) {
	conn := e.conn()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := requestText("pieces", false)
	for piece := range strings.SplitAfterSeq(text, "\r\n") {
		if _, err := conn.Write([]byte(piece)); err != nil {
			return
		}
		time.Sleep(pause)
	}
	e.read("pieces", bufio.NewReader(conn), time.Now().Add(-pause))
}

// Guards against callers whose connection ends late without an answer while an instance stops, in each phase of a
// request, and against an instance that does not end before it would be killed.
func TestStoppingInstanceLeavesNoRequestUnanswered(t *testing.T) {
	for name, c := range map[string]struct {
		// delay is that of the backend server.
		delay time.Duration
		own   map[string]any
		// cut is set if the store is silent meanwhile.
		cut bool
		// send sends requests from before the stop on, and returns when all have ended.
		send func(*ending)
	}{
		"waiting for a claim": {cut: true, send: func(e *ending) { e.send("claimed", true) }},
		"new connections until the end": {
			own:  map[string]any{"accept_quiet": "1m", "accept_max": "1m"},
			send: func(e *ending) { e.sendUntilExit(false) },
		},
		"kept connections until the end":    {send: func(e *ending) { e.sendUntilExit(true) }},
		"read ahead behind another request": {delay: 600 * time.Millisecond, send: func(e *ending) { e.sendPipelined("ahead", true) }},
		"in one write with another request": {delay: 600 * time.Millisecond, send: func(e *ending) { e.sendPipelined("joined", false) }},
		"body arriving":                     {send: func(e *ending) { e.sendInPieces(100 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &ending{fleet: startFleet(t, []string{"a"}, 1, c.delay), ends: make(map[string]int)}
			i := e.instances[0]
			i.ownSettings = map[string]any{"stop_grace": endGrace.String(), "limits": c.own}
			if c.own == nil {
				i.ownSettings["limits"] = map[string]any{"accept_quiet": "100ms", "drain_idle": "300ms"}
			}
			e.replace(i)
			if c.cut {
				faults := relay.NoFaults
				faults.Blackhole = true
				e.storeRelays["a"].SetFaults(faults)
			}
			var callers sync.WaitGroup
			callers.Go(func() { c.send(e) })
			time.Sleep(stopAfter)
			i.signal(t, syscall.SIGTERM)
			select {
			case <-i.exited:
				require.Zero(t, i.process.ProcessState.ExitCode())
			case <-time.After(endGrace):
				i.signal(t, syscall.SIGKILL)
				t.Errorf("%s had not ended when it was killed", i.name)
			}
			callers.Wait()
			t.Logf("%v", e.ends)
			require.Empty(t, e.late)
			require.NotEmpty(t, e.ends)
		})
	}
}
