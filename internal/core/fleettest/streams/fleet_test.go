package streams_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/fleettest"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// streamEngines is the number of engines of a streamFleet's service.
	streamEngines = 12
	// streamContact is the time without a fault after which an instance is in touch.
	streamContact = 3 * time.Second
	// streamEventInterval is the time between two events of a stream.
	streamEventInterval = 100 * time.Millisecond
	// streamGap is the time without an event after which a caller leaves.
	streamGap = 2 * time.Second
	// maxStreamTries is the number of requests that a caller sends for one stream.
	maxStreamTries = 5
)

// streamFleet runs a fleet whose engines run several software versions, and callers who continue broken
// streams at other instances.
type streamFleet struct {
	*fleettest.Fleet
	zones   int
	engines map[string]*versionedEngine
	started int
	// streams maps the requests in progress to their streams.
	streams map[core.RequestID]*callerStream
	lastID  int
	// faultEnds holds the end of an instance's last fault, and storeFaultEnds that of the store's.
	faultEnds      map[*fleettest.FakeInstance]time.Time
	storeFaultEnds time.Time
	// cutOff are the instances that reach neither each other nor the store.
	cutOff map[*fleettest.FakeInstance]bool
	// cutStore and cutPeers are the instances that do not reach the store, or the other instances. deaf ones get no messages of
	// others over their links, and mute ones send none.
	cutStore, cutPeers, deaf, mute map[*fleettest.FakeInstance]bool
	// steer returns the instance that a caller asks, nil for any, if it is set.
	steer func(s *callerStream) *fleettest.FakeInstance
	// path is the path of the callers' requests.
	path string
	// resetShare is the share of streams whose caller loses its connection once.
	resetShare float64
	// joined are the streams with events of two versions, or of two services.
	joined []*callerStream
	// begun and continued count the requests sent to instances in touch, and unknowable those that
	// continue a stream of which its instance could tell no other.
	begun, continued, unknowable fleettest.StreamCount
	refusals                     map[reason.Reason]int
	refusedAfter                 []time.Duration
}

// versionedEngine is one process of an engine.
type versionedEngine struct {
	name, service, version string
	index                  int
	incarnation            uint64
	ended, leaving         bool
	running                map[core.RequestID]*streamRun
}

// software is what the events of a stream must have in common.
type software struct{ service, version string }

// callerStream is a stream as its caller sees it.
type callerStream struct {
	path, zone, chat string
	// first is the caller's ID of the request that brought the first event, "" before it.
	first string
	// current is the request in progress, sent to instance.
	current  core.RequestID
	callerID string
	instance *fleettest.FakeInstance
	sentAt   time.Time
	// received are the events so far, of total.
	received, total int
	origin          software
	// unknowable is set if the instance that began the stream could tell no other.
	unknowable bool
	tries      int
	resets     bool
	// counted is set if the current request counts, as one that begins or continues a stream.
	counted *fleettest.StreamCount
	// excluded is set once an instance of an earlier build has continued the stream.
	excluded, over bool
}

// streamRun is an attempt in progress at an engine.
type streamRun struct {
	stream  *callerStream
	by      *fleettest.FakeInstance
	attempt core.SendAttempt
	engine  *versionedEngine
	// firstAt is the time of the run's first event, zero before it. base is the number of events
	// that the caller had before.
	firstAt time.Time
	base    int
}

func newStreamFleet(size fleettest.FleetSize, seed uint64, versions ...string) *streamFleet {
	f := &streamFleet{
		Fleet: fleettest.NewFleet(seed, size.Instances, size.Zones, fleettest.StreamConfig(0)), zones: size.Zones,
		engines: make(map[string]*versionedEngine), streams: make(map[core.RequestID]*callerStream),
		faultEnds: make(map[*fleettest.FakeInstance]time.Time), cutOff: make(map[*fleettest.FakeInstance]bool),
		cutStore: make(map[*fleettest.FakeInstance]bool), cutPeers: make(map[*fleettest.FakeInstance]bool),
		deaf: make(map[*fleettest.FakeInstance]bool), mute: make(map[*fleettest.FakeInstance]bool),
		refusals: make(map[reason.Reason]int), path: "/question/x",
	}
	f.NoPolls = true
	f.Serve = f.runAttempt
	f.OnFinish = f.finished
	f.OnCancel = f.cancelled
	f.OnSend = f.throughEarlierBuilds
	f.LinkCut = func(a, b *fleettest.FakeInstance) bool {
		return f.cutOff[a] || f.cutOff[b] || f.cutPeers[a] || f.cutPeers[b]
	}
	f.PlatformCut = func(m *fleettest.FakeInstance) bool { return f.cutOff[m] || f.cutStore[m] }
	f.PutConfig(1, "first", fleettest.StreamConfig(0))
	for i := range streamEngines {
		f.startEngine("engines", versions[i/size.Zones%len(versions)])
	}
	f.Run(20 * time.Second)
	return f
}

// throughEarlierBuilds removes from a message what an instance of an earlier build does not send or read.
func (f *streamFleet) throughEarlierBuilds(from, to *fleettest.FakeInstance, m core.PeerMessage) (core.PeerMessage, bool) {
	if f.mute[from] || f.deaf[to] {
		return m, false
	}
	if m.StreamOffer != nil {
		f.Calls["stream-bytes"] += m.WireEstimate()
		f.Calls["stream-records"] += len(m.StreamOffer.Records)
	}
	if !from.EarlierBuild && !to.EarlierBuild {
		return m, true
	}
	if m.StreamOffer != nil || m.StreamQuestion != nil || m.StreamAnswer != nil {
		return m, false
	}
	if m.EntriesOffer == nil || !from.EarlierBuild {
		return m, true
	}
	offer := *m.EntriesOffer
	offer.Entries = slices.Clone(offer.Entries)
	for i := range offer.Entries {
		if backend := offer.Entries[i].Backend; backend != nil {
			without := *backend
			without.Version = ""
			offer.Entries[i].Backend = &without
		}
	}
	return core.PeerMessage{EntriesOffer: &offer}, true
}

// startEngine starts an engine under a new name.
func (f *streamFleet) startEngine(service, version string) {
	e := &versionedEngine{
		name: fmt.Sprintf("%s-%d", service, f.started), service: service, version: version, index: f.started, incarnation: 1,
		running: make(map[core.RequestID]*streamRun),
	}
	f.started++
	f.register(e)
}

// register writes an engine's entry.
func (f *streamFleet) register(e *versionedEngine) {
	f.engines[e.name] = e
	state := membership.Live
	if e.leaving {
		state = membership.Leaving
	}
	member := fleettest.EngineEntry(e.index, state)
	member.Name, member.Service, member.Zone, member.Address = e.name, e.service, fmt.Sprintf("zone-%d", e.index%f.zones), e.name+":80"
	member.Incarnation, member.Version = e.incarnation, e.version
	f.Store.PutEntry(e.name, member)
}

// live returns the engines that take new requests, sorted by name, of a version or of any.
func (f *streamFleet) live(s software) []*versionedEngine {
	var list []*versionedEngine
	for _, name := range slices.Sorted(maps.Keys(f.engines)) {
		e := f.engines[name]
		if !e.ended && !e.leaving && e.service == s.service && (s.version == "" || e.version == s.version) {
			list = append(list, e)
		}
	}
	return list
}

// drain lets an engine announce that it leaves, and end some seconds later.
func (f *streamFleet) drain(e *versionedEngine) {
	e.leaving = true
	f.register(e)
	f.Schedule(4*time.Second, func() { f.endEngine(e) })
}

// endEngine ends an engine's process and all that it runs. Its entry is removed later.
func (f *streamFleet) endEngine(e *versionedEngine) {
	if e.ended {
		return
	}
	e.ended = true
	for _, id := range fleettest.SortedRequests(e.running) {
		f.breakRun(e.running[id], 2*time.Millisecond)
	}
	f.Schedule(f.betweenMs(1000, 3000), func() {
		if f.engines[e.name] == e {
			delete(f.engines, e.name)
			f.Store.PutEntry(e.name, nil)
		}
	})
}

// crash ends an engine, which is back soon with the same version under a new name.
func (f *streamFleet) crash(e *versionedEngine) {
	f.endEngine(e)
	f.Schedule(fleettest.EngineRestart, func() { f.startEngine(e.service, e.version) })
}

// restartUnderName ends an engine, which is back soon under its name with another version.
func (f *streamFleet) restartUnderName(e *versionedEngine, version string) {
	f.endEngine(e)
	f.Schedule(fleettest.EngineRestart, func() {
		f.register(&versionedEngine{
			name: e.name, service: e.service, version: version, index: e.index, incarnation: e.incarnation + 1,
			running: make(map[core.RequestID]*streamRun),
		})
	})
}

// runAttempt lets an attempt arrive at its engine.
func (f *streamFleet) runAttempt(m *fleettest.FakeInstance, a core.SendAttempt) {
	e, s := f.engines[a.Backend], f.streams[a.Request]
	if e == nil || e.ended || s == nil {
		f.Reply(m, 3*time.Millisecond, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: retry.NotSent, ConnectionRefused: true})
		return
	}
	if a.Process != nil && a.Process.Incarnation != e.incarnation {
		f.Reply(m, 3*time.Millisecond, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: retry.NotSent, ProcessReplaced: true})
		return
	}
	r := &streamRun{stream: s, by: m, attempt: a, engine: e}
	e.running[a.Request] = r
	f.Schedule(f.betweenMs(20, 80), func() { f.firstEvent(r) })
}

// runs reports whether a run is still in progress.
func (f *streamFleet) runs(r *streamRun) bool { return r.engine.running[r.attempt.Request] == r }

// firstEvent passes a run's first event on.
func (f *streamFleet) firstEvent(r *streamRun) {
	if !f.runs(r) {
		return
	}
	r.firstAt, r.base = f.Now, r.stream.received
	f.received(r, 1)
	f.Reply(r.by, time.Millisecond, core.AnswerStarted{Request: r.attempt.Request, Attempt: r.attempt.Attempt, ProcessCertain: r.attempt.Process != nil})
	left := time.Duration(r.stream.total-r.base) * streamEventInterval
	f.Schedule(left, func() { f.completeRun(r) })
	if r.stream.resets {
		r.stream.resets = false
		f.Schedule(time.Duration(f.Random.Int64N(int64(max(1, left)))), func() { f.resetCaller(r) })
	}
}

// received records the first n events of a run at the caller.
func (f *streamFleet) received(r *streamRun, n int) {
	s := r.stream
	from := software{r.engine.service, r.engine.version}
	switch {
	case s.first == "":
		s.first, s.origin = s.callerID, from
		s.unknowable = f.cutOff[r.by] || r.by.EarlierBuild
	case s.origin != from && !s.excluded && !slices.Contains(f.joined, s):
		f.joined = append(f.joined, s)
	}
	s.received = r.base + n
	if s.counted != nil {
		s.counted.Served++
		s.counted = nil
	}
}

// settle records the events that a run has sent so far.
func (f *streamFleet) settle(r *streamRun) {
	if !r.firstAt.IsZero() {
		f.received(r, min(r.stream.total-r.base, 1+int(f.Now.Sub(r.firstAt)/streamEventInterval)))
	}
	delete(r.engine.running, r.attempt.Request)
}

func (f *streamFleet) completeRun(r *streamRun) {
	if !f.runs(r) {
		return
	}
	f.settle(r)
	f.endStream(r.stream)
	f.Reply(r.by, time.Millisecond, core.AttemptEnded{Request: r.attempt.Request, Attempt: r.attempt.Attempt, Outcome: retry.Answered})
}

// breakRun ends a run in its middle.
func (f *streamFleet) breakRun(r *streamRun, after time.Duration) {
	f.settle(r)
	end := core.AttemptEnded{Request: r.attempt.Request, Attempt: r.attempt.Attempt, Outcome: retry.Unknown, ServerEnded: r.engine.ended && !r.engine.leaving}
	if !r.firstAt.IsZero() {
		end.Outcome, end.LastEventID = retry.Broken, strconv.Itoa(r.stream.received)
	}
	f.Reply(r.by, after, end)
}

// resetCaller breaks the connection of a run's caller, who continues elsewhere.
func (f *streamFleet) resetCaller(r *streamRun) {
	if !f.runs(r) {
		return
	}
	f.settle(r)
	f.leave(r.stream, r.by, r.attempt.Request)
	f.returnLater(r.stream, f.betweenMs(50, 250))
}

// leave lets a caller leave an instance.
func (f *streamFleet) leave(s *callerStream, m *fleettest.FakeInstance, id core.RequestID) {
	delete(f.streams, id)
	s.current = ""
	f.Reply(m, time.Millisecond, core.CallerGone{Request: id})
}

// cancelled ends the attempt of a caller who left.
func (f *streamFleet) cancelled(m *fleettest.FakeInstance, e core.CancelAttempt) {
	for _, engine := range f.engines {
		if r := engine.running[e.Request]; r != nil && r.by == m {
			delete(engine.running, e.Request)
		}
	}
	f.Reply(m, time.Millisecond, core.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: retry.Broken})
}

// finished passes an instance's final answer on to the caller.
func (f *streamFleet) finished(_ *fleettest.FakeInstance, e core.Finish) {
	s := f.streams[e.Request]
	if s == nil {
		return
	}
	delete(f.streams, e.Request)
	f.refusals[e.Reason]++
	f.refusedAfter = append(f.refusedAfter, f.Now.Sub(s.sentAt))
	s.current, s.counted = "", nil
	f.returnLater(s, max(e.RetryAfter, f.betweenMs(20, 60)))
}

// begin sends the request for a new stream to a random instance.
func (f *streamFleet) begin() {
	m := f.Instances[f.Random.IntN(len(f.Instances))]
	s := &callerStream{path: f.path, zone: m.Zone, chat: fmt.Sprintf("chat-%d", f.Random.IntN(400)), total: 20 + f.Random.IntN(80), resets: f.Random.Float64() < f.resetShare}
	f.sendNext(s)
}

// returnLater lets a caller send its request once more.
func (f *streamFleet) returnLater(s *callerStream, after time.Duration) {
	f.Schedule(after, func() { f.sendNext(s) })
}

// sendNext sends a caller's request to an instance of its zone, another one than before if there is any.
func (f *streamFleet) sendNext(s *callerStream) {
	if s.over || s.current != "" || s.tries >= maxStreamTries || s.received >= s.total {
		return
	}
	m := f.chooseInstance(s)
	if m == nil {
		f.returnLater(s, 200*time.Millisecond)
		return
	}
	s.tries++
	f.lastID++
	s.callerID = fmt.Sprintf("c%d", f.lastID)
	s.current, s.instance, s.sentAt = core.RequestID(s.callerID+".x"), m, f.Now
	s.counted = f.countFor(s, m)
	f.streams[s.current] = s
	f.Requests[s.current] = &fleettest.CallerRequest{ID: s.current, Instance: m, Incarnation: m.Incarnation, At: f.Now}
	arrived := core.RequestArrived{
		Request: s.current, CallerID: s.callerID, Host: "h.example", Path: s.path, APIKey: "key-1",
		Chat: s.chat, Deadline: f.Now.Add(20 * time.Second),
	}
	if s.first != "" {
		arrived.Continues = &core.Continuation{First: s.first, After: strconv.Itoa(s.received)}
		if m.EarlierBuild {
			arrived.Continues, s.excluded = nil, true
		}
	}
	f.Deliver(m, arrived)
}

// chooseInstance returns an instance for a request, or nil if no instance answers. The balancer knows
// which ones are down, but not which ones are frozen.
func (f *streamFleet) chooseInstance(s *callerStream) *fleettest.FakeInstance {
	if f.steer != nil {
		if m := f.steer(s); m != nil && !m.Dead {
			return m
		}
	}
	var own, any []*fleettest.FakeInstance
	for _, m := range f.Instances {
		if m.Dead || m == s.instance {
			continue
		}
		any = append(any, m)
		if m.Zone == s.zone {
			own = append(own, m)
		}
	}
	if len(own) == 0 {
		own = any
	}
	if len(own) == 0 {
		return nil
	}
	return own[f.Random.IntN(len(own))]
}

// countFor returns the count in which a request counts, nil if it counts in none: its instance must be
// in touch, and two engines that can continue the stream must serve.
func (f *streamFleet) countFor(s *callerStream, m *fleettest.FakeInstance) *fleettest.StreamCount {
	healthy := f.Now.Sub(f.faultEnds[m]) >= streamContact && f.Now.Sub(f.storeFaultEnds) >= streamContact
	if !healthy || m.EarlierBuild {
		return nil
	}
	if s.first == "" {
		f.begun.Sent++
		return &f.begun
	}
	if s.excluded || len(f.live(s.origin)) < 2 {
		return nil
	}
	count := &f.continued
	if s.unknowable {
		count = &f.unknowable
	}
	count.Sent++
	return count
}

func (f *streamFleet) endStream(s *callerStream) {
	s.over = true
	delete(f.streams, s.current)
}

// callers sends requests for new streams for a time, at a rate per second.
func (f *streamFleet) callers(rate int, lasts time.Duration) {
	until := f.Now.Add(lasts)
	var next func()
	next = func() {
		if f.Now.Before(until) {
			f.begin()
			f.Schedule(f.betweenMs(1, 2000/rate), next)
		}
	}
	next()
}

// every calls an action at an interval for a time.
func (f *streamFleet) every(interval, lasts time.Duration, action func()) {
	for at := interval; at <= lasts; at += interval {
		f.Schedule(at, action)
	}
}

func (f *streamFleet) betweenMs(from, to int) time.Duration {
	return time.Duration(from+f.Random.IntN(max(1, to-from))) * time.Millisecond
}
