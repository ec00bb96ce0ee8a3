package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
	"github.com/ebonydyke/ebonydyke/test/relay"
)

// The kinds of requests; the first segment of the path selects one.
const (
	kindOnce   = "once"
	kindSafe   = "safe"
	kindStream = "stream"
	kindReview = "review"
)

// Limits and timing of a backend server.
const (
	backendSlots  = 16
	eventInterval = 12 * time.Millisecond
	// newWorkGrace is how long a backend server may still receive new work after the store
	// has recorded that it is leaving. drainDuration is how long it continues to serve.
	newWorkGrace  = 2 * time.Second
	drainDuration = 3 * time.Second
)

// backendFault is a fault of a backend server.
type backendFault int32

const (
	healthy backendFault = iota
	// failing returns an error for half of the requests.
	failing
	// truncating truncates half of the plain responses and some of the streams.
	truncating
	// swapping returns the response to another request for some requests.
	swapping
	// hanging never responds.
	hanging
	// pausing is silent while the fault lasts, and then goes on.
	pausing
)

// backend is one backend server behind a relay; the store lists the address of the relay.
type backend struct {
	world     *World
	name      string
	zone      string
	version   string
	startedAt time.Time
	server    *http.Server
	relay     *relay.Relay
	silence   silence

	fault    atomic.Int32
	inFlight atomic.Int32
	// endless is set while the server sends bytes without end in place of answers, and asked counts its requests.
	endless atomic.Pointer[endlessFault]
	asked   atomic.Int64
	// copies is set while the server sends responses a second time, late.
	copies atomic.Pointer[copyFault]
	// leavingAt is when the store recorded that the server is leaving, in nanoseconds since the
	// start of the soak. It is 0 before that and -1 after a crash.
	leavingAt atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// rejections are the times of the last rejections for lack of room.
	rejections []time.Time
	// running maps the requests that the server holds to the parts of their prompts.
	running map[string][]string
	// endRecorded is set once the end of the server is recorded.
	endRecorded bool
	// cold is the state of the server's warm-up.
	cold coldState

	// entry orders the writes of the server's entry. draining and unregistered are set once the server drains or has ended.
	entry                  sync.Mutex
	draining, unregistered bool
}

// freePort is a listen address with a port that the system chooses.
const freePort = "127.0.0.1:0"

// newBackend starts the process of a backend server, whose relay listens on an address.
func (w *World) newBackend(name, zone, version, address string) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r, err := relay.StartAt(address, l.Addr().String())
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	b := &backend{
		world: w, name: name, zone: zone, version: version, relay: r, startedAt: time.Now(),
		random: rand.New(rand.NewPCG(w.options.Seed, uint64(len(name)))), running: make(map[string][]string),
	}
	b.server = &http.Server{Handler: b, IdleTimeout: 3 * time.Second, ConnContext: withConn}
	go func() { _ = b.server.Serve(&copyListener{&silentListener{Listener: l, silence: &b.silence}}) }()
	return b, nil
}

// register writes the backend server's entry to the store.
func (b *backend) register(leaving bool) {
	b.entry.Lock()
	defer b.entry.Unlock()
	b.draining = b.draining || leaving
	if !b.unregistered {
		b.writeEntry(b.warmUpLeft())
	}
}

// writeEntry writes the backend server's entry with the remaining time of its warm-up. The caller holds b.entry.
func (b *backend) writeEntry(warmUp time.Duration) {
	b.world.store.Register(fakeplatform.Backend{
		Name: b.name, Service: "work", Zone: b.zone, Address: b.relay.Address(), Slots: backendSlots, Version: b.version,
		Draining: b.draining, StartedAt: b.startedAt, WarmUp: warmUp,
	})
}

// close stops the backend server at once, as a crash does.
func (b *backend) close() {
	b.world.beginUnplanned(b)()
	b.recordEnded()
	b.entry.Lock()
	b.unregistered = true
	b.entry.Unlock()
	b.silence.end()
	b.relay.Close()
	_ = b.server.Close()
}

// chance returns true with the given probability.
func (b *backend) chance(probability float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < probability
}

// ServeHTTP responds to a request as the platform's backend servers do.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.beginResponse(r)
	if r.URL.Path == fakeplatform.ReportPath {
		fakeplatform.WriteReport(w, b.startedAt)
		return
	}
	attempt := fakeplatform.ReadAttempt(r)
	fakeplatform.SetRequestID(w, attempt.ID)
	if attempt.Expected != b.name {
		fakeplatform.WriteMisdirected(w, b.name)
		return
	}
	b.asked.Add(1)
	b.checkArrival(attempt)
	b.countCold(attempt.ID)
	fakeplatform.SetLoad(w, int(b.inFlight.Load()), backendSlots)
	if limit, _ := b.world.rejectionLimit(); limit > 0 {
		fakeplatform.SetRejectionLimit(w, limit)
	}
	if int(b.inFlight.Add(1)) > b.room() || b.refusesByChance() {
		b.inFlight.Add(-1)
		fakeplatform.WriteNotStarted(w)
		b.recordRejection()
		return
	}
	defer b.inFlight.Add(-1)
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	b.world.recorder.recordRun(attempt.ID, kind == kindOnce || kind == kindReview)
	defer b.begin(attempt.ID, attempt.Parts)()
	brokeOff, endRun := true, b.world.recordServerRun(b, attempt.ID)
	defer func() { endRun(brokeOff) }()
	if content, marked := poisonContent(r.URL.Path); marked {
		b.runPoison(content, maxPoisonEnds, attempt.ID)
	}
	if part := badPart(attempt.Parts); part != "" {
		b.runPoison(part, maxPartEnds, attempt.ID)
	}
	fakeplatform.SetSeal(w, expectedSeal(attempt.ID))
	b.holdAt(beforeHead, w)
	if f := b.endless.Load(); f != nil {
		b.respondEndless(w, r, attempt, f)
		return
	}
	if isUnframed(kind, attempt.ID) {
		b.respondUnframed(w, r, attempt, kind)
	} else {
		b.respond(w, r, attempt, kind)
	}
	// Otherwise the handler has panicked.
	brokeOff = false
}

// respondUnframed responds without a length or chunks.
func (b *backend) respondUnframed(w http.ResponseWriter, r *http.Request, attempt fakeplatform.Attempt, kind string) {
	// A close with unread bytes would be a reset.
	_, _ = io.Copy(io.Discard, r.Body)
	u, err := takeOver(w)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = u.conn.Close() }()
	if kind == kindStream {
		b.stream(u, r, attempt)
		// A stream of which nothing is left has a header all the same.
		_ = u.FlushError()
		return
	}
	b.holdAt(afterHead, u)
	time.Sleep(10 * time.Millisecond)
	// The caller sees a response that is cut off here.
	_ = b.writeHeldInside(u, expectedBody(attempt.ID))
	b.holdAt(beforeLastChunk, u)
}

// checkArrival checks the guarantees for every request that reaches a backend server.
func (b *backend) checkArrival(attempt fakeplatform.Attempt) {
	r := b.world.recorder
	if attempt.Key != "" || attempt.Customer == "" {
		r.recordViolation("the key is not passed on", attempt.ID, "at "+b.name)
	}
	b.world.recordArrival(b, attempt.ID)
	left := time.Duration(b.leavingAt.Load())
	if left > 0 && r.elapsed() > left+newWorkGrace && b.world.undisturbedFor(r.elapsed()-left) {
		r.recordViolation("a leaver gets no new work", attempt.ID, fmt.Sprintf("%s, %v after", b.name, r.elapsed()-left))
	}
}

func (b *backend) respond(w http.ResponseWriter, r *http.Request, attempt fakeplatform.Attempt, kind string) {
	if b.failsByChance() {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	switch backendFault(b.fault.Load()) {
	case swapping:
		if b.chance(0.2) {
			fakeplatform.SetRequestID(w, "another-request")
			_, _ = fmt.Fprint(w, expectedBody("another-request"))
			return
		}
	case hanging:
		select {
		case <-r.Context().Done():
		case <-time.After(4 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	if kind == kindStream || kind == kindReview {
		b.stream(w, r, attempt)
		return
	}
	b.chunkByChance(w)
	b.holdAt(afterHead, w)
	time.Sleep(10 * time.Millisecond)
	body := expectedBody(attempt.ID)
	if backendFault(b.fault.Load()) == truncating && b.chance(0.5) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = fmt.Fprint(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	// The caller sees a response that is cut off here.
	_ = b.writeHeldInside(w, body)
	b.holdAt(beforeLastChunk, w)
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request, attempt fakeplatform.Attempt) {
	_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	w.Header().Set("Content-Type", "text/event-stream")
	b.holdAt(afterHead, w)
	first, _ := strconv.Atoi(attempt.ResumeAfter)
	for i := first + 1; i <= expectedEventCount(name); i++ {
		if backendFault(b.fault.Load()) == truncating && b.chance(0.1) {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		if err := b.writeHeldInside(w, fmt.Sprintf("id: %d\ndata: %s@%s\n\n", i, expectedEvent(name, i), b.version)); err != nil {
			return
		}
		flush(w)
		b.holdAt(betweenEvents, w)
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
	b.holdAt(beforeLastChunk, w)
}

// The functions below derive the content of the correct response from the request's id, or from the name
// of a stream in the path, so that the caller detects any other.

// expectedSeal returns the value of the response header that marks a response as produced by
// the backend server itself.
func expectedSeal(id string) string { return strconv.FormatUint(hashID(id), 36) }

// expectedBody returns the body of a response that is not a stream.
func expectedBody(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// expectedEventCount returns the number of events of a stream.
func expectedEventCount(name string) int { return 5 + int(hashID(name)%120) }

// expectedEvent returns the data of the i-th event of a stream.
func expectedEvent(name string, i int) string { return fmt.Sprintf("%s-%d", name, i) }

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
