package scale_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/fleettest"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// engineSlots is the number of requests that an engine runs at a time.
	engineSlots = 12
	// firstParts and secondParts are the numbers of first and of second parts of prompts.
	firstParts, secondParts = 40, 1000
	// endedFor is the time until an engine that ended is back.
	endedFor = 2 * time.Second
)

// engineFleet is a fleet in front of many engines, a share of which ends at once and starts again later.
type engineFleet struct {
	*fleettest.Fleet
	zones   int
	engines map[string]*engine
	// served counts the answered requests.
	served int
}

// engine is one engine.
type engine struct {
	name    string
	index   int
	starts  uint64
	ended   bool
	running map[core.RequestID]fleettest.RunningAttempt
}

func newEngineFleet(size fleettest.FleetSize, engines int, seed uint64) *engineFleet {
	f := &engineFleet{
		Fleet: fleettest.NewFleet(seed, size.Instances, size.Zones, fleettest.RoutesConfig), zones: size.Zones,
		engines: make(map[string]*engine),
	}
	f.NoPolls = true
	f.Serve = f.serve
	f.PutConfig(1, "first", fleettest.RoutesConfig)
	for i := range engines {
		e := &engine{name: fmt.Sprintf("engine-%d", i), index: i}
		f.engines[e.name] = e
		f.startEngine(e)
	}
	f.Run(8 * time.Second)
	return f
}

func (f *engineFleet) startEngine(e *engine) {
	e.starts++
	e.ended = false
	e.running = make(map[core.RequestID]fleettest.RunningAttempt)
	f.Store.PutEntry(e.name, &membership.Member{
		Name: e.name, Role: membership.RoleBackend, Service: "engines", Zone: fmt.Sprintf("zone-%d", e.index%f.zones),
		Address: "127.0.0.1:9", Slots: engineSlots, Version: "v1", Incarnation: e.starts, State: membership.Live,
	})
}

// endShare ends a share of the engines at once.
func (f *engineFleet) endShare(share float64) {
	names := slices.Sorted(maps.Keys(f.engines))
	f.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:int(share*float64(len(names)))] {
		f.end(f.engines[name])
	}
}

func (f *engineFleet) end(e *engine) {
	e.ended = true
	for _, id := range fleettest.SortedRequests(e.running) {
		r := e.running[id]
		f.Reply(r.Instance, 2*time.Millisecond, core.AttemptEnded{
			Request: id, Attempt: r.Attempt.Attempt, Outcome: retry.Unknown, ServerEnded: true, EndChecks: refusedByRelays(r.Attempt),
		})
	}
	e.running = nil
	f.Schedule(endedFor, func() { f.startEngine(e) })
}

func refusedByRelays(a core.SendAttempt) []paths.Observation {
	var found []paths.Observation
	for _, relay := range a.Dial.Relays {
		found = append(found, paths.Observation{Relay: relay.Name, Result: paths.Refused})
	}
	return found
}

// requests sends requests at a rate for a time, each to a random instance.
func (f *engineFleet) requests(perSecond float64, lasts time.Duration) {
	until := f.Now.Add(lasts)
	var next func()
	next = func() {
		if !f.Now.Before(until) {
			return
		}
		f.request()
		f.Schedule(time.Duration(f.Random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.Schedule(0, next)
}

func (f *engineFleet) request() {
	m := f.Instances[f.Random.IntN(len(f.Instances))]
	s := &fleettest.CallerRequest{ID: core.RequestID(fmt.Sprintf("r%d", len(f.Requests))), At: f.Now, Instance: m, Incarnation: m.Incarnation}
	f.Requests[s.ID] = s
	second := f.Random.IntN(secondParts)
	shared := []string{fmt.Sprint("first-", second%firstParts), fmt.Sprint("second-", second)}
	prompt := &core.Prompt{}
	for _, id := range append(slices.Clone(shared), string(s.ID)) {
		prompt.Parts = append(prompt.Parts, core.PromptPart{ID: id, Tokens: 100})
	}
	f.Deliver(m, core.RequestArrived{
		Request: s.ID, Host: "h.example", Path: "/question/", APIKey: "key-1", Chat: shared[1], Prompt: prompt,
		Content: uint64(len(f.Requests)), SharedParts: shared,
	})
}

// serve runs an attempt at its engine.
func (f *engineFleet) serve(m *fleettest.FakeInstance, a core.SendAttempt) {
	e := f.engines[a.Backend]
	if e == nil || e.ended {
		f.Reply(m, time.Millisecond, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: retry.NotSent, ConnectionRefused: true})
		return
	}
	e.running[a.Request] = fleettest.RunningAttempt{Instance: m, Attempt: a}
	f.Schedule(f.between(50, 300), func() { f.begin(e, m, a) })
}

func (f *engineFleet) begin(e *engine, m *fleettest.FakeInstance, a core.SendAttempt) {
	if _, held := e.running[a.Request]; !held {
		return
	}
	f.Reply(m, time.Millisecond, core.AnswerStarted{Request: a.Request, Attempt: a.Attempt})
	f.Schedule(f.between(300, 1500), func() { f.complete(e, m, a) })
}

func (f *engineFleet) complete(e *engine, m *fleettest.FakeInstance, a core.SendAttempt) {
	if _, held := e.running[a.Request]; !held {
		return
	}
	delete(e.running, a.Request)
	f.served++
	f.Requests[a.Request].Answered = true
	f.Reply(m, time.Millisecond, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: retry.Answered})
}

func (f *engineFleet) between(fromMs, toMs int) time.Duration {
	return time.Duration(fromMs+f.Random.IntN(toMs-fromMs)) * time.Millisecond
}
