package core

import (
	"math"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

// unreachableTrialInterval is the interval at which a request tries a server that cannot be reached while all others are
// full: it may be back before its backoff ends.
const unreachableTrialInterval = 500 * time.Millisecond

// place selects the backend server for the request's next attempt.
func (n *Node) place(r *request) (*routing.Candidate, reason.Reason) {
	p := n.pool(r.service.Name)
	if len(p.candidates) == 0 {
		return nil, p.evacuatedOr(reason.NoBackend)
	}
	if refusal := n.regionRefusal(&r.target); refusal != reason.None {
		return nil, refusal
	}
	if refusal := n.softwareUnusable(r, p); refusal != reason.None {
		return nil, refusal
	}
	n.markFull(p)
	n.markEjected(p)
	choice := n.routingChoice(r, p)
	i := n.pickServer(r, p, &choice)
	if i == routing.None {
		return nil, p.evacuatedOr(reason.Saturated)
	}
	p.used = true
	n.peers.crossZoneLoads = n.peers.crossZoneLoads || r.arrived.Prompt != nil || !r.zoneAllowed(n.settings.Zone)
	return &p.candidates[i], reason.None
}

// routingChoice returns the routing parameters of the request's next attempt.
func (n *Node) routingChoice(r *request, p *pool) routing.Choice {
	chat := chatHash(r)
	choice := routing.Choice{
		Chat:          chat,
		Hinted:        n.hintedCandidate(r, p),
		PreferOwnZone: r.arrived.Chat == "" || n.multiHop(),
		Tried:         r.tried,
		Quiet:         r.quiet,
		NewVersions:   n.newVersions(r),

		TryUnreachable: n.now.Sub(p.unreachableTriedAt) >= unreachableTrialInterval,
		AbsentDraw:     n.absentDraw(r),
	}
	if r.zones.Restricted() {
		choice.ZoneAllowed = r.zoneAllowed
	}
	if r.software != nil {
		choice.MatchVersion, choice.Version, choice.Unverified = true, r.software.Version, n.unverifiedServers()
	}
	if r.arrived.Prompt != nil {
		// A session has one preferred engine in the whole fleet. With one per zone, each zone
		// would prefill every prompt again.
		choice.PreferOwnZone = false
		choice.WithinSlots = true
		choice.Limits = routing.SessionLimits(n.limitBasis(r, p), n.sessionHeadroom(r.arrived.Request))
		return n.withoutBound(r, choice)
	}
	if n.loadBasis(p) == load.FromAverages {
		// With fixed limits on averaged loads, all instances would skip the same server at
		// the same time and return to it together. A draw per request spreads their decisions
		// instead.
		choice.Limits = routing.NoLimits()
		choice.Draw = rendezvous.Unit(rendezvous.Hash(string(r.arrived.Request)))
		choice.FillLimit = n.fillLimit(p)
		return choice
	}
	choice.Limits = routing.ChatLimits(n.limitBasis(r, p), chat, n.requestKind(r))
	return n.withoutBound(r, choice)
}

// spillFill is the fill up to which requests stay in their zone. With more requests per slot, some would wait for one
// while servers of other zones have slots to spare.
const spillFill = 0.7

// fillLimit returns the fill beyond which a server of the pool gets only a part of the requests that rank it first: at
// least the mean of all servers, since a lower one would move requests without making room. It also updates
// the slowness of the pool's servers, as only these requests consider it.
func (n *Node) fillLimit(p *pool) float64 {
	sum, count := 0.0, 0
	for i := range p.candidates {
		c := &p.candidates[i]
		c.Slowness = n.speed.Slowness(c.Name, n.now)
		c.MoreCapacity = n.roomAboveCapacity(p, c)
		if c.Usable() && c.Slots > 0 {
			sum += c.Fill(1)
			count++
		}
	}
	return max(spillFill, sum/float64(max(1, count)))
}

// withoutBound lifts the bound on a server's load for a stream that only some servers can continue. Those of a version
// that is going away are few, and all its broken streams come to them; refused, they could go on nowhere. Those of a server that
// ends are placed by all instances at the same moment.
func (n *Node) withoutBound(r *request, choice routing.Choice) routing.Choice {
	if r.software == nil || !n.streams.versions.Mixed(r.service.Name) {
		return choice
	}
	if streamBroke := len(r.tried) > 0; streamBroke && !math.IsInf(choice.Limits.Outer, 1) {
		choice.SpreadBelow = choice.Limits.Outer
	}
	choice.Limits.Outer = math.Inf(1)
	return choice
}

// softwareUnusable returns the reason why no backend server can go on with the request's stream, if none can.
func (n *Node) softwareUnusable(r *request, p *pool) reason.Reason {
	switch {
	case r.software == nil:
		return reason.None
	case r.softwareUncertain, r.software.Version == "" && r.service.FromPlatform:
		return reason.StreamUnknown
	case !p.hasVersion(r.software.Version, &r.target) && n.evacuatedVersion(p, r.software.Version):
		return reason.ZoneEvacuated
	case !p.hasVersion(r.software.Version, &r.target):
		return reason.StreamVersionGone
	default:
		return reason.None
	}
}

// multiHop reports whether the fleet is too large for a full mesh. Loads are then aggregated
// over several hops, and the loads of other zones arrive some seconds late.
//
// In such a fleet chats are ranked in the instance's own zone first, because a server that
// instances of other zones fill unnoticed looks idle from here. In a small fleet all zones
// are ranked together, so that a chat reaches its cached prefix through an instance of any
// zone. A placement hint may name a server in any zone.
func (n *Node) multiHop() bool {
	return n.peers.layout != nil && n.peers.layout.MultiHop()
}

// limitBasis returns what a request's limits are computed from.
func (n *Node) limitBasis(r *request, p *pool) routing.Basis {
	among := n.loadAmong(r, p)
	return routing.Basis{Among: among, All: n.withEvacuated(p, r.service, among), Bound: r.service.SkewBound, Slack: r.service.SkewSlack}
}

// loadAmong returns the load of the backend servers among which the request's service distributes
// requests like it. Other zones are included only if their loads are known, or if the request may go to any zone.
func (n *Node) loadAmong(r *request, p *pool) routing.Load {
	if r.zones.Restricted() {
		return n.allowedLoad(r, p)
	}
	if n.multiHop() && r.arrived.Prompt == nil {
		if load := p.reachableLoadInZone(); load.Servers > 0 {
			return load
		}
	}
	return p.reachableLoad()
}

// allowedLoad is loadAmong with the servers that are allowed for the request: servers elsewhere, however idle, can take
// none of it.
func (n *Node) allowedLoad(r *request, p *pool) routing.Load {
	if n.multiHop() && r.arrived.Prompt == nil && r.zoneAllowed(n.settings.Zone) {
		if load := p.reachableLoadInZone(); load.Servers > 0 {
			return load
		}
	}
	if load := p.candidates.Load(func(c *routing.Candidate) bool { return c.Usable() && r.zoneAllowed(c.Zone) }); load.Servers > 0 {
		return load
	}
	load := p.candidates.Load(func(c *routing.Candidate) bool { return r.zoneAllowed(c.Zone) })
	load.Servers = max(1, load.Servers)
	return load
}

// chatHash returns the hash by which the backend servers are ranked for the request. A
// request without a chat is ranked by its own ID.
func chatHash(r *request) uint64 {
	if r.arrived.Chat == "" {
		return rendezvous.Hash(string(r.arrived.Request))
	}
	return rendezvous.HashPair(r.arrived.Customer, r.arrived.Chat)
}

// tickPlacement ages the load estimates and marks unreachable backend servers as reachable
// once their backoff has elapsed.
func (n *Node) tickPlacement() {
	n.tickLoad()
	for _, backend := range n.reach.ElapsedBackoffs(n.now) {
		n.setUnreachable(backend, false)
	}
}
