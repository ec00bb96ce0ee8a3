package core

import (
	"fmt"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
	"github.com/ebonydyke/ebonydyke/internal/core/separation"
	"github.com/ebonydyke/ebonydyke/internal/core/warmup"
)

// Backend servers that warm up tolerate few requests a second. This file records which are cold; permits.go decides
// about each request to one of them.
//
// The invariant: an attempt at a server that this instance holds for cold is sent on a permit only.

const (
	// coldSweepInterval is the interval at which old state is forgotten.
	coldSweepInterval = 5 * time.Second
)

// The counters of cold servers and their labels.
const (
	counterColdServers   = "cold_servers"
	labelTurnedCold      = "cold"
	labelTurnedWarm      = "warm"
	labelEndedCold       = "ended-while-cold"
	labelBadRemaining    = "bad-remaining-time"
	labelRestartsSent    = "restarts-sent"
	labelRestartsHeard   = "restarts-heard"
	labelRestartsUnknown = "restarts-of-unknown-server"
)

// Restart is a backend server whose process the sender of a digest, or another instance that told it, has seen end.
type Restart struct {
	Backend string `json:"backend"`
	// Age is the age of the observation at the time of the digest.
	Age time.Duration `json:"age"`
}

// coldState is what an instance knows of servers that warm up.
type coldState struct {
	servers *warmup.Servers
	permits permitState
	// changes are the servers that have turned cold or warm since the last tick, for the log.
	changes   warmup.Changes
	nextSweep time.Time
}

func newColdState(incarnation uint64) coldState {
	return coldState{servers: warmup.New(), permits: newPermitState(incarnation)}
}

// warmUpLimits returns the limits of a service's cold servers; they are not active if the service has no warm-up.
func (n *Node) warmUpLimits(service string) warmup.Limits {
	if n.snapshot == nil {
		return warmup.Limits{}
	}
	svc := n.snapshot.Service(service)
	if svc == nil || svc.WarmUp == nil {
		return warmup.Limits{}
	}
	w := svc.WarmUp
	return warmup.Limits{Duration: time.Duration(w.Duration), PerSecond: w.PerSecond, Bound: w.PerSecond*w.Overage + float64(w.Slack)}
}

// limitsOfServer returns the limits that apply to a usable backend server while it is cold, and its pool; nil if there are none.
func (n *Node) limitsOfServer(backend string) (warmup.Limits, *pool) {
	p := n.poolByBackend[backend]
	if p == nil || !p.warmsUp {
		return warmup.Limits{}, nil
	}
	return n.warmUpLimits(p.service), p
}

// observeEntry records what a new entry says about the process and its warm-up.
func (n *Node) observeEntry(entry *membership.Member) {
	limits := n.warmUpLimits(entry.Service)
	remaining, ok := limits.Remaining(entry.WarmUp)
	if !ok {
		n.emit(Counted{Counter: counterColdServers, Label: labelBadRemaining, N: 1})
	}
	n.cold.servers.Observe(entry.Name, entry.Incarnation, remaining, limits.Duration, n.backends.log.Complete() > 0, n.now)
	n.updateCold(entry.Name, "")
}

// observeProcesses records the processes of a service's servers when its pool is rebuilt, whatever told of them, and marks
// the cold ones. old is the pool before.
func (n *Node) observeProcesses(p, old *pool) {
	limits := n.warmUpLimits(p.service)
	p.warmsUp = limits.Active()
	if !p.warmsUp {
		return
	}
	established := old.warmsUp && n.backends.log.Complete() > 0
	for i := range p.candidates {
		c := &p.candidates[i]
		n.cold.servers.Observe(c.Name, c.Incarnation, 0, limits.Duration, established, n.now)
		before := old.find(c.Name)
		c.Cold = before != nil && before.Cold
		if c.Cold {
			p.coldCount++
		}
	}
}

// markCold updates the marks of a pool that has just been rebuilt, and logs the changes.
func (n *Node) markCold(p *pool) {
	if !p.warmsUp {
		return
	}
	for i := range p.candidates {
		n.updateCold(p.candidates[i].Name, "")
	}
}

// updateCold updates the mark of a server that may have turned cold or warm. detail describes the sign behind it, "" if the
// tracker knows the cause.
func (n *Node) updateCold(backend, detail string) {
	_, p := n.limitsOfServer(backend)
	if p == nil {
		return
	}
	c := &p.candidates[p.index[backend]]
	state, cold := n.cold.servers.Describe(backend, n.now)
	if c.Cold == cold {
		return
	}
	c.Cold = cold
	if !cold {
		p.coldCount--
		n.cold.changes.TurnedWarm(backend)
		return
	}
	p.coldCount++
	if detail == "" {
		detail = string(state.Cause)
	}
	n.cold.changes.TurnedCold(backend, detail)
}

// observeAttemptEnd records what the end of an attempt says about the process of its server.
func (n *Node) observeAttemptEnd(r *request, e *AttemptEnded, verdict separation.Verdict) {
	limits, p := n.limitsOfServer(r.backend)
	if p == nil {
		return
	}
	switch {
	case verdict != separation.InContact:
		// The failure shows nothing about the process.
	case e.ServerEnded:
		n.serverMayHaveEnded(warmup.Sign{Server: r.backend, At: n.now, HeldRequest: true}, "it ended while it held a request", true)
	case e.ProcessReplaced:
		if member := n.view.Get(r.backend); member == nil || member.Incarnation == r.poison.Start.Incarnation {
			n.serverMayHaveEnded(warmup.Sign{Server: r.backend, At: n.now, HeldRequest: true}, "its process was replaced", true)
		}
	case e.ConnectionRefused:
		certain := !n.paths.tracker.IsLost(r.backend) && !n.paths.tracker.Doubtful(p.service)
		n.serverMayHaveEnded(warmup.Sign{Server: r.backend, At: n.now, Uncertain: !certain}, "it refused a connection", certain)
	case e.Outcome == retry.NotSent && !r.callerGone:
		if n.cold.servers.DialFailed(r.backend, n.now) {
			n.serverMayHaveEnded(warmup.Sign{Server: r.backend, At: n.now, Uncertain: true}, "it could not be connected to", false)
		}
	case e.Outcome == retry.Answered, e.Outcome == retry.Failed, e.Outcome == retry.Broken:
		// A refusal may come from another process at the server's address.
		n.serverReached(r.backend, r.sentAt, limits)
	}
}

// responseReached records a response that has begun.
func (n *Node) responseReached(r *request) {
	if limits, p := n.limitsOfServer(r.backend); p != nil {
		n.serverReached(r.backend, r.sentAt, limits)
	}
}

func (n *Node) serverReached(backend string, sentAt time.Time, limits warmup.Limits) {
	n.cold.servers.Reached(backend, sentAt, limits.Duration, n.now)
}

// serverMayHaveEnded records this instance's own sign that a server's process may have ended. A certain one is sent to the
// peers.
func (n *Node) serverMayHaveEnded(sign warmup.Sign, detail string, certain bool) {
	ends := n.cold.servers.Ends(sign.Server, n.now)
	if n.cold.servers.Signed(sign, n.now) && certain {
		n.announceRestart(sign.Server, sign.At, "")
	}
	n.countEnds(sign.Server, ends)
	n.updateCold(sign.Server, detail)
}

// zoneMayHaveEnded records that a zone counts as unreachable: those of its servers that were not tried may have ended as well.
func (n *Node) zoneMayHaveEnded(backend string) {
	if _, p := n.limitsOfServer(backend); p != nil {
		n.serverMayHaveEnded(warmup.Sign{Server: backend, At: n.now, Uncertain: true}, "its zone could not be connected to", false)
	}
}

// countEnds counts and logs the end of a cold server at the instance that permits requests to it.
func (n *Node) countEnds(backend string, before int) {
	ends := n.cold.servers.Ends(backend, n.now)
	if ends <= before {
		return
	}
	n.emit(Counted{Counter: counterColdServers, Label: labelEndedCold, N: 1})
	if limits, p := n.limitsOfServer(backend); p != nil && n.issuerOf(p.find(backend)) == n.settings.Name {
		n.emit(StateChanged{
			Subject: SubjectBackend, Name: backend, State: "fewer permits",
			Cause: fmt.Sprintf("ended %d times while it was cold; %d requests a second", ends, limits.Permits(ends)),
		})
	}
}

// announceRestart queues a restart for the peers, except the one that told of it, and makes digests due now.
func (n *Node) announceRestart(backend string, at time.Time, from string) {
	for name, p := range n.peers.byName {
		if name != from && p.connected && n.inLayout(name) {
			p.pendingRestarts.Add(backend, at)
		}
	}
	n.sendDigestsNow()
}

// queueRestarts queues the restarts that a peer which has just connected may have missed.
func (n *Node) queueRestarts(p *peerState) {
	p.pendingRestarts.Clear()
	n.cold.servers.EachSigned(n.now, p.pendingRestarts.Add)
}

// addRestarts adds the queued restarts to a digest.
func (n *Node) addRestarts(p *peerState, d *Digest) {
	p.pendingRestarts.Take(n.now, func(backend string, age time.Duration) {
		d.Restarts = append(d.Restarts, Restart{Backend: backend, Age: age})
	})
	if len(d.Restarts) > 0 {
		n.emit(Counted{Counter: counterColdServers, Label: labelRestartsSent, N: len(d.Restarts)})
	}
}

// peerRestarts applies the restarts in a peer's digest, and passes on those that are news.
func (n *Node) peerRestarts(p *peerState, d *Digest) {
	if len(d.Restarts) == 0 {
		return
	}
	madeAt, known := p.clock.ToLocal(d.At)
	if !known || madeAt.After(n.now) {
		madeAt = n.now
	}
	n.emit(Counted{Counter: counterColdServers, Label: labelRestartsHeard, N: len(d.Restarts)})
	for _, r := range d.Restarts {
		if n.poolByBackend[r.Backend] == nil {
			n.emit(Counted{Counter: counterColdServers, Label: labelRestartsUnknown, N: 1})
			continue
		}
		if _, warmsUp := n.limitsOfServer(r.Backend); warmsUp == nil {
			continue
		}
		sign := warmup.Sign{Server: r.Backend, At: madeAt.Add(-max(0, r.Age)), Uncertain: n.restartIsUncertain(r.Backend, p.name)}
		ends := n.cold.servers.Ends(r.Backend, n.now)
		if n.cold.servers.Told(sign, n.now) && !sign.Uncertain {
			n.announceRestart(r.Backend, sign.At, p.name)
		}
		n.countEnds(r.Backend, ends)
		n.updateCold(r.Backend, "a peer saw its process end")
	}
}

// withWarmUp returns a backend server's record for a peer, with the remaining time of its warm-up.
func (n *Node) withWarmUp(member membership.Member) membership.Member {
	member.WarmUp = 0
	if member.Role == membership.RoleBackend {
		member.WarmUp = n.cold.servers.Remaining(member.Name, n.now)
	}
	return member
}

// zoneTurnedCold makes the servers of a zone cold whose service has a warm-up: they got no requests while the zone was
// evacuated, and may have become cold.
func (n *Node) zoneTurnedCold(zone string) {
	for _, service := range sortedKeys(n.pools) {
		p := n.pools[service]
		if !p.warmsUp {
			continue
		}
		duration := n.warmUpLimits(service).Duration
		for i := range p.candidates {
			if c := &p.candidates[i]; c.Zone == zone {
				n.cold.servers.TurnCold(c.Name, duration, warmup.ZoneAgain, n.now)
				n.updateCold(c.Name, "")
			}
		}
	}
}

// tickCold marks the servers that are warm by now, logs the changes, and forgets old state.
func (n *Node) tickCold() {
	for _, p := range n.pools {
		for i := range p.candidates {
			if p.coldCount == 0 {
				break
			}
			if p.candidates[i].Cold {
				n.updateCold(p.candidates[i].Name, "")
			}
		}
	}
	n.logCold()
	n.tickPermits()
	if n.now.Before(n.cold.nextSweep) {
		return
	}
	n.cold.nextSweep = n.now.Add(coldSweepInterval)
	n.cold.servers.Expire(func(name string) bool { return n.view.Get(name) != nil }, n.now)
}

// logCold logs which servers have turned cold or warm since the last tick. Many with the same cause are one line, since all
// servers of a zone may end together.
func (n *Node) logCold() {
	cold, warm := n.cold.changes.Take()
	for _, group := range cold {
		n.emit(Counted{Counter: counterColdServers, Label: labelTurnedCold, N: len(group.Servers)})
		n.logColdServers(group.Servers, "cold", group.Cause)
	}
	if len(warm) > 0 {
		n.emit(Counted{Counter: counterColdServers, Label: labelTurnedWarm, N: len(warm)})
		n.logColdServers(warm, "warm", "its warm-up is over")
	}
}

func (n *Node) logColdServers(names []string, state, cause string) {
	if len(names) >= groupedLogThreshold {
		n.emit(StateChanged{Subject: SubjectBackend, Names: names, State: state, Cause: cause})
		return
	}
	for _, name := range names {
		n.emit(n.coldChange(name, state, cause))
	}
}

// coldChange returns the log line of one server, with what its state rests on.
func (n *Node) coldChange(name, state, cause string) StateChanged {
	change := StateChanged{Subject: SubjectBackend, Name: name, State: state, Cause: cause}
	p := n.poolByBackend[name]
	if p == nil {
		return change
	}
	c := p.find(name)
	change.Service, change.Address, change.Incarnation = p.service, c.Address, c.Incarnation
	change.Revision = n.backends.log.Revision(name)
	if s, cold := n.cold.servers.Describe(name, n.now); cold {
		switch {
		case s.Until.IsZero():
			change.Cause += fmt.Sprintf(" (%dms ago), until it is reached and for %v more", n.now.Sub(s.Sign).Milliseconds(), n.warmUpLimits(p.service).Duration)
		default:
			change.Cause += fmt.Sprintf(", for %dms", s.Until.Sub(n.now).Milliseconds())
		}
		change.Cause += "; permits from " + n.issuerOf(c)
	}
	return change
}

// coldStatus returns the warm-up state of a server, nil if it is warm.
func (n *Node) coldStatus(c *routing.Candidate) *status.Cold {
	limits, p := n.limitsOfServer(c.Name)
	state, cold := n.cold.servers.Describe(c.Name, n.now)
	if p == nil || !cold {
		return nil
	}
	return &status.Cold{
		Until: state.Until, Cause: state.Cause, Issuer: n.issuerOf(c), PerSecond: limits.Permits(state.Ends),
		Granted: n.cold.permits.issuer.Granted(c.Name, n.now), Ends: state.Ends,
	}
}
