package main

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/peer"
)

// Times of what stands round the nodes.
const (
	linkDelay     = time.Millisecond
	connectDelay  = 20 * time.Millisecond
	platformDelay = 5 * time.Millisecond
	watchWait     = 30 * time.Second
	meanRequest   = 10 * time.Second
)

// linkBytes is what a new link carries in each direction beside frames: the
// hello and the opening of two streams.
const linkBytes = 80

// action is something due at a virtual time; seq keeps equal times in order.
type action struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// instance is one node and what its surroundings keep for it.
type instance struct {
	core.Settings
	node     *core.Node
	wanted   []string
	links    map[string]bool
	encoders map[string]*peer.Encoder
	traffic  traffic
	cpu      time.Duration
	taken    time.Time
	dead     bool
}

// fleet runs nodes in virtual time. Only the processor time it notes depends on
// the machine.
type fleet struct {
	size      Size
	random    *rand.Rand
	now       time.Time
	seq       int
	agenda    agenda
	instances []*instance
	byName    map[string]*instance
	members   []membership.Instance
	inFlight  map[string]int
	store     map[string]stored
	waiting   []watch
	requests  int
	counting  bool
	platform  platformCalls
	answered  int
	refused   int
	// skews are the samples of busiest over mean, by service and zone.
	skews []float64
}

type stored struct {
	value   []byte
	version uint64
}

type watch struct {
	by   *instance
	call core.StoreWatch
}

// newFleet starts size's instances over the first second, as a platform would.
func newFleet(size Size) *fleet {
	f := &fleet{
		size: size, random: rand.New(rand.NewPCG(size.Seed, 1)),
		now: time.Unix(1_764_000_000, 0).UTC(), byName: make(map[string]*instance),
		inFlight: make(map[string]int), store: make(map[string]stored),
	}
	for i := range size.Backends {
		f.members = append(f.members, membership.Instance{
			Name: fmt.Sprintf("engine-%03d", i), Role: membership.Backend,
			Service: serviceName(i / size.Zones % size.Services), Zone: zoneName(i % size.Zones),
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Incarnation: 1, State: membership.Live,
		})
	}
	f.put(core.ConfigKey, 0, envelope(size, 1))
	for i := range size.Instances {
		f.start(fmt.Sprintf("entry-%03d", i), zoneName(i%size.Zones), f.spread(time.Second))
	}
	return f
}

func zoneName(i int) string    { return fmt.Sprint("zone-", i) }
func serviceName(i int) string { return fmt.Sprint("model-", i) }

func envelope(size Size, generation uint64) []byte {
	value, err := json.Marshal(config.Envelope{Generation: generation, Edit: fmt.Sprint("edit-", generation), Text: text(size)})
	if err != nil {
		panic(err) // Strings and numbers always marshal.
	}
	return value
}

func text(size Size) string {
	var t config.Text
	for i := range size.Services {
		t.Services = append(t.Services, config.Service{Name: serviceName(i), Kind: config.Model, FromPlatform: true, Capacity: 1000})
	}
	for i := range size.Customers {
		t.Customers = append(t.Customers, config.Customer{Name: customerName(i), Weight: 1})
	}
	out, err := json.Marshal(t)
	if err != nil {
		panic(err) // As above.
	}
	return string(out)
}

func customerName(i int) string { return fmt.Sprintf("customer-%04d", i) }

// after does something when virtual time has come that far.
func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.agenda, action{f.now.Add(d), f.seq, do})
}

func (f *fleet) spread(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

// run passes virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.agenda) > 0 && !f.agenda[0].at.After(end) {
		next := heap.Pop(&f.agenda).(action)
		f.now = next.at
		next.do()
	}
	f.now = end
}

func (f *fleet) start(name, zone string, delay time.Duration) {
	s := core.Settings{
		Name: name, Zone: zone, PeerAddress: "10.0.0.1:7000", Incarnation: 1,
		Seed: f.size.Seed + uint64(len(f.instances)), AcceptDelay: time.Second,
	}
	in := &instance{
		Settings: s, node: core.New(s), links: make(map[string]bool), encoders: make(map[string]*peer.Encoder),
		traffic: newTraffic(),
	}
	f.instances = append(f.instances, in)
	f.byName[name] = in
	f.members = append(f.members, membership.Instance{
		Name: name, Role: membership.Entry, Zone: zone, Address: s.PeerAddress, Incarnation: 1, State: membership.Live,
	})
	f.after(delay, func() { f.tick(in) })
	f.after(delay+5*time.Second, func() { f.arrive(in) })
}

// replace kills an instance without a word and starts another in its zone.
func (f *fleet) replace(in *instance) {
	in.dead = true
	delete(f.byName, in.Name)
	f.members = slices.DeleteFunc(f.members, func(m membership.Instance) bool { return m.Name == in.Name })
	f.instances = slices.DeleteFunc(f.instances, func(o *instance) bool { return o == in })
	for _, name := range slices.Sorted(maps.Keys(in.links)) {
		other := f.byName[name]
		delete(other.links, in.Name)
		f.after(linkDelay, func() { f.handle(other, core.PeerLost{Peer: in.Name}) })
	}
	f.start(in.Name+"-new", in.Zone, time.Second)
}

func (f *fleet) tick(in *instance) {
	if in.dead {
		return
	}
	f.handle(in, core.Ticked{})
	f.after(core.TickInterval, func() { f.tick(in) })
}

// arrive brings the instance's next request, at random times of the set rate.
func (f *fleet) arrive(in *instance) {
	if in.dead {
		return
	}
	f.requests++
	id := fmt.Sprint("r", f.requests)
	e := core.RequestArrived{
		Request:  core.RequestID(id),
		Customer: customerName(f.random.IntN(f.size.Customers)),
		Service:  serviceName(f.random.IntN(f.size.Services)),
		Chat:     fmt.Sprint("chat-", f.random.IntN(100_000)),
	}
	if f.size.Keyed > 0 && f.random.Float64() < f.size.Keyed {
		e.NonIdempotent, e.Key = true, id
	}
	f.handle(in, e)
	f.after(time.Duration(f.random.ExpFloat64()/f.size.Rate*float64(time.Second)), func() { f.arrive(in) })
}

func (f *fleet) handle(in *instance, e core.Event) {
	if in.dead {
		return
	}
	began := time.Now()
	effects := in.node.Handle(f.now, e)
	if f.counting {
		in.cpu += time.Since(began)
	}
	// The node reuses the slice at the next event, which an effect may bring.
	for _, effect := range slices.Clone(effects) {
		f.carryOut(in, effect)
	}
}

func (f *fleet) carryOut(in *instance, effect core.Effect) {
	switch e := effect.(type) {
	case core.SendAttempt:
		f.attempt(in, e)
	case core.Finish:
		f.refused++
	case core.SendPeer:
		f.send(in, e)
	case core.SetPeers:
		f.setPeers(in, e)
	case core.PollReport:
		f.poll(in, e)
	case core.ConfigTaken:
		in.taken = f.now
	case core.ListInstances:
		f.platform.reads++
		f.after(platformDelay, func() {
			f.handle(in, core.InstancesListed{Op: e.Op, Members: slices.Clone(f.members)})
		})
	case core.StoreGet:
		f.platform.reads++
		f.reply(in, e.Op, f.get(e.Key))
	case core.StoreSwap:
		f.platform.writes++
		f.reply(in, e.Op, f.put(e.Key, e.Version, e.Value))
	case core.StoreWatch:
		f.platform.watches++
		f.watch(in, e)
	}
}

func (f *fleet) attempt(in *instance, e core.SendAttempt) {
	f.inFlight[e.Backend]++
	f.after(time.Duration(f.random.ExpFloat64()*float64(meanRequest)), func() {
		f.inFlight[e.Backend]--
		f.answered++
		f.handle(in, core.AttemptEnded{
			Request: e.Request, Attempt: e.Attempt, Outcome: retry.Answered, Load: f.report(e.Backend),
		})
	})
}

func (f *fleet) report(backend string) *membership.Report {
	return &membership.Report{
		Backend: backend, Incarnation: 1, State: membership.Live, InFlight: f.inFlight[backend], At: f.now,
	}
}

func (f *fleet) poll(in *instance, e core.PollReport) {
	if f.counting {
		in.traffic.polls++
	}
	f.after(linkDelay, func() {
		f.handle(in, core.BackendReported{Report: *f.report(e.Backend)})
	})
}

// send codes a message as the link does and delivers it.
func (f *fleet) send(in *instance, e core.SendPeer) {
	if !in.links[e.To] {
		return
	}
	kind := peer.KindOf(e.Message)
	stream := e.To
	if kind == peer.ConfigOfferKind {
		stream += " bulk"
	}
	if in.encoders[stream] == nil {
		in.encoders[stream] = peer.NewEncoder()
	}
	frame, err := in.encoders[stream].Encode(e.Message)
	if err != nil {
		panic(err) // A message of the core that the link can't carry is a fault.
	}
	to := f.byName[e.To]
	f.count(in, to, kind, len(frame)+peer.YamuxHeader)
	f.after(linkDelay, func() {
		f.handle(to, core.PeerReceived{From: in.Name, Message: e.Message})
	})
}

func (f *fleet) count(from, to *instance, kind peer.Kind, bytes int) {
	if f.counting {
		from.traffic.out[kind].add(bytes)
		to.traffic.in[kind].add(bytes)
	}
}

// setPeers brings up the links that either side wants and ends the others.
func (f *fleet) setPeers(in *instance, e core.SetPeers) {
	in.wanted = in.wanted[:0]
	for _, p := range e.Peers {
		in.wanted = append(in.wanted, p.Name)
		if other := f.byName[p.Name]; other != nil && !in.links[p.Name] {
			f.connect(in, other)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.links)) {
		other := f.byName[name]
		if !slices.Contains(in.wanted, name) && !slices.Contains(other.wanted, in.Name) {
			delete(in.links, name)
			delete(other.links, in.Name)
			f.after(linkDelay, func() {
				f.handle(in, core.PeerLost{Peer: name})
				f.handle(other, core.PeerLost{Peer: in.Name})
			})
		}
	}
}

func (f *fleet) connect(a, b *instance) {
	a.links[b.Name], b.links[a.Name] = true, true
	delete(a.encoders, b.Name)
	delete(b.encoders, a.Name)
	f.count(a, b, peer.LinkOverhead, linkBytes)
	f.count(b, a, peer.LinkOverhead, linkBytes)
	f.after(connectDelay, func() {
		f.handle(a, core.PeerConnected{Peer: b.Name, Incarnation: 1})
		f.handle(b, core.PeerConnected{Peer: a.Name, Incarnation: 1})
	})
}

func (f *fleet) reply(in *instance, op core.OpID, r core.StoreReplied) {
	r.Op = op
	f.after(platformDelay, func() { f.handle(in, r) })
}

func (f *fleet) get(key string) core.StoreReplied {
	s, ok := f.store[key]
	if !ok {
		return core.StoreReplied{Status: core.StoreAbsent}
	}
	return core.StoreReplied{Status: core.StoreOK, Version: s.version, Value: s.value}
}

func (f *fleet) put(key string, version uint64, value []byte) core.StoreReplied {
	if f.store[key].version != version {
		return core.StoreReplied{Status: core.StoreConflict, Version: f.store[key].version}
	}
	f.store[key] = stored{value, version + 1}
	waiting := f.waiting
	f.waiting = nil
	for _, w := range waiting {
		f.watch(w.by, w.call)
	}
	return core.StoreReplied{Status: core.StoreOK, Version: version + 1}
}

func (f *fleet) watch(in *instance, e core.StoreWatch) {
	if s, ok := f.store[e.Key]; ok && s.version != e.Version {
		f.reply(in, e.Op, core.StoreReplied{Status: core.StoreOK, Version: s.version, Value: s.value})
		return
	}
	w := watch{in, e}
	f.waiting = append(f.waiting, w)
	f.after(watchWait, func() {
		i := slices.IndexFunc(f.waiting, func(o watch) bool { return o.by == in && o.call.Op == e.Op })
		if i >= 0 {
			f.waiting = slices.Delete(f.waiting, i, i+1)
			f.reply(in, e.Op, core.StoreReplied{Status: core.StoreUnchanged, Version: e.Version})
		}
	})
}
