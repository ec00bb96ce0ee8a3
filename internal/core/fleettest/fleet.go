// Package fleettest runs fleets of nodes in virtual time, for the tests of package core that use its exported names only. Each
// directory below it holds the tests of one matter.
//
// The tests that package core still holds have a copy of this harness of their own. It goes once they are here.
package fleettest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Fleet runs several nodes in virtual time against fakes of the platform, the backend servers and
// the links between instances.
type Fleet struct {
	Now       time.Time
	Random    *rand.Rand
	due       timeline
	seq       int
	Instances []*FakeInstance
	Store     fakeStore
	List      []membership.Member
	// ListDown makes all reads of the instance list fail.
	ListDown bool
	// LinkCut reports whether two instances cannot connect to each other.
	LinkCut func(a, b *FakeInstance) bool
	// PlatformCut reports whether an instance cannot reach the platform.
	PlatformCut func(m *FakeInstance) bool
	// DialFailureShare is the share of attempts whose connection fails.
	DialFailureShare float64
	Requests         map[core.RequestID]*CallerRequest
	Runs             map[string][]*CallerRequest
	Counters         map[string]int
	Calls            map[string]int
	// SelfRegister makes instances register their own entries, through which the others discover
	// them. If it is unset, List contains all instances from the start.
	SelfRegister bool
	// Serve carries out attempts if it is set.
	Serve func(m *FakeInstance, e core.SendAttempt)
	// NoPolls disables polls, so that backend servers report their loads in responses only.
	NoPolls bool
	// StoreCost is the total cost of the calls to the store, in units of one call. A renewal or a
	// stale read costs a tenth.
	StoreCost float64
	// ChangeBound and StoreSettle are the instances' settings with the same names.
	ChangeBound, StoreSettle time.Duration
	// OnFinish is called for each Finish, and OnCancel for each CancelAttempt, if they are set.
	OnFinish func(m *FakeInstance, e core.Finish)
	OnCancel func(m *FakeInstance, e core.CancelAttempt)
	// OnSend may change or drop a peer message if it is set.
	OnSend func(from, to *FakeInstance, message core.PeerMessage) (core.PeerMessage, bool)
	// OnChange is called for each StateChanged if it is set.
	OnChange func(m *FakeInstance, e core.StateChanged)
	// OnScope is called for each SetRelayScope if it is set.
	OnScope func(m *FakeInstance, e core.SetRelayScope)
	// AcceptDelay and StopGrace are the instances' settings with the same names.
	AcceptDelay, StopGrace time.Duration
	// OnStopped is called for each Stopped if it is set.
	OnStopped func(m *FakeInstance)
	// Rollbacks counts the cases in which an instance replaced its generation by an older one.
	Rollbacks int
}

// FakeInstance is one instance of the fleet.
type FakeInstance struct {
	Name, Zone  string
	Node        *core.Node
	Incarnation uint64
	Dead        bool
	FrozenUntil time.Time
	// HearsFrom is the time until which nothing that peers and the store send arrives. It then arrives in order, heldSpacing apart.
	HearsFrom time.Time
	held      int
	// EarlierBuild is set for an instance that knows nothing of versions.
	EarlierBuild bool
	Peers        map[string]bool
	WantedPeers  []core.PeerAddress
	// Watches counts the instance's watches of the configuration.
	Watches int
	// Generation and Edit identify the configuration in force since TakenAt.
	Generation uint64
	Edit       string
	TakenAt    time.Time
	// LeavingEngines holds the engines that the instance knows to leave.
	LeavingEngines map[string]bool
}

// CallerRequest is one request of a caller and its result.
type CallerRequest struct {
	ID          core.RequestID
	Key         string
	Instance    *FakeInstance
	Incarnation uint64
	// At is the time at which the instance handled the request, which is when the window of
	// its claim begins. If the instance was frozen, this is later than the time at which the
	// caller sent it.
	At       time.Time
	Runs     int
	RanAt    time.Time
	Outcome  reason.Outcome
	Reason   reason.Reason
	First    string
	Answered bool
	Ended    time.Time
}

// scheduledAction is an action that is due at a virtual time.
type scheduledAction struct {
	at     time.Time
	seq    int
	action func()
}

// timeline is a heap of actions, ordered by time and then by seq.
type timeline []scheduledAction

func (t timeline) Len() int { return len(t) }

func (t timeline) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}

func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timeline) Push(x any) { *t = append(*t, x.(scheduledAction)) }

func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// epoch is the time at which fleets start.
var epoch = time.Unix(1_800_000_000, 0)

// operatorsBound returns the time that the operators of a fleet allow until a change is in force
// everywhere.
func operatorsBound(instances int) time.Duration {
	switch {
	case instances <= 10:
		return 2 * time.Second
	case instances <= 100:
		return 3 * time.Second
	default:
		return 4 * time.Second
	}
}

// newStoppedFleet returns a fleet of n instances in the given number of zones; none of them is
// running.
func newStoppedFleet(seed uint64, n, zones int) *Fleet {
	f := &Fleet{
		Now: epoch, Random: rand.New(rand.NewPCG(seed, 1)),
		Store:       fakeStore{keys: make(map[string]*fakeValue), registrations: make(map[string]registration), streams: make(map[string]storedStreams)},
		LinkCut:     func(_, _ *FakeInstance) bool { return false },
		PlatformCut: func(*FakeInstance) bool { return false },
		Requests:    make(map[core.RequestID]*CallerRequest), Runs: make(map[string][]*CallerRequest),
		Counters: make(map[string]int), Calls: make(map[string]int),
	}
	f.Store.fleet = f
	f.ChangeBound = operatorsBound(n)
	f.StoreSettle = f.ChangeBound + time.Second
	for i := range n {
		f.Instances = append(f.Instances, &FakeInstance{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return f
}

// NewFleet starts n instances in the given number of zones with a configuration in force.
func NewFleet(seed uint64, n, zones int, text string) *Fleet {
	f := newStoppedFleet(seed, n, zones)
	f.start(text)
	return f
}

// start adds all instances to the list and boots them with a configuration in force.
func (f *Fleet) start(text string) {
	for _, m := range f.Instances {
		f.List = append(f.List, membership.Member{
			Name: m.Name, Role: membership.RoleInstance, Zone: m.Zone, Address: "127.0.0.1:9", Incarnation: 1, State: membership.Live,
		})
	}
	for _, m := range f.Instances {
		f.Boot(m, text)
	}
}

// Boot starts or restarts an instance.
func (f *Fleet) Boot(m *FakeInstance, text string) {
	m.Incarnation++
	m.Dead, m.Peers, m.WantedPeers = false, make(map[string]bool), nil
	m.Generation = 0
	m.LeavingEngines = make(map[string]bool)
	for _, other := range f.Instances {
		delete(other.Peers, m.Name)
	}
	settings := core.Settings{
		Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, Seed: f.Random.Uint64(), NoPolls: f.NoPolls,
		ChangeBound: f.ChangeBound, StoreSettle: f.StoreSettle, AcceptDelay: f.AcceptDelay, StopGrace: f.StopGrace,
	}
	if f.SelfRegister {
		settings.PeerAddress = "127.0.0.1:9"
	}
	m.Node = core.New(settings)
	incarnation := m.Incarnation
	if text != "" {
		f.handle(m, core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "first", Text: text}})
	}
	var tick func()
	tick = func() {
		if m.Dead || m.Incarnation != incarnation {
			return
		}
		f.Deliver(m, core.Ticked{})
		f.Schedule(core.TickInterval, tick)
	}
	f.Schedule(time.Duration(f.Random.Int64N(int64(core.TickInterval))), tick)
	var dial func()
	dial = func() {
		if !m.Dead && m.Incarnation == incarnation {
			f.connect(m)
			f.Schedule(time.Second, dial)
		}
	}
	f.Schedule(time.Second, dial)
}

// Schedule schedules an action for later.
func (f *Fleet) Schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.due, scheduledAction{at: f.Now.Add(d), seq: f.seq, action: do})
}

// Run advances virtual time by d and carries out the actions that become due.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.due) > 0 && !f.due[0].at.After(end) {
		next := heap.Pop(&f.due).(scheduledAction)
		f.Now = next.at
		next.action()
	}
	f.Now = end
}

// Deliver passes an event to an instance. While the instance is frozen, the event is delayed and
// ticks are dropped.
func (f *Fleet) Deliver(m *FakeInstance, event core.Event) {
	incarnation := m.Incarnation
	if wait := m.FrozenUntil.Sub(f.Now); wait > 0 {
		if _, tick := event.(core.Ticked); tick {
			return
		}
		f.Schedule(wait, func() {
			if m.Incarnation == incarnation {
				f.Deliver(m, event)
			}
		})
		return
	}
	if wait := m.HearsFrom.Sub(f.Now); wait > 0 && fromPeerOrStore(event) {
		m.held++
		f.Schedule(wait+time.Duration(m.held)*heldSpacing, func() {
			if m.Incarnation == incarnation {
				f.Deliver(m, event)
			}
		})
		return
	}
	if !m.Dead {
		f.handle(m, event)
	}
}

// heldSpacing is the time between two events that arrive late.
const heldSpacing = 50 * time.Microsecond

// fromPeerOrStore reports whether an event is caused by what a peer or the store has sent.
func fromPeerOrStore(event core.Event) bool {
	switch event.(type) {
	case core.Ticked, core.RequestArrived, core.CallerGone, core.AnswerStarted, core.AttemptEnded:
		return false
	default:
		return true
	}
}

// handle passes an event to a node at once and carries out the resulting effects.
func (f *Fleet) handle(m *FakeInstance, event core.Event) {
	if e, ok := event.(core.RequestArrived); ok {
		f.Requests[e.Request].At = f.Now
	}
	for _, effect := range append([]core.Effect(nil), m.Node.Handle(f.Now, event)...) {
		f.applyEffect(m, effect)
	}
}

// Reply delivers an event after d, unless the instance has restarted by then.
func (f *Fleet) Reply(m *FakeInstance, d time.Duration, event core.Event) {
	incarnation := m.Incarnation
	f.Schedule(d, func() {
		if m.Incarnation == incarnation {
			f.Deliver(m, event)
		}
	})
}

// applyEffect carries out one effect of a node.
func (f *Fleet) applyEffect(m *FakeInstance, effect core.Effect) {
	f.callStore(m, effect)
	switch e := effect.(type) {
	case core.SendAttempt:
		if f.Serve != nil {
			f.Serve(m, e)
			return
		}
		f.attempt(m, e)
	case core.Finish:
		s := f.Requests[e.Request]
		s.Outcome, s.Reason, s.First, s.Ended = e.Outcome, e.Reason, e.First, f.Now
		if f.OnFinish != nil {
			f.OnFinish(m, e)
		}
	case core.CancelAttempt:
		if f.OnCancel != nil {
			f.OnCancel(m, e)
		}
	case core.SendPeer:
		f.send(m, e)
	case core.SetPeers:
		m.WantedPeers = e.Peers
		f.connect(m)
	case core.ConfigApplied:
		if e.Generation < m.Generation {
			f.Rollbacks++
		}
		m.Generation, m.Edit, m.TakenAt = e.Generation, e.Edit, f.Now
	case core.StateChanged:
		if f.OnChange != nil {
			f.OnChange(m, e)
		}
		if e.Subject == core.SubjectBackend && e.State != string(membership.Live) {
			for _, name := range append(e.Names, e.Name) {
				m.LeavingEngines[name] = true
			}
		}
	case core.SetRelayScope:
		if f.OnScope != nil {
			f.OnScope(m, e)
		}
	case core.Stopped:
		if f.OnStopped != nil {
			f.OnStopped(m)
		}
	case core.Counted:
		f.Counters[e.Counter+"/"+e.Label] += e.N
	}
}

// callStore carries out the effect if it is a call to the store.
func (f *Fleet) callStore(m *FakeInstance, effect core.Effect) {
	switch e := effect.(type) {
	case core.StoreGet:
		f.StoreCost++
		f.Calls["get"]++
		f.Store.get(m, e)
	case core.StoreSwap:
		f.Calls["swap"]++
		f.Store.swap(m, e)
	case core.StoreWatch:
		f.StoreCost++
		f.Calls["watch"]++
		m.Watches++
		f.Store.watch(m, e)
	case core.ListInstances:
		f.Calls["list"]++
		f.StoreCost += tenthOfCall
		f.Store.listInstances(m, e)
	case core.Register:
		f.Calls["register"]++
		f.Store.register(m, e)
	case core.RenewLease:
		f.Calls["renew"]++
		f.StoreCost += tenthOfCall
		f.Store.renew(m, e)
	case core.ListBackends:
		f.StoreCost++
		f.Calls["list-backends"]++
		f.Store.listBackends(m, e)
	case core.WatchBackends:
		f.StoreCost++
		f.Calls["watch-backends"]++
		f.Store.watchBackends(m, e)
	default:
		f.callRecords(m, effect)
	}
}

// callRecords carries out the effect if it is a call about records that instances keep in the store.
func (f *Fleet) callRecords(m *FakeInstance, effect core.Effect) {
	switch e := effect.(type) {
	case core.StorePoison:
		f.Calls["store-poison"]++
		f.Store.storePoison(m, e)
	case core.StoreStreams:
		f.Calls["store-streams"]++
		f.Store.storeStreams(m, e)
	case core.ListStreams:
		f.Calls["list-streams"]++
		f.StoreCost++
		f.Store.listStreams(m, e)
	}
}

// attempt runs a request at a backend server or fails to connect to it.
func (f *Fleet) attempt(m *FakeInstance, e core.SendAttempt) {
	s := f.Requests[e.Request]
	if f.Random.Float64() < f.DialFailureShare {
		f.Reply(m, time.Millisecond, core.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: retry.NotSent})
		return
	}
	s.Runs++
	s.RanAt = f.Now
	f.Runs[s.Key] = append(f.Runs[s.Key], s)
	incarnation := m.Incarnation
	f.Schedule(20*time.Millisecond, func() {
		if m.Incarnation == incarnation && !m.Dead {
			s.Answered = true
			f.Deliver(m, core.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: retry.Answered})
		}
	})
}

// Instance returns the instance with a name, or nil.
func (f *Fleet) Instance(name string) *FakeInstance {
	for _, m := range f.Instances {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// send delivers a peer message if the two instances are linked.
func (f *Fleet) send(m *FakeInstance, e core.SendPeer) {
	to := f.Instance(e.To)
	if to == nil || f.LinkCut(m, to) || !m.Peers[to.Name] {
		f.Calls["not-linked"]++
		return
	}
	if d := e.Message.Digest; d != nil {
		f.Calls["member-changes"] += len(d.Members) + len(d.Facts)
		f.Calls["poison-bytes"] += core.PeerMessage{Digest: &core.Digest{Poison: d.Poison}}.WireEstimate() - core.PeerMessage{Digest: &core.Digest{}}.WireEstimate()
	}
	message, passes := e.Message, true
	if f.OnSend != nil {
		message, passes = f.OnSend(m, to, message)
	}
	if passes {
		f.Reply(to, time.Millisecond, core.PeerReceived{From: m.Name, Message: message})
	}
}

// connect establishes the links that an instance wants and that are possible.
func (f *Fleet) connect(m *FakeInstance) {
	for _, p := range m.WantedPeers {
		to := f.Instance(p.Name)
		if to == nil || to.Dead || m.Peers[p.Name] || f.LinkCut(m, to) {
			continue
		}
		m.Peers[p.Name], to.Peers[m.Name] = true, true
		f.Reply(m, time.Millisecond, core.PeerConnected{Peer: to.Name, Incarnation: to.Incarnation, NoStreams: to.EarlierBuild, NoHistory: to.EarlierBuild})
		f.Reply(to, time.Millisecond, core.PeerConnected{Peer: m.Name, Incarnation: m.Incarnation, NoStreams: m.EarlierBuild, NoHistory: m.EarlierBuild})
	}
}

// storeTimeout is the time limit of the calls for which the core sets none.
const storeTimeout = 2 * time.Second
