package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// copiedShare is the share of responses that are sent a second time, and misdirectedShare the share of those copies that are a
	// refusal with status 421 instead.
	copiedShare, misdirectedShare = 0.5, 0.15
	// maxBetween bounds the other responses before a copy, and maxCopies the copies of one response.
	maxBetween, maxCopies = 3, 2
	// copiedFailures is the share of requests that fail, so that failures are among the copies, and copiedChunks that of plain
	// responses in chunks.
	copiedFailures, copiedChunks = 0.05, 0.4
	// maxCopySize limits the responses that are copied. No answer is longer.
	maxCopySize = 64 << 10
	// copiesRetryBurst is the number of retries that are allowed at once beside these faults only: few refusals shall reach callers.
	copiesRetryBurst = 1000
	// copyStream offsets the random streams of these faults, so that they differ from those of the others.
	copyStream = 7000
)

// refusedShares are the shares of requests that servers refuse while they send copies. Some refusals are repeated at the same server.
var refusedShares = []float64{0, 0.2, 0.4, 0.7}

// copyFault is the fault of a backend server that sends responses a second time, late.
type copyFault struct {
	// refused is the share of requests that it refuses.
	refused float64
}

// injectCopies lets servers send late copies until ctx ends.
func (w *World) injectCopies(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for number := uint64(1); ctx.Err() == nil; number++ {
		random := rand.New(rand.NewPCG(w.options.Seed, copyStream+number))
		p := faultParams{random: random, duration: randomDuration(random, minFaultDuration, maxFaultDuration)}
		gap := randomDuration(random, minFaultGap, maxFaultGap)
		pending.Go(func() { w.sendCopies(p) })
		pause(ctx, gap)
	}
}

// sendCopies lets a share of the servers send late copies for the duration.
func (w *World) sendCopies(p faultParams) {
	fault := &copyFault{refused: refusedShares[p.random.IntN(len(refusedShares))]}
	servers := slices.DeleteFunc(w.serversOfWave(p.random), func(b *backend) bool { return !b.copies.CompareAndSwap(nil, fault) })
	time.Sleep(p.duration)
	for _, b := range servers {
		b.copies.Store(nil)
	}
}

// refusesByChance reports whether the server refuses a request although it has room. One that limits its rejections does not.
func (b *backend) refusesByChance() bool {
	f := b.copies.Load()
	limit, _ := b.world.rejectionLimit()
	return f != nil && limit == 0 && b.chance(f.refused)
}

// failsByChance reports whether a request fails.
func (b *backend) failsByChance() bool {
	return backendFault(b.fault.Load()) == failing && b.chance(0.5) || b.copies.Load() != nil && b.chance(copiedFailures)
}

// chunkByChance makes some plain responses be sent in chunks while copies are sent.
func (b *backend) chunkByChance(w http.ResponseWriter) {
	if b.copies.Load() != nil && b.chance(copiedChunks) {
		flush(w)
	}
}

// copyListener is the listener of a server that may send copies.
type copyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *copyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyConn{Conn: conn}, nil
}

type copyConnKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, copyConnKey{}, conn)
}

// copyConn is a connection that records its responses. The server's calls on it follow one another.
type copyConn struct {
	net.Conn
	mu sync.Mutex
	// id is the ID of the last request, and response its response so far, up to a byte over maxCopySize.
	id       string
	response []byte
	// pending are the copies that are due later, and due is what precedes the next bytes.
	pending []lateCopy
	due     []byte
}

// lateCopy is a response that is sent again after some others.
type lateCopy struct {
	text    []byte
	between int
}

// Write implements net.Conn.
func (c *copyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	due := c.due
	c.due = nil
	c.response = append(c.response, p[:min(len(p), maxCopySize+1-len(c.response))]...)
	c.mu.Unlock()
	if len(due) > 0 {
		if _, err := c.Conn.Write(due); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// beginResponse is called for a request that has arrived, before its response. It sends the copies that are due, at once or right in
// front of the response.
func (b *backend) beginResponse(r *http.Request) {
	c, ok := r.Context().Value(copyConnKey{}).(*copyConn)
	if !ok {
		return
	}
	b.keepCopy(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id, c.response, c.due = fakeplatform.ReadAttempt(r).ID, nil, nil
	if b.copies.Load() == nil {
		c.pending = nil
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(l lateCopy) bool {
		if l.between == 0 {
			c.due = append(c.due, l.text...)
			b.world.recorder.count("late copies " + describeResponse(l.text))
		}
		return l.between == 0
	})
	for n := range c.pending {
		c.pending[n].between--
	}
	if len(c.due) > 0 && b.chance(0.5) {
		// A connection that has ended shows at the next write.
		_, _ = c.Conn.Write(c.due)
		c.due = nil
	}
}

// keepCopy plans copies of the last response of a connection, or none.
func (b *backend) keepCopy(c *copyConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.copies.Load() == nil || len(c.response) == 0 || len(c.response) > maxCopySize || !b.chance(copiedShare) {
		return
	}
	l := lateCopy{text: c.response}
	if c.id != "" && b.chance(misdirectedShare) {
		l.text = fakeplatform.MisdirectedResponse(c.id, "another")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for range 1 + b.random.IntN(maxCopies) {
		l.between = b.random.IntN(maxBetween)
		c.pending = append(c.pending, l)
	}
}

// describeResponse returns the status and the form of a response, for the report.
func describeResponse(text []byte) string {
	head, _, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	status, fields, _ := strings.Cut(string(head), "\r\n")
	form := "with a length"
	switch {
	case !fakeplatform.NamesRequest(fields):
		form = "of the report"
	case strings.Contains(fields, "event-stream"):
		form = "of a stream"
	case strings.Contains(fields, "chunked"):
		form = "in chunks"
	}
	return strings.TrimPrefix(status, "HTTP/1.1 ") + " " + form
}

// checkCopies reports the requests that failed although no server began to run them, while servers only sent late copies.
// Those that ran are among the requests that were passed on.
func (w *World) checkCopies() {
	if w.options.Faults != FaultsCopies {
		return
	}
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.requests {
		if !p.answered || len(l.runs[p.id]) > 0 || l.unplanned(p, nil) || p.endedAt-p.sentAt >= l.timeoutOf(p) {
			continue
		}
		w.recorder.recordViolationAt(p.endedAt, "a late copy costs nobody the answer", p.id, l.describe(p, nil))
	}
}
