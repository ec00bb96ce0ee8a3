package core_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// silentEventInterval is the time between two events of a stream.
	silentEventInterval = 100 * time.Millisecond
	// silentDialTimeout is the time after which the proxy gives up an attempt to connect.
	silentDialTimeout = 150 * time.Millisecond
	// keptShare is the share of attempts at an engine that is cut off that use a connection opened before.
	keptShare = 0.5
)

// silentEngine is an engine's process.
type silentEngine struct {
	name, service string
	index         int
	// silentUntil is the time up to which nothing comes from the engine. Its machine accepts connections all the same,
	// unless it is cut off.
	silentUntil time.Time
	cutOff      bool
	ended       bool
	running     []*silentAttempt
}

// silentAttempt is an attempt in progress at an instance's proxy.
type silentAttempt struct {
	call    *silentCall
	by      *fakeInstance
	attempt core.SendAttempt
	engine  *silentEngine
	sentAt  time.Time
	// sent are the events that the engine has sent, counted from the stream's first one, and dueAt the time of the next.
	sent  int
	dueAt time.Time
	// heardAt is the time of the last byte, zero before the first.
	heardAt time.Time
	// over is set once the proxy has closed the attempt's connection, at endedAt.
	over    bool
	endedAt time.Time
}

// attemptCount counts a service's requests, and the attempts that reached an engine beyond a request's first one.
type attemptCount struct {
	requests, repeats []time.Time
}

func (f *silentFleet) engine(name string) *silentEngine {
	i := slices.IndexFunc(f.engines, func(e *silentEngine) bool { return e.name == name })
	return f.engines[i]
}

// runAttempt connects an attempt to its engine.
func (f *silentFleet) runAttempt(m *fakeInstance, a core.SendAttempt) {
	c, e := f.calls[a.Request], f.engine(a.Backend)
	r := &silentAttempt{call: c, by: m, attempt: a, engine: e, sentAt: f.now}
	c.inProgress, c.attempts = append(c.inProgress, r), append(c.attempts, r)
	c.steps = append(c.steps, fmt.Sprintf("attempt %d at %s at %v after event %q", a.Attempt, e.name, f.now.Sub(c.sentAt), a.ResumeAfter))
	switch {
	case e.ended:
		f.endAttempt(r, core.AttemptEnded{Outcome: retry.NotSent, ConnectionRefused: true}, 3*time.Millisecond)
	case e.cutOff && f.random.Float64() >= keptShare:
		f.reply(m, silentDialTimeout, core.BackendDialed{Backend: e.name, Results: dialResults(&a)})
		f.endAttempt(r, core.AttemptEnded{Outcome: retry.NotSent}, silentDialTimeout)
	default:
		f.reach(r)
	}
}

// dialResults returns the results of all paths to an engine that nobody reaches.
func dialResults(a *core.SendAttempt) []paths.Observation {
	results := []paths.Observation{{Result: paths.TimedOut}}
	for _, relay := range a.Dial.Relays {
		results = append(results, paths.Observation{Relay: relay.Name, Result: paths.TimedOut})
	}
	return results
}

// reach lets an attempt reach its engine, which starts the request once it is not silent.
func (f *silentFleet) reach(r *silentAttempt) {
	c, e := r.call, r.engine
	count := f.attempts[e.service]
	if c.arrived == 0 {
		c.service = e.service
		count.requests = append(count.requests, f.now)
	} else {
		count.repeats = append(count.repeats, f.now)
	}
	c.arrived++
	e.running = append(e.running, r)
	if r.attempt.ResumeAfter != "" {
		r.sent, _ = strconv.Atoi(r.attempt.ResumeAfter)
	}
	f.watchSilence(r)
	f.schedule(time.Millisecond, func() { f.startRun(r) })
}

// startRun lets the engine read the request. A silent engine reads it later, even if its connection was closed meanwhile.
func (f *silentFleet) startRun(r *silentAttempt) {
	if r.engine.ended {
		return
	}
	if wait := r.engine.silentUntil.Sub(f.now); wait > 0 {
		f.schedule(wait+f.betweenMs(0, 5), func() { f.startRun(r) })
		return
	}
	r.call.runs++
	r.dueAt = f.now.Add(f.betweenMs(20, 80))
	f.sendEvents(r)
}

// sendEvents lets the engine send the events that are due, and waits for the next one.
func (f *silentFleet) sendEvents(r *silentAttempt) {
	if wait := r.engine.silentUntil.Sub(f.now); wait > 0 {
		f.schedule(wait+f.betweenMs(0, 5), func() { f.sendEvents(r) })
		return
	}
	for !r.over && !r.engine.ended && !r.dueAt.After(f.now) {
		r.sent++
		r.dueAt = r.dueAt.Add(silentEventInterval)
		f.receive(r)
	}
	if !r.over && !r.engine.ended {
		f.schedule(r.dueAt.Sub(f.now), func() { f.sendEvents(r) })
	}
}

// receive passes the last event of an attempt on to the caller, unless it has it already.
func (f *silentFleet) receive(r *silentAttempt) {
	c := r.call
	first := r.heardAt.IsZero()
	r.heardAt = f.now
	if r.sent > c.received {
		if c.end == "" {
			c.received, c.heardAt = r.sent, f.now
			c.heard = append(c.heard, heardEvent{at: f.now, from: r.engine})
		}
		if r.sent >= c.total {
			f.endAttempt(r, core.AttemptEnded{Outcome: retry.Answered}, time.Millisecond)
			if c.end == "" {
				f.endCall(c, endAnswered)
			}
			return
		}
		if first {
			c.steps = append(c.steps, fmt.Sprintf("event %d of attempt %d at %v", r.sent, r.attempt.Attempt, f.now.Sub(c.sentAt)))
			f.reply(r.by, time.Millisecond, core.AnswerStarted{Request: c.id, Attempt: r.attempt.Attempt, ProcessCertain: r.attempt.Process != nil})
		}
	}
	f.watchSilence(r)
}

// watchSilence calls silenceReached once the attempt's engine has sent nothing for the attempt's timeout.
func (f *silentFleet) watchSilence(r *silentAttempt) {
	timeout := r.attempt.FirstByteTimeout
	if !r.heardAt.IsZero() {
		timeout = r.attempt.StallTimeout
	}
	heardAt := r.heardAt
	if timeout > 0 {
		f.schedule(timeout, func() {
			if !r.over && r.heardAt.Equal(heardAt) {
				f.silenceReached(r)
			}
		})
	}
}

// silenceReached is what the proxy does at an attempt whose engine has sent nothing for its timeout.
func (f *silentFleet) silenceReached(r *silentAttempt) {
	end := core.AttemptEnded{Outcome: retry.Unknown}
	if !r.heardAt.IsZero() {
		end.Outcome, end.LastEventID = retry.Broken, strconv.Itoa(r.call.received)
	}
	f.endAttempt(r, end, time.Millisecond)
}

// endAttempt closes an attempt's connection and reports its end.
func (f *silentFleet) endAttempt(r *silentAttempt, e core.AttemptEnded, after time.Duration) {
	f.leave(r)
	e.Request, e.Attempt = r.attempt.Request, r.attempt.Attempt
	if e.Outcome != retry.Answered {
		r.call.steps = append(r.call.steps, fmt.Sprintf("attempt %d %s at %v, engine silent: %v", e.Attempt, e.Outcome, f.now.Sub(r.call.sentAt), f.now.Before(r.engine.silentUntil)))
	}
	f.reply(r.by, after, e)
}

// leave closes an attempt's connection.
func (f *silentFleet) leave(r *silentAttempt) {
	r.over, r.endedAt = true, f.now
	same := func(other *silentAttempt) bool { return other == r }
	r.call.inProgress = slices.DeleteFunc(r.call.inProgress, same)
	r.engine.running = slices.DeleteFunc(r.engine.running, same)
}

// cancelled ends the given attempt of a request and the earlier ones.
func (f *silentFleet) cancelled(_ *fakeInstance, e core.CancelAttempt) {
	for _, r := range slices.Clone(f.calls[e.Request].inProgress) {
		if r.attempt.Attempt > e.Attempt {
			continue
		}
		outcome := retry.Unknown
		if !r.heardAt.IsZero() {
			outcome = retry.Broken
		}
		f.endAttempt(r, core.AttemptEnded{Outcome: outcome}, time.Millisecond)
	}
}

// pause lets a share of the engines, drawn at random, fall silent for a time. The entries of some of them lapse meanwhile
// and come back.
func (f *silentFleet) pause(share float64, lasts time.Duration) {
	for _, i := range f.random.Perm(len(f.engines))[:int(share*float64(len(f.engines)))] {
		e := f.engines[i]
		e.silentUntil = f.now.Add(lasts)
		if f.random.IntN(3) > 0 {
			continue
		}
		f.schedule(f.betweenMs(300, 800), func() { f.store.putEntry(e.name, nil) })
		f.schedule(lasts+f.betweenMs(50, 400), func() { f.register(e) })
	}
}
