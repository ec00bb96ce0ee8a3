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
	// silenceRepeat is the interval at which the proxy reports a silence that lasts, and quietAfter the time without a byte
	// after which an engine that owes some counts as quiet.
	silenceRepeat, quietAfter = 250 * time.Millisecond, 250 * time.Millisecond
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
	// heardAt is the time at which bytes last came to an instance.
	heardAt map[*fakeInstance]time.Time
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
	case a.Hedge && (c.end != "" || a.ResumeAfter != c.lastEventID()):
		f.endAttempt(r, core.AttemptEnded{Outcome: retry.Superseded, Unsent: true}, time.Millisecond)
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
	r.heardAt, r.engine.heardAt[r.by] = f.now, f.now
	if r.sent > c.received {
		f.supersedeOthers(r)
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
		if !c.headSent {
			c.headSent = true
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
	if timeout > 0 {
		f.afterSilence(r, timeout)
	}
}

// silenceReached is what the proxy does at an attempt whose engine has sent nothing for its timeout, and each
// silenceRepeat from then on.
func (f *silentFleet) silenceReached(r *silentAttempt) {
	f.reply(r.by, time.Millisecond, core.AttemptSilent{
		Request: r.call.id, Attempt: r.attempt.Attempt, LastEventID: r.call.lastEventID(), Quiet: f.quietEngines(r),
	})
	f.afterSilence(r, silenceRepeat)
}

// afterSilence calls silenceReached unless the attempt ends or its engine sends something within a time.
func (f *silentFleet) afterSilence(r *silentAttempt, lasts time.Duration) {
	heardAt := r.heardAt
	f.schedule(lasts, func() {
		if !r.over && r.heardAt.Equal(heardAt) {
			f.silenceReached(r)
		}
	})
}

// quietEngines returns the engines, other than an attempt's own, that owe its instance bytes and have sent none for quietAfter.
func (f *silentFleet) quietEngines(r *silentAttempt) []string {
	var names []string
	for _, e := range f.engines {
		if e != r.engine && e.owesBytes(r.by) && f.now.Sub(e.lastHeard(r.by)) >= quietAfter {
			names = append(names, e.name)
		}
	}
	slices.Sort(names)
	return names
}

func (e *silentEngine) owesBytes(m *fakeInstance) bool {
	return slices.ContainsFunc(e.running, func(r *silentAttempt) bool { return r.by == m })
}

// lastHeard returns the time at which bytes of the engine last came to an instance, or its first attempt in progress was sent.
func (e *silentEngine) lastHeard(m *fakeInstance) time.Time {
	i := slices.IndexFunc(e.running, func(r *silentAttempt) bool { return r.by == m })
	last := e.running[i].sentAt
	if at := e.heardAt[m]; at.After(last) {
		return at
	}
	return last
}

// lastEventID returns the ID of the last event that the caller has, if another attempt can go on after it.
func (c *silentCall) lastEventID() string {
	if c.kind.once || c.received == 0 {
		return ""
	}
	return strconv.Itoa(c.received)
}

// supersedeOthers ends the attempts of a request beside one that has delivered.
func (f *silentFleet) supersedeOthers(r *silentAttempt) {
	for _, other := range slices.Clone(r.call.inProgress) {
		if other != r {
			f.endAttempt(other, core.AttemptEnded{Outcome: retry.Superseded}, time.Millisecond)
		}
	}
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
