package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/standin"
	"github.com/ebonydyke/ebonydyke/test/relay"
)

// The kinds of request, by the first part of the path.
const (
	kindOnce   = "once"
	kindSafe   = "safe"
	kindStream = "stream"
	kindReview = "review"
)

// Bounds of what a backend server does.
const (
	backendSlots = 16
	eventPause   = 12 * time.Millisecond
	// drainBound is how long after its leaving was written to the store a backend server
	// may still get new work, and drainServe how long it goes on serving.
	drainBound = 2 * time.Second
	drainServe = 3 * time.Second
)

// sickness is what is wrong with a backend server.
type sickness int32

const (
	sound sickness = iota
	// failing answers half of its requests with a failure, cutting breaks off half of
	// its answers, foreign answers some with another request's answer, and hanging never
	// answers.
	failing
	cutting
	foreign
	hanging
)

// backend is one backend server behind a relay, by whose address it is known.
type backend struct {
	world  *World
	name   string
	zone   string
	born   time.Time
	server *http.Server
	relay  *relay.Relay

	sick    atomic.Int32
	running atomic.Int32
	// leftAt is when the store took its leaving, in nanoseconds of the soak; 0 is never.
	leftAt atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

func (w *World) newBackend(name, zone string) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r, err := relay.Start(l.Addr().String())
	if err != nil {
		return nil, err
	}
	b := &backend{
		world: w, name: name, zone: zone, relay: r, born: time.Now(),
		random: rand.New(rand.NewPCG(w.options.Seed, uint64(len(name)))),
	}
	b.server = &http.Server{Handler: b, IdleTimeout: 3 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

// register writes the backend server's own entry.
func (b *backend) register(leaving bool) {
	b.world.store.Register(standin.Backend{
		Name: b.name, Service: "work", Zone: b.zone, Address: b.relay.Address(), Slots: backendSlots,
		Leaving: leaving, Born: b.born,
	})
}

// end stops the backend server at once, as a crash does.
func (b *backend) end() {
	b.relay.Close()
	_ = b.server.Close()
}

func (b *backend) chance(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < share
}

// ServeHTTP answers one request as the platform's backend servers do.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := standin.ReadAttempt(r)
	if attempt.Expected != b.name {
		standin.Misdirected(w, b.name)
		return
	}
	b.checkArrival(attempt)
	standin.WriteID(w, attempt.ID)
	standin.WriteLoad(w, int(b.running.Load()), backendSlots)
	if b.running.Add(1) > 2*backendSlots {
		b.running.Add(-1)
		standin.NotStarted(w)
		return
	}
	defer b.running.Add(-1)
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	b.world.ledger.ran(attempt.ID, kind == kindOnce || kind == kindReview)
	standin.WriteMark(w, markOf(attempt.ID))
	b.work(w, r, attempt, kind)
}

// checkArrival checks what holds of every request that reaches a backend server.
func (b *backend) checkArrival(attempt standin.Attempt) {
	l := b.world.ledger
	if attempt.Key != "" || attempt.Customer == "" {
		l.broken("the key is not passed on", attempt.ID, "at "+b.name)
	}
	left := time.Duration(b.leftAt.Load())
	if left > 0 && l.elapsed() > left+drainBound && b.world.calmSince(l.elapsed()-left) {
		l.broken("a leaver gets no new work", attempt.ID, fmt.Sprintf("%s, %v after", b.name, l.elapsed()-left))
	}
}

func (b *backend) work(w http.ResponseWriter, r *http.Request, attempt standin.Attempt, kind string) {
	switch sickness(b.sick.Load()) {
	case failing:
		if b.chance(0.5) {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
	case foreign:
		if b.chance(0.2) {
			standin.WriteID(w, "another-request")
			_, _ = fmt.Fprint(w, bodyOf("another-request"))
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
	time.Sleep(10 * time.Millisecond)
	body := bodyOf(attempt.ID)
	if sickness(b.sick.Load()) == cutting && b.chance(0.5) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = fmt.Fprint(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, body)
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request, attempt standin.Attempt) {
	id := attempt.ID
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(attempt.ResumeAfter)
	for i := first + 1; i <= eventsOf(id); i++ {
		if sickness(b.sick.Load()) == cutting && b.chance(0.1) {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventOf(id, i)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// markOf, bodyOf, eventsOf and eventOf are what a sound answer to a request holds, so
// that its caller can tell any other.
func markOf(id string) string { return strconv.FormatUint(hashOf(id), 36) }

func bodyOf(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

func eventsOf(id string) int { return 5 + int(hashOf(id)%40) }

func eventOf(id string, i int) string { return fmt.Sprintf("%s-%d", id, i) }

func hashOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
