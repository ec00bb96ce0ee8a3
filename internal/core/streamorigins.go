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
	// while a stream that is still running was begun. Until then it asks others.
	settledAfter = 30 * time.Second
	// continuationGrace is the time after the deadline of a request for which its caller may still
	// continue the stream.
	continuationGrace = time.Minute
	// streamSweepInterval is the interval between the updates of the history of versions.
	streamSweepInterval = time.Second
	// meshShareInterval is the interval at which the instances of a full mesh send each other the records that
	// nobody needs yet. Once a second version serves, an instance that is gone or cut off by then cannot.
	meshShareInterval = time.Second
)

// counterStreamRecords counts the records of streams that were sent to other instances.
const counterStreamRecords = "stream_records"

// streamState is what an instance knows about where streams began.
type streamState struct {
	registry *streams.Registry
	versions *streams.Versions
	routes   streams.Routes
	// keepers is computed from keeperNames, the live instances.
	keepers     *streams.Keepers
	keeperNames []string
	// noStreams are the peers that keep no records.
	noStreams map[string]bool
	// outbox holds records for peers without a link.
	outbox *streams.Outbox
	// lookups are the streams that other instances are asked about.
	lookups *streams.Lookups[lookupWaiter]
	// endedAt holds when a backend server's process was last seen to end. Another one may run under
	// its name since.
	endedAt map[string]time.Time
	// knownAsOf is the time as of which this instance knew the store at the last tick.
	knownAsOf     time.Time
	nextSweep     time.Time
	nextMeshShare time.Time
}

func newStreamState() streamState {
	return streamState{
		registry: streams.NewRegistry(), versions: streams.NewVersions(), outbox: streams.NewOutbox(),
		lookups: streams.NewLookups[lookupWaiter](), endedAt: make(map[string]time.Time), noStreams: make(map[string]bool),
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
	outdated := n.outdatedStore()
	if !outdated && !s.versions.AnyMixed() && !s.routes.AnyAmbiguous() {
		return
	}
	records := s.registry.TakeUnshared(n.now, func(service, route string) bool {
		return outdated || s.versions.Mixed(service) || s.routes.Ambiguous(n.now, route)
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
	// vouched is set if they have confirmed which versions have served lately.
	vouched bool
}

// continueStream decides where a request goes that continues a stream.
func (n *Node) continueStream(e RequestArrived, t target, at time.Time, view streamView) {
	key := streams.KeyOf(e.Customer, e.Continues.First)
	if record, ok := n.streams.registry.Get(n.now, key); ok {
		n.continueFrom(e, t, at, record)
		return
	}
	alone := len(n.streamKeepers().ToAsk(key)) == 0
	view.vouched = view.vouched || alone && !n.outdatedStore()
	if version, ok := n.onlyVersion(t, view); ok {
		n.admitRequest(e, t, at, &streams.Software{Service: t.service.Name, Version: version})
		return
	}
	if view.asked || !n.lookUpStream(key, e, t, at) {
		n.refuse(e, t, reason.StreamUnknown)
	}
}

// continueFrom continues a stream of which a record is known.
func (n *Node) continueFrom(e RequestArrived, t target, at time.Time, record streams.Record) {
	if record.Uncertain {
		n.refuse(e, t, reason.StreamUnknown)
		return
	}
	inSplit := func(s config.Share) bool { return s.Service == record.Service && s.Weight > 0 }
	if !slices.ContainsFunc(t.route.Split, inSplit) {
		n.refuse(e, t, reason.StreamMoved)
		return
	}
	t.service = n.snapshot.Service(record.Service)
	n.admitRequest(e, t, at, &record.Software)
}

// onlyVersion returns the version at which each stream of the route must have begun, if there is only one.
//
// Nobody begins a stream at a version that has been in the store for less than ChangeBound (see
// newVersions). So an instance whose knowledge of the store is younger than that, or confirmed by one whose is,
// knows all versions at which streams have begun.
func (n *Node) onlyVersion(t target, view streamView) (string, bool) {
	if n.streams.routes.Ambiguous(n.now, routeID(t.route)) {
		return "", false
	}
	if !t.service.FromPlatform {
		return "", true
	}
	version, only := n.streams.versions.Only(t.service.Name)
	return version, only && (view.vouched || n.vouchesForVersions())
}

// vouchesForVersions reports whether this instance knows all versions that served lately.
func (n *Node) vouchesForVersions() bool {
	return !n.outdatedStore() && n.now.Sub(n.startedAt) >= settledAfter
}

// tickStreams shares records that have become necessary, ends lookups, and updates the history.
func (n *Node) tickStreams() {
	s := &n.streams
	s.knownAsOf = n.knownAsOf()
	n.shareStreams()
	n.shareInMesh()
	n.flushRecords()
	n.tickLookups()
	if n.now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = n.now.Add(streamSweepInterval)
	n.observeLiveVersions()
	s.versions.Expire(n.now)
	s.routes.Expire(n.now)
	s.registry.Expire(n.now)
	for name, at := range s.endedAt {
		if n.now.Sub(at) > streams.Retention {
			delete(s.endedAt, name)
		}
	}
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
}
