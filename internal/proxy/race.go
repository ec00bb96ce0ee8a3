package proxy

import (
	"strconv"
	"sync"
)

// race decides which of a request's attempts delivers the response. One attempt at a time is current: the caller gets
// its bytes. The others are hedges, each in a goroutine of its own.
//
// The invariant: an attempt is superseded only by one that holds the next bytes of the response, and what is read from a
// superseded attempt never reaches the caller.
type race struct {
	mu sync.Mutex
	// current is the attempt whose response the caller gets, nil while there is none.
	current *attemptResponse
	hedges  []*attemptResponse
	// won receives a hedge that has become current, for the goroutine that serves the caller.
	won chan *attemptResponse
	// delivered counts the parts of the response that attempts have delivered: events, or bodies.
	delivered int
	// lastEvent is the number of the last event that was delivered, and resumable is set if the stream can go on after it.
	lastEvent uint64
	resumable bool
	// stream identifies the stream at an engine that lets its streams be resumed, and atEngine is set if there was one: only
	// that engine can go on with it.
	stream   streamRef
	atEngine bool
	// cancelledUpTo is the highest number of a cancelled attempt, and finished is set once the response is whole, the core
	// has ended the request, or its caller is gone.
	cancelledUpTo int
	finished      bool
	// withdrawn holds the numbers of the attempts that the core has withdrawn, nil if there are none.
	withdrawn map[int]bool
}

// newRace returns the race of a request whose caller has received the events up to lastEvent.
func newRace(lastEvent uint64) *race {
	return &race{won: make(chan *attemptResponse, 1), lastEvent: lastEvent}
}

// start makes an attempt the current one. It cancels the attempt at once if its request has ended.
func (r *race) start(a *attemptResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = a
	if r.finished || a.attempt.Attempt <= r.cancelledUpTo {
		a.call.cancel()
	}
	r.withdrawIfDue(a)
}

// startHedge adds a hedge and calls prepare, unless the response has gone on since the core decided on it. While prepare
// runs the request of the caller stays valid.
func (r *race) startHedge(a *attemptResponse, prepare func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	resumes := a.attempt.ResumeAfter != ""
	outdated := !resumes && r.delivered > 0 || resumes && (a.attempt.ResumeAfter != r.resumeAfter() || r.atEngine && r.stream.id == "")
	if outdated || len(r.won) > 0 || r.finished || a.attempt.Attempt <= r.cancelledUpTo {
		return false
	}
	prepare()
	r.hedges = append(r.hedges, a)
	r.withdrawIfDue(a)
	return true
}

// resumeAfter returns the ID of the event after which another attempt can go on with the response, "" if nothing has
// been delivered or the response is not resumable. It is called with mu held.
func (r *race) resumeAfter() string {
	if !r.resumable {
		return ""
	}
	return strconv.FormatUint(r.lastEvent, 10)
}

// lastEventID is resumeAfter for callers that do not hold mu.
func (r *race) lastEventID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resumeAfter()
}

// claim reports whether the part of the response that an attempt has read may be delivered. It supersedes all other
// attempts. A hedge becomes current.
func (r *race) claim(a *attemptResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.superseded || r.finished || a.attempt.Attempt <= r.cancelledUpTo {
		return false
	}
	wins := r.current != a
	if wins {
		r.supersede(r.current)
		r.current = a
		r.stream, r.atEngine = a.stream, a.stream.id != ""
	}
	for _, hedge := range r.hedges {
		if hedge != a {
			r.supersede(hedge)
		}
	}
	r.hedges = nil
	r.delivered++
	r.lastEvent = a.sequence.last
	r.resumable = a.resumable(r.stream)
	r.finished = a.complete
	if wins {
		// There is room: no hedge starts before the last winner has been taken over. From here on another goroutine uses a.
		r.won <- a
	}
	return true
}

// isOver reports whether an attempt was superseded or its request has ended.
func (r *race) isOver(a *attemptResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.superseded || r.finished || a.attempt.Attempt <= r.cancelledUpTo
}

// supersede cancels an attempt that another one has overtaken.
func (r *race) supersede(a *attemptResponse) {
	if a != nil {
		a.superseded = true
		a.call.cancel()
	}
}

// ended removes an attempt that has ended, and reports whether it was superseded.
func (r *race) ended(a *attemptResponse) (superseded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == a {
		r.current = nil
	}
	for i, hedge := range r.hedges {
		if hedge == a {
			r.hedges = append(r.hedges[:i], r.hedges[i+1:]...)
			break
		}
	}
	return a.superseded
}

// cancel cancels the attempts up to a number. If over is set, it cancels all, and none can start any more.
func (r *race) cancel(upTo int, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = r.finished || over
	r.cancelledUpTo = max(r.cancelledUpTo, upTo)
	for _, a := range append([]*attemptResponse{r.current}, r.hedges...) {
		if a != nil && (r.finished || a.attempt.Attempt <= r.cancelledUpTo) {
			a.call.cancel()
		}
	}
}

// setStream records the stream of an attempt at its engine. That of a hedge becomes the one of the response once it delivers.
func (r *race) setStream(a *attemptResponse, s streamRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.stream = s
	if r.current != a {
		return
	}
	r.stream = s
	r.atEngine = s.id != ""
	if r.delivered == 0 {
		r.resumable = s.id != ""
	}
}

// isAbandoned reports whether an attempt has begun a stream of its own that the response does not go on with.
func (r *race) isAbandoned(a *attemptResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.stream.id != "" && a.stream != r.stream
}

// begun reports whether any part of the response was delivered.
func (r *race) begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered > 0
}

// streamLost forgets a stream that its engine no longer holds.
func (r *race) streamLost(s streamRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream == s {
		r.stream = streamRef{}
	}
}

// deliveredUpTo returns the number of the last event that the caller's response has.
func (r *race) deliveredUpTo() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEvent
}

// takeStream returns the stream and forgets it.
func (r *race) takeStream() streamRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stream
	r.stream = streamRef{}
	return s
}

// streamToResume returns the stream at its engine. It is lost if there was one that the engine no longer holds.
func (r *race) streamToResume() (stream streamRef, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream, r.atEngine && r.stream.id == ""
}

func (r *race) streamRef() streamRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream
}

// takeWinner returns a hedge that has won and was not taken over yet, nil if there is none.
func (r *race) takeWinner() *attemptResponse {
	select {
	case a := <-r.won:
		return a
	default:
		return nil
	}
}
