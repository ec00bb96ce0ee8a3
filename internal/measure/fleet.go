package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Delays of the simulated surroundings of the nodes.
const (
	linkDelay     = time.Millisecond
	platformDelay = 5 * time.Millisecond
	pollDelay     = 2 * time.Millisecond
)

const serviceName = "model-pool"

// epochStart is the virtual time at which every run starts.
var epochStart = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// process is one run of a router's process, with its core node.
type process struct {
	name        string
	zone        string
	node        *core.Node
	incarnation uint64
	peers       map[string]bool
	inFlight    int
	retired     bool
}

// fleet is the policy under test: one real core node for each router.
type fleet struct {
	w             *world
	hints         bool
	config        config.Envelope
	current       []*process
	processes     []*process
	processByName map[string]*process
	serverByName  map[string]*server
	placements    map[*turn]*placement
	startCount    uint64
}

// placement is the state of a turn in progress at a node.
type placement struct {
	process *process
	attempt int
	hint    string
}

func newFleet(w *world, hints bool) *fleet {
	f := &fleet{
		w:             w,
		hints:         hints,
		config:        configuration(&w.Scenario),
		processByName: make(map[string]*process),
		serverByName:  make(map[string]*server),
		placements:    make(map[*turn]*placement),
		current:       make([]*process, len(w.routers)),
	}
	for _, s := range w.servers {
		f.serverByName[s.name] = s
	}
	for _, r := range w.routers {
		f.start(r)
	}
	return f
}

func configuration(s *Scenario) config.Envelope {
	cfg := config.Text{Services: []config.Service{{
		Name: serviceName, Kind: config.Model, FromPlatform: true,
		SkewBound: s.Bound, SkewSlack: s.Slack, Capacity: s.Capacity, Deadline: config.Duration(5 * time.Minute),
	}}}
	for i, share := range customerShares {
		cfg.Customers = append(cfg.Customers, config.Customer{Name: customerName(i), Weight: 100 * share})
	}
	body, err := json.Marshal(cfg)
	if err != nil {
		panic(err)
	}
	return config.Envelope{Generation: 1, Edit: "measure", Text: string(body)}
}

func customerName(i int) string { return fmt.Sprint("customer-", i) }

func (f *fleet) now() time.Time { return epochStart.Add(f.w.now) }

// start starts a new process for the router.
func (f *fleet) start(r *router) {
	f.startCount++
	p := &process{
		name:        fmt.Sprintf("%s-%d", r.name, f.startCount),
		zone:        fmt.Sprint("zone-", r.zone),
		incarnation: f.startCount,
		peers:       make(map[string]bool),
	}
	p.node = core.New(core.Settings{
		Name: p.name, Zone: p.zone, PeerAddress: p.name, Incarnation: p.incarnation, Seed: f.w.Seed + f.startCount,
		NoPolls: len(f.w.SessionKinds) > 0,
	})
	f.current[r.index] = p
	f.processByName[p.name] = p
	f.processes = append(f.processes, p)
	f.handle(p, core.ConfigOffered{Envelope: f.config})
	f.handle(p, core.Ticked{})
}

// handle passes an event to a node and executes the effects. It returns the immediate
// attempt or refusal, if any.
func (f *fleet) handle(p *process, e core.Event) (attempt *core.SendAttempt, refused *core.Finish) {
	for _, effect := range p.node.Handle(f.now(), e) {
		switch e := effect.(type) {
		case core.SendAttempt:
			attempt = &e
		case core.Finish:
			refused = &e
		default:
			f.applyEffect(p, effect)
		}
	}
	return attempt, refused
}

func (f *fleet) applyEffect(p *process, effect core.Effect) {
	switch e := effect.(type) {
	case core.ConfigRefused:
		panic(e.Findings.Error())
	case core.ListInstances:
		f.w.after(platformDelay, func() { f.handle(p, core.InstancesListed{Op: e.Op, Members: f.listMembers()}) })
	case core.PollReport:
		f.w.after(pollDelay, func() { f.poll(p, e.Backend) })
	case core.SetPeers:
		f.w.after(linkDelay, func() { f.connect(p, e.Peers) })
	case core.SendPeer:
		f.w.after(linkDelay, func() { f.deliver(p.name, e.To, e.Message) })
	}
}

func (f *fleet) deliver(from, to string, m core.PeerMessage) {
	if p := f.processByName[to]; p != nil {
		f.handle(p, core.PeerReceived{From: from, Message: m})
	}
}

func (f *fleet) connect(p *process, peers []core.PeerAddress) {
	for _, peer := range peers {
		if other := f.processByName[peer.Name]; other != nil && !p.peers[peer.Name] {
			p.peers[peer.Name] = true
			f.handle(p, core.PeerConnected{Peer: peer.Name, Incarnation: other.incarnation})
		}
	}
}

// listMembers returns the platform's list, which lags behind the backend servers' states.
func (f *fleet) listMembers() []membership.Member {
	list := make([]membership.Member, 0, len(f.w.servers)+len(f.processes))
	for _, s := range f.w.servers {
		list = append(list, s.listed)
	}
	for _, p := range f.processes {
		state := membership.Live
		if p.retired {
			state = membership.Leaving
		}
		list = append(list, membership.Member{
			Name: p.name, Role: membership.RoleInstance, Zone: p.zone, Address: p.name, Incarnation: p.incarnation, State: state,
		})
	}
	return list
}

func (f *fleet) report(s *server) membership.Report {
	return membership.Report{
		Backend: s.name, Incarnation: s.incarnation, State: s.state, InFlight: s.reported(),
		At: f.now().Add(-s.speed.ReportLag),
	}
}

func (f *fleet) poll(p *process, backend string) {
	s := f.serverByName[backend]
	f.handle(p, core.BackendReported{Report: f.report(s), Failed: s.state == membership.Gone})
}

func (f *fleet) place(t *turn) (*server, time.Duration) {
	p := f.current[t.router.index]
	e := core.RequestArrived{
		Request:  core.RequestID(t.id()),
		Customer: customerName(t.chat.customer),
		Service:  serviceName,
		Chat:     t.chat.id,
	}
	if f.hints {
		e.Hint = t.chat.hint
	}
	if t.chat.kind != nil {
		e.Prompt, e.SharedParts = t.prompt(), t.sharedParts()
	}
	f.placements[t] = &placement{process: p}
	attempt, refused := f.handle(p, e)
	if attempt == nil && refused == nil {
		// The process has just started and holds the turn. The simulation does not model
		// that wait, so the caller cancels the turn and retries it.
		_, refused = f.handle(p, core.CallerGone{Request: e.Request})
		refused.RetryAfter = platformDelay
	}
	return f.applyDecision(t, attempt, refused)
}

// applyDecision converts the core's decision to the results of the policy interface.
func (f *fleet) applyDecision(t *turn, attempt *core.SendAttempt, refused *core.Finish) (*server, time.Duration) {
	pl := f.placements[t]
	if attempt == nil {
		delete(f.placements, t)
		t.failed = refused.Outcome != reason.NotRun
		return nil, refused.RetryAfter
	}
	s := f.serverByName[attempt.Backend]
	t.server = s
	pl.attempt, pl.hint = attempt.Attempt, attempt.Placement
	pl.process.inFlight++
	return s, 0
}

// endAttempt reports the end of the turn's current attempt to its node.
func (f *fleet) endAttempt(t *turn, outcome retry.Outcome) (*core.SendAttempt, *core.Finish) {
	pl := f.placements[t]
	pl.process.inFlight--
	e := core.AttemptEnded{Request: core.RequestID(t.id()), Attempt: pl.attempt, Outcome: outcome}
	e.ServerEnded = outcome == retry.Unknown && t.server.state == membership.Gone
	if outcome == retry.Answered {
		report := f.report(t.server)
		e.Load = &report
	}
	return f.handle(pl.process, e)
}

func (f *fleet) attemptFailed(t *turn, sent bool) (*server, time.Duration) {
	outcome := retry.NotSent
	if sent {
		outcome = retry.Unknown
	}
	attempt, refused := f.endAttempt(t, outcome)
	return f.applyDecision(t, attempt, refused)
}

func (f *fleet) turnEnded(t *turn) {
	f.endAttempt(t, retry.Answered)
	t.chat.hint = f.placements[t].hint
	delete(f.placements, t)
}

func (f *fleet) responseStarted(t *turn) {
	pl := f.placements[t]
	if pl == nil {
		return
	}
	report := f.report(t.server)
	f.handle(pl.process, core.AnswerStarted{Request: core.RequestID(t.id()), Attempt: pl.attempt, Load: &report})
}

// processReplaced starts a new process for the router; the old one finishes its turns.
func (f *fleet) processReplaced(r *router) {
	f.current[r.index].retired = true
	f.start(r)
}

func (f *fleet) tick() {
	kept := f.processes[:0]
	for _, p := range f.processes {
		if p.retired && p.inFlight == 0 {
			delete(f.processByName, p.name)
			continue
		}
		f.handle(p, core.Ticked{})
		kept = append(kept, p)
	}
	f.processes = kept
}
