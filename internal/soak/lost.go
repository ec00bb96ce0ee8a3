package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// A request that an instance has read whole and passed on to a sound backend server ends with a whole answer. Planned work
// excuses nothing but requests that an ending grace time cuts.
const (
	// unplannedReach is how long before a request an unplanned fault of its instance or server excuses its end.
	unplannedReach = 3 * time.Second
	// lateSend is the time after SIGTERM up to which a request may be sent that the end of the grace time cuts, and
	// lastGraceShare the last part of the grace time, in which it may be cut.
	lateSend, lastGraceShare = 3 * time.Second, 6
	// timeoutReach is how long before a request a changed timeout may have been replaced and still apply to it.
	timeoutReach = 2 * time.Second
)

// lostRecorder records what the check for lost requests needs.
type lostRecorder struct {
	mu       sync.Mutex
	requests map[string]*passage
	runs     map[string][]*serverRun
	faults   []unplannedFault
	stops    []plannedStop
	timeouts []writtenTimeout
}

// passage is a request as its caller sees it.
type passage struct {
	id       string
	kind     string
	instance *instance
	sentAt   time.Duration
	// wholeAt is when its last byte was sent, 0 if that is not known.
	wholeAt time.Duration
	// endedAt and cut are set if the request ended without a whole answer; cut says how.
	endedAt time.Duration
	cut     string
	// behindCut is the request before on the connection if its response was cut, "" if not.
	behindCut string
	// answered is set if it ended with a failure's whole response.
	answered bool
}

// failureStatus is the status of a response that the fleet generated for a request that failed.
type failureStatus string

// Error implements error.
func (s failureStatus) Error() string { return "status " + string(s) }

// serverRun is a run of a request at a backend server.
type serverRun struct {
	server    *backend
	startedAt time.Duration
	endedAt   time.Duration
	// brokeOff is set if the server ended it before its answer was whole.
	brokeOff bool
}

// unplannedFault is a fault of an instance or a backend server, or of all if subject is nil. It lasts until endedAt, 0
// while it goes on.
type unplannedFault struct {
	subject            any
	startedAt, endedAt time.Duration
}

type plannedStop struct {
	instance *instance
	at       time.Duration
}

type writtenTimeout struct {
	at      time.Duration
	timeout time.Duration
}

func newLostRecorder() *lostRecorder {
	return &lostRecorder{requests: make(map[string]*passage), runs: make(map[string][]*serverRun)}
}

// recordSent records that a caller sends a request to an instance.
func (w *World) recordSent(i *instance, kind, id string) {
	w.zones.recordSender(id, i)
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &passage{id: id, kind: kind, instance: i, sentAt: w.recorder.elapsed()}
}

// recordCut records that a request ended without a whole answer, unless its caller ended it.
func (w *World) recordCut(id string, how error) {
	if errors.Is(how, context.Canceled) {
		w.recordLeft(id)
	}
	if errors.Is(how, context.Canceled) || errors.Is(how, context.DeadlineExceeded) {
		return
	}
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.requests[id]; p != nil {
		p.endedAt, p.cut = w.recorder.elapsed(), how.Error()
		p.answered = errors.As(how, new(failureStatus))
	}
}

// recordServerRun records a run that starts. The caller calls the returned function at its end.
func (w *World) recordServerRun(b *backend, id string) (end func(brokeOff bool)) {
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &serverRun{server: b, startedAt: w.recorder.elapsed()}
	l.runs[id] = append(l.runs[id], run)
	return func(brokeOff bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		run.endedAt, run.brokeOff = w.recorder.elapsed(), brokeOff
	}
}

// beginUnplanned records the start of an unplanned fault of an instance or a backend server, or of all if subject is nil.
// The caller calls the returned function at its end.
func (w *World) beginUnplanned(subject any) (end func()) {
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.faults)
	l.faults = append(l.faults, unplannedFault{subject: subject, startedAt: w.recorder.elapsed()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.faults[n].endedAt = w.recorder.elapsed()
	}
}

// recordStop records that an instance gets SIGTERM.
func (w *World) recordStop(i *instance) {
	w.lost.mu.Lock()
	defer w.lost.mu.Unlock()
	w.lost.stops = append(w.lost.stops, plannedStop{instance: i, at: w.recorder.elapsed()})
}

// recordTimeout records that a configuration with another timeout of the routes is written.
func (w *World) recordTimeout(timeout time.Duration) {
	w.lost.mu.Lock()
	defer w.lost.mu.Unlock()
	w.lost.timeouts = append(w.lost.timeouts, writtenTimeout{at: w.recorder.elapsed(), timeout: timeout})
}

// checkLost reports the requests that were passed on to sound backend servers and ended without a whole answer.
func (w *World) checkLost() {
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	judged := 0
	inOrder := slices.SortedFunc(maps.Values(l.requests), func(a, b *passage) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, p := range inOrder {
		runs := l.runs[p.id]
		if len(runs) == 0 || l.unplanned(p, runs) {
			continue
		}
		judged++
		if p.cut == "" {
			continue
		}
		if why := l.excuse(p, runs); why != "" {
			w.recorder.count("cut " + why)
			continue
		}
		w.recorder.recordViolationAt(p.endedAt, "a request that was passed on is answered", p.id, l.describe(p, runs))
		w.recorder.count("lost")
	}
	w.recorder.add("passed on without unplanned faults", judged)
}

// unplanned reports whether an unplanned fault touched the instance or a server of a request.
func (l *lostRecorder) unplanned(p *passage, runs []*serverRun) bool {
	for _, f := range l.faults {
		after := p.endedAt > 0 && f.startedAt > p.endedAt
		before := f.endedAt > 0 && f.endedAt < p.sentAt-unplannedReach
		if !after && !before && touches(f.subject, p, runs) {
			return true
		}
	}
	return false
}

func touches(subject any, p *passage, runs []*serverRun) bool {
	if subject == nil || subject == any(p.instance) {
		return true
	}
	for _, r := range runs {
		if subject == any(r.server) {
			return true
		}
	}
	return false
}

// excuse says why a request that was cut did not have to be answered, "" if it had to.
func (l *lostRecorder) excuse(p *passage, runs []*serverRun) string {
	switch {
	case p.endedAt-p.sentAt >= l.timeoutOf(p):
		return "at the timeout"
	case l.cutByGrace(p, runs):
		return "by the grace time"
	case slices.ContainsFunc(runs, func(r *serverRun) bool { return r.brokeOff }):
		return "by the server"
	default:
		return ""
	}
}

// timeoutOf returns the shortest timeout that may have applied to a request.
func (l *lostRecorder) timeoutOf(p *passage) time.Duration {
	shortest := callerTimeout
	for n, t := range l.timeouts {
		replaced := n+1 < len(l.timeouts) && l.timeouts[n+1].at < p.sentAt-timeoutReach
		if !replaced && t.at <= p.endedAt {
			shortest = min(shortest, t.timeout)
		}
	}
	return shortest
}

// cutByGrace reports whether the end of the grace time may have cut a request whose server was still at work.
func (l *lostRecorder) cutByGrace(p *passage, runs []*serverRun) bool {
	for _, s := range l.stops {
		lastPart := s.at + stopGrace - stopGrace/lastGraceShare
		if s.instance != p.instance || p.sentAt > s.at+lateSend || p.endedAt < lastPart || p.endedAt > s.at+stopGrace+time.Second {
			continue
		}
		for _, r := range runs {
			if r.endedAt == 0 || r.endedAt >= lastPart {
				return true
			}
		}
	}
	return false
}

// describe returns what is known about a lost request, and what its instance logged about its end.
func (l *lostRecorder) describe(p *passage, runs []*serverRun) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s at %s, sent %.3f, ended %.3f: %s", p.kind, p.instance.name, p.sentAt.Seconds(), p.endedAt.Seconds(), p.cut)
	for _, r := range runs {
		_, _ = fmt.Fprintf(&text, "; run at %s %.3f to %.3f", r.server.name, r.startedAt.Seconds(), r.endedAt.Seconds())
	}
	for _, s := range l.stops {
		if s.instance == p.instance && s.at < p.endedAt && s.at > p.sentAt-stopGrace {
			_, _ = fmt.Fprintf(&text, "; SIGTERM at %.3f", s.at.Seconds())
		}
	}
	for _, line := range p.instance.loggedEnds(p.id) {
		_, _ = fmt.Fprintf(&text, "; log: %s", line)
	}
	return text.String()
}
