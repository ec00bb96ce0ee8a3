package core

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// This file follows which software versions serve, and makes sure that an attempt of a stream reaches the version
// that this instance takes the backend server for.

const (
	// returningAfter is the time since a version last served within which its servers may be about to
	// return, as after a crash; goneRetryAfter is the Retry-After delay later on.
	returningAfter = 5 * time.Second
	goneRetryAfter = 10 * time.Second
)

// newVersions returns the versions at which a request must not begin a stream yet if there are others: not
// all instances may know them. One that does not would take the stream for one of the version that it knows.
func (n *Node) newVersions(r *request) []string {
	if !r.policy.resumable || r.software != nil {
		return nil
	}
	return append(n.streams.versions.New(n.now, r.service.Name, n.settings.ChangeBound), n.unrecordedVersions(r.service.Name)...)
}

// processCheck returns the check that an attempt of a stream reaches the process, and so the software, that
// this instance takes the server for; nil if it need not be checked.
func (n *Node) processCheck(r *request) *ProcessCheck {
	if !r.policy.resumable || !r.service.FromPlatform || !n.streams.versions.Mixed(r.service.Name) {
		return nil
	}
	check := &ProcessCheck{Incarnation: r.poison.Start.Incarnation}
	if at := n.knownAsOf(); !at.IsZero() {
		check.KnownAsOf = at.Add(-streams.RegistrationLag)
	}
	return check
}

// unverifiedServers returns the backend servers of a service whose process was seen to end and that may run
// another version under the same name since, as far as this instance knows the store.
func (n *Node) unverifiedServers() []string { return n.streams.ended.Unverified(n.knownAsOf()) }

// continuesElsewhere reports whether another backend server than that of the request's attempt could go on with its
// stream.
func (n *Node) continuesElsewhere(r *request) bool {
	if !r.policy.resumable || !n.streams.versions.Mixed(r.service.Name) {
		return true
	}
	p := n.pool(r.service.Name)
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Name != r.backend && c.Version == r.version && !slices.Contains(r.tried, c.Name) {
			return true
		}
	}
	return false
}

// observeBackend records the version in a backend server's entry, and whether the entry shows another
// process than the one before.
func (n *Node) observeBackend(entry *membership.Member) {
	software := streams.Software{Service: entry.Service, Version: entry.Version}
	n.observeVersion(software, n.backends.log.Complete() == 0 && n.streams.history.Settled(software))
	old := n.view.Get(entry.Name)
	if old == nil || entry.Incarnation < old.Incarnation {
		return
	}
	// An entry without a start time has the same incarnation after a restart.
	otherSoftware := entry.Version != old.Version || entry.Service != old.Service
	if entry.Incarnation == old.Incarnation && !otherSoftware {
		return
	}
	n.forgetProcess(entry.Name)
	if otherSoftware {
		n.softwareReplaced(streams.Process{Server: old.Name, Incarnation: old.Incarnation})
	}
}

// forgetProcess forgets what this instance knew of the process that ran under a backend server's name until now:
// its cached prompts, its failures, and that it could not be connected to.
func (n *Node) forgetProcess(name string) {
	n.streams.ended.Forget(name)
	n.prefixes.Forget(name)
	n.outliers.tracker.Keep(func(other string) bool { return other != name })
	n.reach.RecordSuccess(name, "")
	n.setUnreachable(name, false)
}

// observeVersion records that a version serves. A second version is logged, because streams must be kept
// apart from then on.
func (n *Node) observeVersion(s streams.Software, established bool) {
	before := n.streams.versions.Served(s.Service)
	n.streams.versions.Observe(n.now, s, established)
	if after := n.streams.versions.Served(s.Service); len(after) > 1 && !slices.Equal(before, after) {
		n.emit(StateChanged{Subject: SubjectService, Name: s.Service, Names: after, State: "versions"})
	}
}

// softwareReplaced records that other software runs under a process's name. Streams that seemed to begin at
// the process since this instance last knew the store may have begun at its successor.
func (n *Node) softwareReplaced(old streams.Process) {
	since := n.streams.knownAsOf.Add(-streams.RegistrationLag)
	n.streams.registry.Replaced(old, since)
	for _, r := range n.requests {
		if r.sentTo(old, since) {
			r.softwareUncertain = !r.softwareCertain
		}
	}
}

// streamRetryAfter returns the Retry-After delay of a request whose stream only a version can continue of which no
// server is usable.
func (n *Node) streamRetryAfter(s streams.Software) time.Duration {
	if n.now.Sub(n.streams.versions.LastServed(s)) <= returningAfter {
		return defaultRetryAfter
	}
	return goneRetryAfter
}

// observeLiveVersions keeps the versions in the history whose servers are not gone.
func (n *Node) observeLiveVersions() {
	for _, p := range n.pools {
		for i := range p.candidates {
			n.touchVersion(p.service, p.candidates[i].Name)
		}
		for i := range p.leaving {
			n.touchVersion(p.service, p.leaving[i].Name)
		}
	}
}

func (n *Node) touchVersion(service, backend string) {
	if n.backends.log.Revision(backend) == 0 {
		return
	}
	n.streams.versions.Observe(n.now, streams.Software{Service: service, Version: n.versionOf(backend)}, false)
}
