package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxMedianAnswer bounds the median time until the answer to a repeatable request begins that a server sent bytes
	// without end.
	maxMedianAnswer = 2 * time.Second
	// minTouched is the number of such requests from which the median is checked.
	minTouched = 8
	// askedContact is the time after which a server that sends bytes without end is asked little: less than maxAskedShare
	// of what the others are on average, but for askedSlack requests.
	askedContact              = 2 * time.Second
	maxAskedShare, askedSlack = 0.5, 3
	// maxReturnTime is the time after which a server that is sound again is asked at least minReturnShare of what the
	// others are on average, in a window of returnWindow. A server that failed is left alone for 16 s at most, and what it
	// did is remembered for 4 s.
	maxReturnTime, returnWindow = 20 * time.Second, 2 * time.Second
	minReturnShare              = 0.25
	// minAskedOthers is the average number of requests at the others from which both are checked.
	minAskedOthers = 8
	// maxAnswerBytes is the size of a body at which a caller leaves. All answers are shorter.
	maxAnswerBytes = 1 << 18
)

// endlessRecorder records what the checks of servers that send bytes without end need.
type endlessRecorder struct {
	mu sync.Mutex
	// touched maps requests to what the last such server sent, and ends to what their callers saw.
	touched map[string]touch
	ends    map[string]*requestEnd
}

// touch is what a server sent to a request in place of an answer.
type touch struct {
	kind   endlessKind
	slow   bool
	server string
}

// requestEnd is a request as its caller sees it.
type requestEnd struct {
	id, kind string
	instance *instance
	sentAt   time.Duration
	// beganAt is when the first event or the whole body was there, and endedAt when the caller had no more to wait for,
	// each 0 before.
	beganAt, endedAt time.Duration
	whole, left      bool
}

func newEndlessRecorder() *endlessRecorder {
	return &endlessRecorder{touched: make(map[string]touch), ends: make(map[string]*requestEnd)}
}

func (r *endlessRecorder) recordTouched(id string, t touch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.touched[id] = t
}

// beginRequest records that a caller sends a request. The caller calls the returned function once it waits no longer.
func (w *World) beginRequest(i *instance, kind, id string) (end func()) {
	r := w.endless
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &requestEnd{id: id, kind: kind, instance: i, sentAt: w.recorder.elapsed()}
	r.ends[id] = e
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.endedAt = w.recorder.elapsed()
	}
}

// updateRequest changes the record of a request if there is one.
func (w *World) updateRequest(id string, change func(*requestEnd)) {
	w.endless.mu.Lock()
	defer w.endless.mu.Unlock()
	if e := w.endless.ends[id]; e != nil {
		change(e)
	}
}

// recordBegun records that the answer to a request has begun.
func (w *World) recordBegun(id string) {
	w.updateRequest(id, func(e *requestEnd) { e.beganAt = cmp.Or(e.beganAt, w.recorder.elapsed()) })
}

// recordWhole records that the answer to a request is whole.
func (w *World) recordWhole(id string) {
	w.recordBegun(id)
	w.updateRequest(id, func(e *requestEnd) { e.whole = true })
}

// recordLeft records that the caller leaves before the end of the answer.
func (w *World) recordLeft(id string) { w.updateRequest(id, func(e *requestEnd) { e.left = true }) }

// mustBeAnswered reports whether a request must be answered although a server sent it bytes without end: it may run again,
// and nothing of them is part of an answer that its caller could have.
func (e *requestEnd) mustBeAnswered(t touch) bool {
	return e.kind == kindStream || e.kind == kindSafe && t.kind != unframedBody
}

// checkEndless checks the requests to which servers sent bytes without end.
func (w *World) checkEndless() {
	r := w.endless
	r.mu.Lock()
	defer r.mu.Unlock()
	var times []time.Duration
	inOrder := slices.SortedFunc(maps.Values(r.ends), func(a, b *requestEnd) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, e := range inOrder {
		t, touched := r.touched[e.id]
		if !touched || e.endedAt == 0 {
			continue
		}
		w.recorder.count("sent bytes without end")
		w.checkEndlessEnd(e, t)
		if w.options.Faults == FaultsEndless && e.mustBeAnswered(t) && e.beganAt > 0 {
			times = append(times, e.beganAt-e.sentAt)
		}
	}
	slices.Sort(times)
	if len(times) >= minTouched && times[len(times)/2] > maxMedianAnswer {
		w.recorder.recordViolation("answers beside bytes without end begin soon", "all", fmt.Sprintf("median of %d: %v", len(times), times[len(times)/2]))
	}
}

// checkEndlessEnd checks that a request ended in time and, if all other servers were sound, that it was answered.
func (w *World) checkEndlessEnd(e *requestEnd, t touch) {
	took := e.endedAt - e.sentAt
	sent := fmt.Sprintf("%s at %s, sent %.3f, %s by %s, slow %t, after %v",
		e.kind, e.instance.name, e.sentAt.Seconds(), endlessNames[t.kind], t.server, t.slow, took)
	if took > routeTimeout+responseSlack && !e.instance.disturbedSince(e.sentAt) {
		w.recorder.recordViolationAt(e.endedAt, "a request that is sent bytes without end ends in time", e.id, sent)
	}
	if w.options.Faults == FaultsEndless && e.mustBeAnswered(t) && !e.whole && !e.left {
		w.recorder.recordViolationAt(e.endedAt, "a request that is sent bytes without end is answered", e.id, sent)
	}
}

// askedWatch compares how often a server that sends bytes without end is asked with the others.
type askedWatch struct {
	world  *World
	server *backend
}

// during waits while the server sends bytes without end, and checks that it is asked little.
func (a *askedWatch) during(lasts time.Duration) {
	time.Sleep(askedContact)
	asked, others := a.asked(lasts - askedContact)
	a.world.recorder.add("requests while sending without end", asked)
	a.world.recorder.add("requests meanwhile at each other", int(others))
	if a.judges(others) && float64(asked) > maxAskedShare*others+askedSlack {
		a.world.recorder.recordViolation("a server that sends bytes without end is asked little", a.server.name,
			fmt.Sprintf("%d requests, the others %.1f on average", asked, others))
	}
}

// after waits until the server, which is sound again, is asked as before, and checks that this takes not too long.
func (a *askedWatch) after() {
	soundAt := a.world.recorder.elapsed()
	for {
		asked, others := a.asked(returnWindow)
		took := a.world.recorder.elapsed() - soundAt
		switch {
		case !a.judges(others):
			return
		case float64(asked) >= minReturnShare*others:
			a.world.recorder.add("ms until servers were asked again", int(took.Milliseconds()))
			return
		case took > maxReturnTime:
			a.world.recorder.recordViolation("a server that is sound again is asked", a.server.name,
				fmt.Sprintf("%d requests in the last %v, the others %.1f on average", asked, returnWindow, others))
			return
		}
	}
}

func (a *askedWatch) judges(others float64) bool {
	return a.world.options.Faults == FaultsEndless && others >= minAskedOthers
}

// asked returns the number of requests at the server in a time, and the average number at the others.
func (a *askedWatch) asked(lasts time.Duration) (asked int, others float64) {
	before := a.world.askedCounts()
	time.Sleep(lasts)
	after := a.world.askedCounts()
	servers := 0
	for b, n := range after {
		if b == a.server {
			asked = int(n - before[b])
			continue
		}
		others += float64(n - before[b])
		servers++
	}
	return asked, others / float64(max(1, servers))
}

// askedCounts returns the number of requests that each server that has not left was sent so far.
func (w *World) askedCounts() map[*backend]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[*backend]int64)
	for _, b := range w.backends {
		if b.leavingAt.Load() == 0 {
			counts[b] = b.asked.Load()
		}
	}
	return counts
}
