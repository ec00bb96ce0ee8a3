package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// pollOwners is the number of instances that poll a backend server for its report. With two,
// a server is still polled when one of them is frozen.
const pollOwners = 2

// minPollInterval is the minimum interval at which an owner polls a server whose load it does not
// get otherwise. In a large zone the interval grows with the square root of the zone's size,
// because the headers of more answers carry the same information at no cost.
const minPollInterval = 4 * time.Second

// ownersInterval is the interval at which the owned backend servers are determined again even if
// the list of instances is unchanged.
const ownersInterval = 5 * time.Second

// counterBadReports counts load reports that were ignored because their figures cannot be true.
const counterBadReports = "bad_load_reports"

// pollState schedules the polls of the backend servers that this instance owns.
type pollState struct {
	owned map[string]*poll
	// nextOwners is the time when the owned servers are determined next.
	nextOwners time.Time
	// reportedAt maps each backend server to the time of its last load report.
	reportedAt map[string]time.Time
}

type poll struct {
	address string
	next    time.Time
}

func (n *Node) pollOwnersChanged() { n.polls.nextOwners = time.Time{} }

// recordBackendReport records that a backend server's load was reported in an answer's headers
// or by a peer, so that it need not be polled.
func (n *Node) recordBackendReport(backend string) {
	if backend != "" {
		n.polls.reportedAt[backend] = n.now
	}
}

// applyAnswerReport applies the report in an answer's headers, if any. A report that peers may not
// know is sent to them: in a large fleet a single instance exchanges requests with a given
// server only once in many seconds, but some instance of its zone does so at any moment.
func (n *Node) applyAnswerReport(report *membership.Report) {
	if report == nil {
		return
	}
	if !report.Valid() {
		n.emit(Counted{Counter: counterBadReports, N: 1})
		return
	}
	n.recordBackendReport(report.Backend)
	n.speed.Reported(report.Backend, report.WorkTime, n.now)
	if n.settings.NoPolls && n.unexpected(*report) {
		n.queueReport(*report)
	}
	n.applyBackendReport(*report)
}

// forwardPollReport sends a poll's report to the peers if they may not know it. It must be called
// before the report is applied.
func (n *Node) forwardPollReport(report membership.Report) {
	if n.polls.owned[report.Backend] == nil {
		return
	}
	n.recordBackendReport(report.Backend)
	if n.unexpected(report) {
		n.queueReport(report)
	}
}

// queueReport queues a report for the connected peers, in a large fleet only for those of this
// instance's zone. Peers do not forward reports, so only one instance of each other zone would
// receive it, which is of little use.
func (n *Node) queueReport(report membership.Report) {
	for name, p := range n.peers.byName {
		if p.connected && (!n.multiHop() || n.inOwnZone(name)) {
			p.pendingReports[report.Backend] = report
		}
	}
}

// unexpected reports whether a report differs from the expected load by more than a tenth, or
// shows that the server is not live.
func (n *Node) unexpected(r membership.Report) bool {
	expected := n.load.Estimate(r.Backend)
	return r.State != membership.Live || math.Abs(float64(r.InFlight)-expected) > max(1, expected/10)
}

// tickPolls polls the owned backend servers that have not reported their load recently.
func (n *Node) tickPolls() {
	if n.settings.NoPolls {
		return
	}
	if !n.now.Before(n.polls.nextOwners) {
		n.polls.nextOwners = n.now.Add(ownersInterval)
		n.assignPolls()
	}
	interval := n.pollInterval()
	for _, backend := range slices.Sorted(maps.Keys(n.polls.owned)) {
		p := n.polls.owned[backend]
		if n.now.Before(p.next) {
			continue
		}
		if lastReport, ok := n.polls.reportedAt[backend]; ok && n.now.Sub(lastReport) < interval {
			p.next = lastReport.Add(n.jitter(interval))
			continue
		}
		p.next = n.now.Add(n.jitter(interval))
		n.emit(PollReport{Backend: backend, Address: p.address})
	}
}

func (n *Node) pollInterval() time.Duration {
	zone := len(n.zoneInstances(n.settings.Zone))
	return max(minPollInterval, time.Duration(math.Sqrt(float64(zone))*float64(time.Second)))
}

// zoneInstances returns the instances of a zone, or all instances if the zone has none.
func (n *Node) zoneInstances(zone string) []string {
	var inZone, all []string
	for _, m := range n.peers.members {
		all = append(all, m.Name)
		if m.Zone == zone {
			inZone = append(inZone, m.Name)
		}
	}
	if len(inZone) == 0 {
		return all
	}
	return inZone
}

// assignPolls determines which backend servers this instance polls. Each server has two owners
// among the instances of its zone.
func (n *Node) assignPolls() {
	previous := n.polls.owned
	n.polls.owned = make(map[string]*poll)
	lastReports := make(map[string]time.Time)
	zoneInstances := make(map[string][]string)
	pause := n.pollInterval()
	for _, service := range slices.Sorted(maps.Keys(n.pools)) {
		for _, c := range n.pools[service].candidates {
			if at, ok := n.polls.reportedAt[c.Name]; ok {
				lastReports[c.Name] = at
			}
			if zoneInstances[c.Zone] == nil {
				zoneInstances[c.Zone] = n.zoneInstances(c.Zone)
			}
			instances := zoneInstances[c.Zone]
			if !slices.Contains(instances, n.settings.Name) ||
				!slices.Contains(rendezvous.Top(c.Hash, instances, pollOwners), n.settings.Name) {
				continue
			}
			// The first poll is at a random point of the interval, so that instances that start
			// together, and both owners of a server, do not poll at the same time.
			delay := time.Duration(n.random.Float64() * float64(pause))
			assigned := &poll{address: c.Address, next: n.now.Add(delay)}
			if existing := previous[c.Name]; existing != nil {
				assigned.next = existing.next
			}
			n.polls.owned[c.Name] = assigned
		}
	}
	// Entries of backend servers that are gone are dropped here.
	n.polls.reportedAt = lastReports
}
