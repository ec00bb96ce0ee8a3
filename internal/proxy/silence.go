package proxy

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

const (
	// silenceRepeat is the interval at which a silence that lasts is reported again. Until then a server may have got
	// room for a hedge, or have gone on.
	silenceRepeat = 250 * time.Millisecond
	// quietAfter is the time without a byte after which a server that owes some counts as quiet. Engines send nothing for
	// some hundred milliseconds while they read a long prompt.
	quietAfter = 250 * time.Millisecond
	// lateCheck is the delay from which a check is late. This process was paused, or had no processor, and first reads
	// what has arrived meanwhile.
	lateCheck = 100 * time.Millisecond
)

// silenceWatch reports that the backend server of an attempt has sent nothing for the attempt's timeout, while the proxy
// waits for bytes. The time that the caller takes to read is not counted.
type silenceWatch struct {
	response *attemptResponse
	activity *backendActivity
	// sentAt is the time at which the request was sent. It is set before the first check.
	sentAt int64
	// bodyStarted is set once a byte of the response body has been read.
	bodyStarted atomic.Bool
	// waitingSince is the time from which the proxy waits for bytes, 0 while it does not, and lastRead the time at which
	// bytes last arrived, 0 if none have.
	waitingSince, lastRead atomic.Int64

	mu sync.Mutex
	// firstByte and stall are the timeouts before and after the first byte of the body; 0 means none.
	firstByte, stall time.Duration
	// timer is nil before the first check is scheduled, and dueAt is the time of the next one.
	timer   *time.Timer
	dueAt   int64
	stopped bool
	// postponed is set if the last check was late and has decided nothing.
	postponed bool
	// logged is set once a line was written for the silence at hand.
	logged bool
}

func newSilenceWatch(a *attemptResponse) *silenceWatch {
	return &silenceWatch{response: a, firstByte: a.attempt.FirstByteTimeout, stall: a.attempt.StallTimeout}
}

// start begins to wait for the response.
func (w *silenceWatch) start() {
	w.sentAt = sinceStart()
	w.activity = w.response.exchange.server.activities.open(w.response.attempt.Backend)
	w.wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule(cmp.Or(w.firstByte, w.stall))
}

// setTimeout sets both timeouts of an attempt that has none.
func (w *silenceWatch) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstByte == 0 && w.stall == 0 {
		w.firstByte, w.stall = timeout, timeout
		w.schedule(timeout)
	}
}

// schedule schedules the next check, if after is not 0. It is called with mu held.
func (w *silenceWatch) schedule(after time.Duration) {
	w.dueAt = sinceStart() + int64(after)
	switch {
	case w.stopped, after == 0:
	case w.timer == nil:
		w.timer = time.AfterFunc(after, w.check)
	default:
		w.timer.Reset(after)
	}
}

// wait records that the proxy waits for bytes, and pause that it does not.
func (w *silenceWatch) wait() {
	now := sinceStart()
	w.waitingSince.Store(now)
	w.activity.wait(now)
}

func (w *silenceWatch) pause() {
	w.waitingSince.Store(0)
	w.activity.pause()
}

// recordRead records that bytes have arrived.
func (w *silenceWatch) recordRead() {
	now := sinceStart()
	w.lastRead.Store(now)
	w.waitingSince.Store(now)
	w.activity.lastRead.Store(now)
}

// sinceLastByte returns the time since bytes last arrived, or -1 if none have.
func (w *silenceWatch) sinceLastByte() time.Duration {
	if w.lastRead.Load() == 0 {
		return -1
	}
	return time.Duration(sinceStart() - w.lastRead.Load())
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.activity != nil {
		w.response.exchange.server.activities.release(w.activity)
	}
}

// check reports the silence if it has lasted for the timeout, and schedules the next check.
func (w *silenceWatch) check() {
	w.mu.Lock()
	timeout, silence := w.firstByte, w.silence()
	if w.bodyStarted.Load() {
		timeout = w.stall
	}
	late := sinceStart()-w.dueAt > int64(lateCheck) && !w.postponed
	w.postponed = late
	silent := timeout > 0 && silence >= timeout && !late
	log := silent && !w.logged && !w.stopped
	w.logged = silent
	switch {
	case late:
		w.schedule(lateCheck / 2)
	case silent:
		w.schedule(silenceRepeat)
	case timeout > 0:
		w.schedule(timeout - silence)
	default:
		w.schedule(w.stall)
	}
	w.mu.Unlock()
	if silent {
		w.report(silence, log)
	}
}

// silence returns how long the server has sent nothing of the body, or 0 while the proxy does not wait for it.
func (w *silenceWatch) silence() time.Duration {
	since := w.waitingSince.Load()
	if since == 0 {
		return 0
	}
	if !w.bodyStarted.Load() {
		since = w.sentAt
	}
	return time.Duration(sinceStart() - since)
}

func (w *silenceWatch) report(silence time.Duration, log bool) {
	a, x := w.response, w.response.exchange
	quiet := x.server.activities.quiet(a.attempt.Backend)
	if log {
		x.server.log.put("backend server silent", "request", x.id, "attempt", a.attempt.Attempt, "backend", a.attempt.Backend,
			"silentMs", silence.Milliseconds(), "bodyStarted", w.bodyStarted.Load(), "quietServers", len(quiet))
	}
	x.server.post(core.AttemptSilent{
		Request: x.id, Attempt: a.attempt.Attempt, LastEventID: x.race.lastEventID(), Quiet: quiet,
	})
}

// processStart is the origin of the times in this file: their differences follow the monotonic clock.
var processStart = time.Now()

// sinceStart returns the time since processStart in nanoseconds, never 0.
func sinceStart() int64 { return max(1, int64(time.Since(processStart))) }

// backendActivity is what this instance knows of the bytes that a backend server sends, over all its attempts there.
type backendActivity struct {
	backend string
	// users counts the attempts in progress. It is guarded by the activities' lock.
	users int
	// waiting counts the attempts that wait for bytes, and waitingSince is the time at which the first of them began to.
	waiting      atomic.Int32
	waitingSince atomic.Int64
	// lastRead is the time of the last byte.
	lastRead atomic.Int64
}

func (b *backendActivity) wait(now int64) {
	if b.waiting.Add(1) == 1 {
		b.waitingSince.Store(now)
	}
}

func (b *backendActivity) pause() { b.waiting.Add(-1) }

// quiet reports whether the server owes bytes and has sent none for quietAfter.
func (b *backendActivity) quiet(now int64) bool {
	last := max(b.lastRead.Load(), b.waitingSince.Load())
	return b.waiting.Load() > 0 && now-last >= int64(quietAfter)
}

// backendActivities holds the activity of the backend servers at which attempts are in progress.
type backendActivities struct {
	mu     sync.Mutex
	byName map[string]*backendActivity
}

func newBackendActivities() *backendActivities {
	return &backendActivities{byName: make(map[string]*backendActivity)}
}

// open returns the activity of a server, until release is called.
func (s *backendActivities) open(backend string) *backendActivity {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byName[backend]
	if b == nil {
		b = &backendActivity{backend: backend}
		s.byName[backend] = b
	}
	b.users++
	return b
}

func (s *backendActivities) release(b *backendActivity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.users--
	if b.users == 0 {
		delete(s.byName, b.backend)
	}
}

// quiet returns the quiet servers other than one, sorted.
func (s *backendActivities) quiet(except string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := sinceStart()
	var names []string
	for name, b := range s.byName {
		if name != except && b.quiet(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
