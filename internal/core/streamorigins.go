package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// A stream goes on only at the software that began it. This file records where this instance's streams
// begin, and decides where a request goes that continues one; streamlookups.go asks other instances.

const (
	// settledAfter is the time after its start from which an instance knows every version that served
	// while a stream that is still running was begun. Until then it goes by the stored history, or asks others.
	settledAfter = 30 * time.Second
	// continuationGrace is the time after the deadline of a request for which its caller may still
	// continue the stream.
	continuationGrace = time.Minute
	// streamSweepInterval is the interval between the updates of the history of versions.
	streamSweepInterval = time.Second
	// meshShareInterval is the interval at which the instances of a full mesh send each other the records that
	// nobody needs yet. Once a second version serves, an instance that is gone or cut off by then cannot.
	meshShareInterval = 250 * time.Millisecond
)

// counterStreamRecords counts the records of streams that were sent to other instances.
const counterStreamRecords = "stream_records"

// streamState is what an instance knows about where streams began.
type streamState struct {
	registry *streams.Registry
	versions *streams.Versions
	routes   streams.Routes
	// resumable is set if a route has streams that callers may continue. routeTable is the digest of the services of these
	// routes, and routeTables are those that were in force lately.
	resumable  bool
	routeTable string
	// routeTables has the digests as the versions of a service without a name.
	routeTables *streams.Versions
	// history is what the store tells of the versions and route tables that served lately.
	history      streams.StoredHistory
	historyWrite historyWrite
	// unknownContinued is set once a caller has continued a stream of which this instance knows nothing: a fleet has served
	// before.
	unknownContinued bool
	// withoutHistory are the peers that do not keep the history.
	withoutHistory map[string]bool
	stored         storedStreams
	// directory tells which instances keep records.
	directory *streams.Directory
	// outbox holds records for peers without a link.
	outbox *streams.Outbox
	// lookups are the streams that other instances are asked about.
	lookups *streams.Lookups[lookupWaiter]
	ended   streams.Ended
	// knownAsOf is the time as of which this instance knew the store at the last tick.
	knownAsOf     time.Time
	nextSweep     time.Time
	nextMeshShare time.Time
}

func newStreamState(s *Settings) streamState {
	return streamState{
		registry: streams.NewRegistry(), versions: streams.NewVersions(), routeTables: streams.NewVersions(),
		withoutHistory: make(map[string]bool), outbox: streams.NewOutbox(),
		lookups: streams.NewLookups[lookupWaiter](), directory: streams.NewDirectory(streams.Member{Name: s.Name, Zone: s.Zone}),
	}
}

// streamKey returns the key of the stream that a request begins or continues, 0 if its caller cannot
// continue it.
func (r *request) streamKey() streams.Key {
	switch {
	case !r.policy.resumable:
		return 0
	case r.arrived.Continues != nil:
		return streams.KeyOf(r.arrived.Customer, r.arrived.Continues.First)
	default:
		return streams.KeyOf(r.arrived.Customer, r.arrived.CallerID)
	}
}

// routeID returns the identity of a route over configurations.
func routeID(route *config.Route) string { return route.Host + route.Prefix }

// streamBegan records where a stream began or went on, and binds the rest of the request to that software.
func (n *Node) streamBegan(r *request, processCertain bool) {
	if !r.policy.resumable || r.route == nil {
		return
	}
	if r.software == nil {
		r.software = &streams.Software{Service: r.service.Name, Version: r.version}
		r.softwareCertain = processCertain
		r.softwareUncertain = r.softwareUncertain && !processCertain
	}
	n.streams.registry.Begin(n.now, streams.Record{
		Key: r.streamKey(), Software: *r.software,
		Process:   streams.Process{Server: r.poison.Start.Name, Incarnation: r.poison.Start.Incarnation},
		Certain:   r.softwareCertain,
		Uncertain: r.softwareUncertain,
		Keep:      r.deadline.Sub(n.now) + continuationGrace,
	}, routeID(r.route))
	n.shareStreams()
}

// shareStreams sends the records that other instances may need. They need none of a stream that can only
// have begun at one version of one service, as far as each instance can tell. Records are sent at once:
// if this instance ended before it sent one, the caller could not continue the stream.
func (n *Node) shareStreams() {
	s := &n.streams
	mayLackVersions := n.outdatedStore() || !s.history.Known() && n.now.Sub(n.startedAt) < settledAfter
	if !mayLackVersions && !s.versions.AnyMixed() && !n.anyAmbiguousRoute() {
		return
	}
	records := s.registry.TakeUnshared(n.now, func(service, route string) bool {
		return mayLackVersions || s.versions.Mixed(service) || n.ambiguousRoute(route)
	})
	n.sendRecords(records, n.keepersOf)
}

// shareInMesh sends all other records now and then where each instance keeps all of them.
func (n *Node) shareInMesh() {
	if n.now.Before(n.streams.nextMeshShare) || len(n.liveInstances()) > mesh.FullMeshLimit {
		return
	}
	n.streams.nextMeshShare = n.now.Add(meshShareInterval)
	n.sendRecords(n.streams.registry.TakeUnshared(n.now, func(string, string) bool { return true }), n.keepersOf)
}

// outdatedStore reports whether this instance's knowledge of the store is older than the operators allow.
func (n *Node) outdatedStore() bool {
	return n.usesBackendEntries() && n.Staleness() > n.settings.ChangeBound
}

// streamView is what the other instances have said about a stream.
type streamView struct {
	// asked is set once they have been asked.
	asked bool
	// vouched is set if one of them has confirmed which versions have served lately, and all if all have answered.
	vouched, all bool
}

// continued is what a request that continues a stream goes by.
type continued struct {
	software streams.Software
	basis    streams.Basis
}

// continueStream decides where a request goes that continues a stream.
func (n *Node) continueStream(e RequestArrived, t target, at time.Time, view streamView) {
	key := streams.KeyOf(e.Customer, e.Continues.First)
	c := streams.Continuation{Leads: t.leadsTo, Asked: view.asked}
	if record, ok := n.streams.registry.Get(n.now, key); ok {
		c.Record = &record
	} else {
		c.Only = n.onlySoftware(t, at, view)
	}
	switch decision, software := c.Decide(); decision {
	case streams.GoOn:
		t.service = n.snapshot.Service(software.Service)
		n.admitRequest(e, t, at, &continued{software: *software, basis: c.Basis()})
	case streams.Moved:
		n.refuse(e, t, reason.StreamMoved)
	case streams.AskOthers:
		n.streams.unknownContinued = true
		if !n.lookUpStream(key, e, t, at) {
			n.refuse(e, t, reason.StreamUnknown)
		}
	default:
		n.refuse(e, t, reason.StreamUnknown)
	}
}

// leadsTo reports whether the route sends requests to a service.
func (t target) leadsTo(service string) bool {
	return slices.ContainsFunc(t.route.Split, func(s config.Share) bool { return s.Service == service && s.Weight > 0 })
}

// onlySoftware returns the software at which each stream of the route must have begun that a request continues which arrived
// at a time, nil if there may be several.
func (n *Node) onlySoftware(t target, arrived time.Time, view streamView) *streams.Software {
	if n.ambiguousRoute(routeID(t.route)) {
		return nil
	}
	if !t.service.FromPlatform {
		return &streams.Software{Service: t.service.Name}
	}
	version, only := n.streams.versions.Only(t.service.Name)
	if !only || !n.knowsVersions(t.service.Name, arrived, view) {
		return nil
	}
	return &streams.Software{Service: t.service.Name, Version: version}
}

// knowsVersions reports whether this instance knows all versions at which streams may have begun before a time.
//
// A stream begins at once at a version that has just joined if no server of another one is usable. So beside other instances it
// is not enough that the knowledge of the store is young: it must be of that time or later, or all who may have the record of the
// stream must have none.
func (n *Node) knowsVersions(service string, before time.Time, view streamView) bool {
	switch {
	case view.vouched && view.all:
		return true
	case len(n.liveInstances()) <= 1 && n.vouchesForVersions(service):
		return true
	}
	return !n.entriesKnownAsOf().Before(before) && (view.vouched || n.knowsFormerVersions(service))
}

// entriesKnownAsOf returns the time as of which this instance knows all entries, zero if it does not.
func (n *Node) entriesKnownAsOf() time.Time { return later(n.knownAsOf(), n.follow.EntriesAsOf()) }

// knowsFormerVersions reports whether this instance knows the versions of a service that have served lately and left.
func (n *Node) knowsFormerVersions(service string) bool {
	return n.streams.history.Covers(service) || n.now.Sub(n.startedAt) >= settledAfter
}

// vouchesForVersions reports whether this instance knows all versions of a service that served lately.
func (n *Node) vouchesForVersions(service string) bool {
	at := n.entriesKnownAsOf()
	// Until it is outdated, an instance that has just started may know only what a peer knew long ago.
	if n.outdatedStore() || at.IsZero() || n.now.Sub(at) > n.settings.ChangeBound {
		return false
	}
	return n.knowsFormerVersions(service)
}

// tickStreams shares records that have become necessary, ends lookups, and updates the history.
func (n *Node) tickStreams() {
	s := &n.streams
	s.knownAsOf = n.knownAsOf()
	n.shareStreams()
	n.shareInMesh()
	n.flushRecords()
	n.tickLookups()
	n.tickHistory()
	n.tickStoredStreams()
	if n.now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = n.now.Add(streamSweepInterval)
	n.observeLiveVersions()
	n.observeRouteTable()
	s.versions.Expire(n.now)
	s.routeTables.Expire(n.now)
	s.routes.Expire(n.now)
	s.registry.Expire(n.now)
	s.ended.Expire(n.now)
}

// routesChanged records the services of each route after a change of the configuration.
func (n *Node) routesChanged() {
	services := make(map[string][]string)
	n.snapshot.EachRoute(func(route *config.Route) {
		if !route.Resumable {
			return
		}
		var list []string
		for _, s := range route.Split {
			if s.Weight > 0 {
				list = append(list, s.Service)
			}
		}
		slices.Sort(list)
		services[routeID(route)] = list
	})
	n.streams.routes.Apply(n.now, services)
	n.streams.resumable = len(services) > 0
	n.streams.routeTable = streams.RouteTable(services)
	n.observeRouteTable()
}

// observeRouteTable records that the present route table is in force.
func (n *Node) observeRouteTable() {
	if n.streams.routeTable != "" {
		n.streams.routeTables.Observe(n.now, streams.Software{Version: n.streams.routeTable}, false)
	}
}
