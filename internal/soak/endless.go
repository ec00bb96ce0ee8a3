package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// minEndlessTime and maxEndlessTime bound the time for which a backend server sends bytes without end in place of
	// answers, and maxEndlessGap the time until the next one does.
	minEndlessTime, maxEndlessTime = 4 * time.Second, 6 * time.Second
	maxEndlessGap                  = time.Second
	// slowPause is the time between two units of a slow sender, and fastPause between two writes of a fast one, each of
	// fastSize bytes or a little less.
	slowPause, fastPause = 100 * time.Millisecond, time.Millisecond
	fastSize             = 16 << 10
)

// endlessKind is a kind of bytes without end that are no answer, or not the end of one.
type endlessKind int

// The kinds, by where they go on.
const (
	// garbageHead is a head without a status line.
	garbageHead endlessKind = iota
	// headerFields is a head of header fields.
	headerFields
	// interimHeads is a sequence of interim responses.
	interimHeads
	// chunkExtension is the extension of a chunk.
	chunkExtension
	// trailerFields are trailers, after a whole body.
	trailerFields
	// unframedBody is a body that ends with its connection, and is not that of the request.
	unframedBody
	// commentsOnly is a stream without an event.
	commentsOnly
	// openEvent is an event without an end of its line.
	openEvent
	endlessKinds
)

// endlessNames are for the report.
var endlessNames = [endlessKinds]string{
	"garbage for a head", "header fields", "interim responses", "a chunk extension", "trailers", "an unframed body", "comments", "an open event",
}

// endlessFault is the fault of a backend server that sends bytes without end.
type endlessFault struct {
	// first is the kind that the first request gets; the others get the kinds after it in turn.
	first endlessKind
	slow  bool
}

// kindOf returns the kind that a request gets. Requests other than streams have no events.
func (f *endlessFault) kindOf(requestKind, id string) endlessKind {
	kinds := endlessKinds
	if requestKind == kindOnce || requestKind == kindSafe {
		kinds = commentsOnly
	}
	return (f.first + endlessKind(hashID("endless "+id)%uint64(kinds))) % kinds
}

// injectEndless lets one backend server after the other send bytes without end for some seconds, until ctx ends.
func (w *World) injectEndless(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.options.Seed, 4000))
	first, slow := endlessKind(random.IntN(int(endlessKinds))), random.IntN(2) == 0
	var last *backend
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(randomDuration(random, 0, maxEndlessGap))
		lasts := randomDuration(random, minEndlessTime, maxEndlessTime)
		last = w.endlessServer(random, n%2 == 0, last)
		if last != nil {
			w.sendEndless(last, &endlessFault{first: first, slow: slow}, lasts)
		}
		first, slow = (first+1)%endlessKinds, !slow
	}
}

// endlessServer returns a backend server that has not left: a random one other than the last, or the one with most requests
// in progress, to which sessions go.
func (w *World) endlessServer(random *rand.Rand, busiest bool, last *backend) *backend {
	chosen := w.randomBackend(faultParams{random: random})
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		isBusier := chosen == last || busiest && chosen != nil && b.inFlight.Load() > chosen.inFlight.Load()
		if b.leavingAt.Load() == 0 && b != last && isBusier {
			chosen = b
		}
	}
	return chosen
}

// sendEndless lets a backend server send bytes without end for some seconds.
func (w *World) sendEndless(b *backend, f *endlessFault, lasts time.Duration) {
	defer w.beginUnplanned(b)()
	w.recorder.count("servers without end")
	watch := &askedWatch{world: w, server: b}
	b.endless.Store(f)
	watch.during(lasts)
	b.endless.Store(nil)
	if w.options.Faults == FaultsEndless {
		watch.after()
	}
}

// endlessResponse is what a request gets in place of an answer.
type endlessResponse struct {
	kind endlessKind
	// requestKind, name and id are those of the request, and first the number of the event that is due.
	requestKind, name, id string
	first                 int
	version               string
}

// respondEndless sends bytes without end in place of an answer, until the caller closes the connection.
func (b *backend) respondEndless(w http.ResponseWriter, r *http.Request, attempt fakeplatform.Attempt, f *endlessFault) {
	requestKind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	e := endlessResponse{kind: f.kindOf(requestKind, attempt.ID), requestKind: requestKind, name: name, id: attempt.ID, version: b.version}
	last, _ := strconv.Atoi(attempt.ResumeAfter)
	e.first = last + 1
	b.world.endless.recordTouched(attempt.ID, touch{kind: e.kind, slow: f.slow, server: b.name})
	b.world.recorder.count("got " + endlessNames[e.kind])
	u, err := takeOver(w)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = u.conn.Close() }()
	// The caller has closed the connection if a write fails.
	if err := e.writeStart(u); err == nil {
		writeUnits(u.conn, endlessUnit(e.kind), f.slow)
	}
}

func (e *endlessResponse) isStream() bool {
	return e.requestKind == kindStream || e.requestKind == kindReview
}

// writeStart writes what comes before the bytes without end.
func (e *endlessResponse) writeStart(u *unframedWriter) error {
	if e.isStream() {
		u.Header().Set("Content-Type", "text/event-stream")
	}
	switch e.kind {
	case garbageHead, interimHeads:
		return nil
	case headerFields:
		_, err := fmt.Fprint(u.conn, "HTTP/1.1 200 OK\r\n")
		return err
	case unframedBody:
		return u.writeHeader()
	default:
		u.Header().Set("Transfer-Encoding", "chunked")
		_, err := u.Write([]byte(e.chunkedStart()))
		return err
	}
}

// chunkedStart returns the part of a body in chunks that comes before the bytes without end.
func (e *endlessResponse) chunkedStart() string {
	switch e.kind {
	case chunkExtension:
		return "5;"
	case trailerFields:
		return chunk(e.wholeBody()) + "0\r\n"
	case openEvent:
		return chunk(fmt.Sprintf("id: %d\ndata: ", e.first))
	default:
		return ""
	}
}

// wholeBody returns the body of the correct response.
func (e *endlessResponse) wholeBody() string {
	if !e.isStream() {
		return expectedBody(e.id)
	}
	var events strings.Builder
	for i := e.first; i <= expectedEventCount(e.name); i++ {
		_, _ = fmt.Fprintf(&events, "id: %d\ndata: %s@%s\n\n", i, expectedEvent(e.name, i), e.version)
	}
	return events.String()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// endlessUnit returns the bytes that are repeated without end.
func endlessUnit(kind endlessKind) string {
	switch kind {
	case headerFields, trailerFields:
		return "X-Filler: " + strings.Repeat("a", 18) + "\r\n"
	case interimHeads:
		return "HTTP/1.1 102 Processing\r\n\r\n"
	case commentsOnly:
		return chunk(": still at work\n\n")
	case openEvent:
		return chunk(strings.Repeat("a", 24))
	default:
		return strings.Repeat("a", 30)
	}
}

// writeUnits writes a unit again and again until the connection ends.
func writeUnits(conn net.Conn, unit string, slow bool) {
	text, pause := strings.Repeat(unit, fastSize/len(unit)), fastPause
	if slow {
		text, pause = unit, slowPause
	}
	for {
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
