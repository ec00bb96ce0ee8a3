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
	// quietAfter is the time without progress after which a server that owes some counts as quiet. Engines send nothing for
	// some hundred milliseconds while they read a long prompt.
	quietAfter = 250 * time.Millisecond
	// partTimeout is the time after the first bytes of a header or an event after which the rest is missing: a server that
	// works sends them at once, and a network repeats what it has lost within less.
	partTimeout = time.Second
	// lateCheck is the delay from which a check is late. This process was paused, or had no processor, and first reads
	// what has arrived meanwhile.
	lateCheck = 100 * time.Millisecond
)

// silenceWatch reports that the backend server of an attempt has made no progress for the attempt's timeout, while the proxy
// waits for bytes. The time that the caller takes to read is not counted.
//
// Progress is what brings the answer nearer to its end: a response header, bytes of a body, a new event. Bytes alone are
// none: a server may send a header or an event without end, a byte now and then.
type silenceWatch struct {
	response *attemptResponse
	activity *backendActivity

	mu sync.Mutex
	// sentAt is the time at which the request was sent. It is set before the first check.
	sentAt int64
	// sending is set while the request is sent: a server that does not read it has taken a part.
	sending bool
	// bodyBegun is set once a byte of a body that is no stream of events has arrived.
	bodyBegun bool
	// delivered is set once a part of the response was delivered to the caller.
	delivered bool
	// waitingSince is the time from which the proxy waits for bytes, 0 while it does not, and waited the time for which it
	// has waited before that.
	waitingSince int64
	waited       time.Duration
	// progressAt is the wait after which progress was last made. heard is set once bytes have arrived since, and bytes is the
	// number of those that do not just keep the connection alive.
	progressAt time.Duration
	heard      bool
	bytes      int
	// partAt is the wait after which the first bytes of an unfinished part arrived, and partBytes their number.
	partAt    time.Duration
	partBytes int
	// lastRead is the time at which bytes last arrived, 0 if none have.
	lastRead int64
	// firstByte is the timeout until a part of the response is delivered, and stall the one between two parts; 0 means none.
	firstByte, stall time.Duration
	// timer is nil before the first check is scheduled, and dueAt is the time of the next one, if one is scheduled.
	timer     *time.Timer
	dueAt     int64
	scheduled bool
	stopped   bool
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
	w.activity = w.response.exchange.server.activities.open(w.response.attempt.Backend)
	w.wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentAt = w.waitingSince
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
	if w.stopped || after == 0 {
		return
	}
	w.dueAt = sinceStart() + int64(after)
	w.scheduled = true
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.check)
		return
	}
	w.timer.Reset(after)
}

// wait records that the proxy waits for bytes, and pause that it does not.
func (w *silenceWatch) wait() {
	now := sinceStart()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = now
	w.activity.wait(now)
}

func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waited = w.totalWait()
	w.waitingSince = 0
	w.activity.pause()
}

// totalWait returns the time for which the proxy has waited for bytes. It is called with mu held.
func (w *silenceWatch) totalWait() time.Duration {
	if w.waitingSince == 0 {
		return w.waited
	}
	return w.waited + time.Duration(sinceStart()-w.waitingSince)
}

// recordRead records that bytes have arrived. If the first of a part have, the rest is due.
func (w *silenceWatch) recordRead(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRead = sinceStart()
	if w.partBytes == 0 {
		w.partAt = w.totalWait()
		if untilCheck := time.Duration(w.dueAt - w.lastRead); !w.scheduled || untilCheck > partTimeout {
			w.schedule(partTimeout)
		}
	}
	w.partBytes += n
	w.bytes += n
	w.heard = true
}

// setSending records whether the request is being sent.
func (w *silenceWatch) setSending(sending bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending = sending
}

// endPart records that the bytes up to now were a whole part that is no progress: the next part is not due.
func (w *silenceWatch) endPart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partBytes = 0
}

// keepAlive records that the bytes up to now keep the connection alive, which a server that works may do for long.
func (w *silenceWatch) keepAlive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= w.partBytes
	w.partBytes = 0
}

// readBody records that bytes of a body that is no stream of events have arrived.
func (w *silenceWatch) readBody() {
	w.progress()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bodyBegun = true
}

// progress records that the answer is nearer to its end.
func (w *silenceWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partBytes, w.bytes, w.heard = 0, 0, false
	w.progressAt = w.totalWait()
	w.activity.lastProgress.Store(sinceStart())
}

// deliver records that a part of the response was delivered.
func (w *silenceWatch) deliver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.delivered {
		w.delivered = true
		w.schedule(w.stall)
	}
}

// sinceLastByte returns the time since bytes last arrived, or -1 if none have.
func (w *silenceWatch) sinceLastByte() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastRead == 0 {
		return -1
	}
	return time.Duration(sinceStart() - w.lastRead)
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
	w.scheduled = false
	late := sinceStart()-w.dueAt > int64(lateCheck) && !w.postponed
	w.postponed = late
	left := w.untilSilent()
	silent := left <= 0 && !late && !w.stopped
	log := silent && !w.logged
	w.logged = silent
	switch {
	case late:
		w.schedule(lateCheck / 2)
	case silent:
		w.schedule(silenceRepeat)
	default:
		w.schedule(left)
	}
	seen := w.seen()
	w.mu.Unlock()
	if silent {
		w.report(seen, log)
	}
}

// noTimeout is the time until an attempt without a timeout is silent.
const noTimeout = time.Hour

// untilSilent returns the time until the attempt is silent. It is called with mu held.
func (w *silenceWatch) untilSilent() time.Duration {
	left := noTimeout
	timeout, silence := w.stall, w.totalWait()-w.progressAt
	if !w.delivered {
		timeout, silence = w.firstByte, time.Duration(sinceStart()-w.sentAt)
	}
	switch {
	case timeout > 0 && w.waitingSince == 0:
		left = timeout
	case timeout > 0:
		left = timeout - silence
	}
	if w.partBytes == 0 {
		return left
	}
	untilMissed := partTimeout
	if w.waitingSince != 0 {
		untilMissed -= w.totalWait() - w.partAt
	}
	return min(left, untilMissed)
}

// silence is what is known of a silence.
type silence struct {
	// sinceProgress is the time for which the proxy has waited since the last progress, and bytes is what arrived in it.
	sinceProgress time.Duration
	bytes         int
	delivered     bool
	// heard is set if bytes have arrived, stuck if the request or the response came no further by some, and partMissing if
	// those are the beginning of a part.
	heard, stuck, partMissing bool
}

// seen returns what is known of the silence. It is called with mu held.
func (w *silenceWatch) seen() silence {
	return silence{
		sinceProgress: w.totalWait() - w.progressAt, bytes: w.bytes, delivered: w.delivered,
		heard: w.heard || w.bodyBegun, stuck: w.sending || w.bytes > 0, partMissing: w.partBytes > 0,
	}
}

func (w *silenceWatch) report(s silence, log bool) {
	a, x := w.response, w.response.exchange
	quiet := x.server.activities.quiet(a.attempt.Backend)
	if log {
		x.server.log.put("backend server silent", "request", x.id, "attempt", a.attempt.Attempt, "backend", a.attempt.Backend,
			"silentMs", s.sinceProgress.Milliseconds(), "bytes", s.bytes, "stuck", s.stuck, "delivered", s.delivered, "quietServers", len(quiet))
	}
	lastEvent := x.race.lastEventID()
	if s.partMissing && !x.race.begun() {
		lastEvent = "" // The stream can begin anew elsewhere.
	}
	x.server.post(core.AttemptSilent{
		Request: x.id, Attempt: a.attempt.Attempt, LastEventID: lastEvent, Quiet: quiet,
		Heard: s.heard, Stuck: s.stuck,
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
	// lastProgress is the time at which one of its responses last made progress.
	lastProgress atomic.Int64
}

func (b *backendActivity) wait(now int64) {
	if b.waiting.Add(1) == 1 {
		b.waitingSince.Store(now)
	}
}

func (b *backendActivity) pause() { b.waiting.Add(-1) }

// quiet reports whether the server owes bytes and has made no progress for quietAfter.
func (b *backendActivity) quiet(now int64) bool {
	last := max(b.lastProgress.Load(), b.waitingSince.Load())
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
