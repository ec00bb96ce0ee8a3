package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
)

// Intervals and limits for reading the platform's instance list.
const (
	// listInterval is the interval of the instances that follow the store.
	listInterval = 2 * time.Second
	// listVerifyInterval is the mean interval of the other instances. They receive changes from
	// peers and read the list only to verify them. Each draws its interval at random from half
	// to one and a half of this value.
	listVerifyInterval = 15 * time.Second
	// listMaxBackoff is the maximum backoff delay after failed reads.
	listMaxBackoff = 8 * time.Second
	// peerContactTimeout is the time after the last message from a peer within which the peer
	// counts as reachable.
	peerContactTimeout = 5 * time.Second
	// peerContactRetention is how long the time of a peer's last message is kept.
	peerContactRetention = time.Hour
	// tombstoneExpiryInterval is the interval between checks for expired tombstones in the
	// membership view.
	tombstoneExpiryInterval = time.Minute
)

// memberState schedules the reads of the platform's instance list and caches data derived from
// the membership view.
type memberState struct {
	// listOp identifies the request in progress, 0 if there is none.
	listOp OpID
	// readAt is the time of the last success.
	readAt time.Time
	// verifyInterval is the interval before the next request if this instance does not follow
	// the store.
	verifyInterval time.Duration
	// failures counts consecutive failed reads. The next attempt is due at retryAt.
	failures int
	retryAt  time.Time
	// expireAt is the time of the next check for expired tombstones.
	expireAt time.Time
	// peerContactAt maps each peer to the time of its last message.
	peerContactAt map[string]time.Time
	// instanceNames caches the sorted names of the live instances. It is nil after a change.
	instanceNames []string
	// lastPeerContactAt is the time of the last message from any peer.
	lastPeerContactAt time.Time
}

func (n *Node) tickMembers() {
	n.tickInstanceList()
	n.refreshShares(n.view.ChangedShares(n.now))
	if !n.now.Before(n.members.expireAt) {
		n.members.expireAt = n.now.Add(tombstoneExpiryInterval)
		n.view.Expire(n.now)
		maps.DeleteFunc(n.members.peerContactAt, func(_ string, at time.Time) bool {
			return n.now.Sub(at) > peerContactRetention
		})
	}
}

func (n *Node) tickInstanceList() {
	s := &n.members
	if s.listOp != 0 || n.now.Before(n.nextListRead()) {
		return
	}
	s.listOp = n.nextOp()
	n.emit(ListInstances{Op: s.listOp})
}

// nextListRead returns the time of the next read of the instance list. It is computed on every
// tick, so that an instance that loses contact with the followers need not wait for the end of
// its long interval.
func (n *Node) nextListRead() time.Time {
	s := &n.members
	switch {
	case s.failures > 0:
		return s.retryAt
	case n.joining() && !s.readAt.IsZero():
		return n.startedAt.Add(joinSettleTime)
	case n.readsListOften():
		return s.readAt.Add(listInterval)
	default:
		return s.readAt.Add(s.verifyInterval)
	}
}

// readsListOften reports whether this instance reads the list at the short interval: either it is
// one of the followers of the store, or it receives no messages from peers and would miss the
// changes that they learn of.
func (n *Node) readsListOften() bool {
	n.liveInstances()
	return n.follow.IsFollower() || n.isolated()
}

// readAttempted reports whether at least one read of the list has completed, successfully or not.
func (s *memberState) readAttempted() bool { return !s.readAt.IsZero() || s.failures > 0 }

func (n *Node) instancesListed(e InstancesListed) {
	s := &n.members
	if e.Op != s.listOp {
		return
	}
	s.listOp = 0
	if e.Failed {
		s.failures++
		s.retryAt = n.now.Add(n.backoffDelay(listInterval, listMaxBackoff, s.failures))
		return
	}
	joining := n.joining()
	s.failures = 0
	s.readAt = n.now
	n.adoptOwnEntry(e)
	s.verifyInterval = n.spreadDelay(listVerifyInterval)
	n.membersChanged(n.view.ApplyList(n.now, e.Members))
	if joining {
		n.skipChangesUpTo(n.view.Seq())
	}
}

// spreadDelay returns a random duration from half to one and a half of d, so that instances that
// started at the same time do not stay synchronized.
func (n *Node) spreadDelay(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

// backoffDelay returns the randomized delay after the given number of consecutive failures. The
// mean doubles with each failure, from first up to limit.
func (n *Node) backoffDelay(first, limit time.Duration, failures int) time.Duration {
	delay := limit
	if failures < 16 {
		delay = min(limit, first<<max(0, failures-1))
	}
	return min(limit, n.spreadDelay(delay))
}

// backendReported handles a backend server's response to a report poll.
func (n *Node) backendReported(e BackendReported) {
	if e.Malformed {
		n.countFaultOf(e.Report.Backend)
	}
	if e.Failed {
		return
	}
	if !e.Report.Valid() {
		n.emit(Counted{Counter: counterBadReports, N: 1})
		return
	}
	n.forwardPollReport(e.Report)
	if n.view.ApplyReport(n.now, e.Report, true) {
		n.membersChanged([]string{e.Report.Backend})
	}
	n.applyLoadReport(e.Report)
}

// applyBackendReport applies the report in a backend server's response or refusal. A server that
// refuses a request because it is draining gets no further requests, even while the platform's
// list still shows it as live or the platform is unreachable.
func (n *Node) applyBackendReport(report membership.Report) {
	if !report.Valid() {
		n.emit(Counted{Counter: counterBadReports, N: 1})
		return
	}
	if n.view.ApplyReport(n.now, report, false) {
		n.membersChanged([]string{report.Backend})
	}
	n.applyLoadReport(report)
}

// recordPeerContact records the time of a message from a peer.
func (n *Node) recordPeerContact(peer string) {
	n.members.peerContactAt[peer] = n.now
	n.members.lastPeerContactAt = n.now
}

// refreshShares updates the shares of requests that returning backend servers get.
func (n *Node) refreshShares(names []string) {
	for _, name := range names {
		if p := n.poolByBackend[name]; p != nil {
			n.updateWithheldShare(&p.candidates[p.index[name]])
		}
	}
}

// mergeFacts merges facts from any source into the membership view.
func (n *Node) mergeFacts(facts ...membership.Fact) {
	var changed []string
	for _, f := range facts {
		if n.view.ApplyFact(n.now, f) {
			changed = append(changed, f.Name)
		}
	}
	n.membersChanged(changed)
}

// mergeMembers merges membership records received from a peer. They can add instances that this
// instance has not seen in the platform's list, but never remove any.
func (n *Node) mergeMembers(list []membership.Member) {
	var changed []string
	for _, member := range list {
		if member.Role == membership.RoleBackend {
			n.observeEntry(&member)
			member.WarmUp = 0
		}
		if n.view.MergeFromPeer(n.now, member) {
			changed = append(changed, member.Name)
		}
	}
	n.membersChanged(changed)
}

// membersChanged updates the data derived from the view after changes to the named instances.
// It rebuilds only the pools that they belong to.
func (n *Node) membersChanged(names []string) {
	if len(names) == 0 {
		return
	}
	n.logMemberStates(names)
	for _, name := range names {
		if member := n.view.Get(name); member == nil || member.Role == membership.RoleInstance {
			n.members.instanceNames = nil
		}
	}
	if n.snapshot != nil {
		n.refreshPools(names)
	}
}

// refreshPools rebuilds the pools of the services of the named backend servers.
func (n *Node) refreshPools(names []string) {
	var services []string
	for _, name := range names {
		service := n.snapshot.ServiceOfBackend(name)
		if member := n.view.Get(name); service == "" && member != nil {
			service = member.Service
		}
		if n.snapshot.Service(service) != nil {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		for _, c := range n.pool(service).candidates {
			delete(n.poolByBackend, c.Name)
		}
		n.rebuildPool(service)
	}
}

// liveInstances returns the sorted names of the live instances, including this one. The owners of
// claim partitions and of report polls are determined from this list, and the followers of the
// store are ranked with it. The caller must not modify it.
func (n *Node) liveInstances() []string {
	s := &n.members
	if s.instanceNames != nil {
		return s.instanceNames
	}
	names := []string{n.settings.Name}
	live := []mesh.Member{{Name: n.settings.Name, Zone: n.settings.Zone}}
	n.view.Each(func(member *membership.Member) {
		if member.Role != membership.RoleInstance || member.State != membership.Live || member.Name == n.settings.Name {
			return
		}
		names = append(names, member.Name)
		live = append(live, mesh.Member{Name: member.Name, Zone: member.Zone})
	})
	slices.Sort(names)
	s.instanceNames = names
	n.follow.SetRank(mesh.FollowRank(n.settings.Name, live))
	n.resizeBudgets()
	return names
}
