package core

import (
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/bytebudget"
	"github.com/ebonydyke/ebonydyke/internal/core/freshness"
	"github.com/ebonydyke/ebonydyke/internal/core/loadsum"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/mesh"
	"github.com/ebonydyke/ebonydyke/internal/core/outlier"
	"github.com/ebonydyke/ebonydyke/internal/core/pacing"
	"github.com/ebonydyke/ebonydyke/internal/core/peerclock"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/warmup"
)

// Intervals and timeouts of the communication between instances.
const (
	// meshDigestInterval is the interval between digests with changed loads in a full mesh. It
	// grows up to meshMaxDigestInterval when the byte budget is short.
	meshDigestInterval, meshMaxDigestInterval = 500 * time.Millisecond, time.Second
	// rowDigestInterval and rowMaxDigestInterval are the same interval where loads are
	// aggregated on the way. The mean is longer there, so that counts age better.
	rowDigestInterval, rowMaxDigestInterval = time.Second, 2 * time.Second
	// sessionDigestInterval is the minimum interval where sessions are served. Their requests go to
	// engines of all zones, which fill up within a second, while a load takes four hops to
	// reach all instances.
	sessionDigestInterval = 250 * time.Millisecond
	// memberRecordInterval is the interval at which the instances of a large fleet send each other
	// the records of new members. Most peers have read them in the platform's list by then.
	memberRecordInterval = 3 * time.Second
	// outsideDigestInterval is the interval between digests to a peer outside the layout.
	outsideDigestInterval = 10 * time.Second
	// onDemandLinkTimeout is how long a link to a peer outside the layout is kept after its
	// last use.
	onDemandLinkTimeout = time.Minute
	// heartbeatInterval is the maximum interval between digests to a peer.
	heartbeatInterval = 2 * time.Second
	// peerSilenceTimeout is the silence after which other instances take over a peer's duties: two
	// missed heartbeats.
	peerSilenceTimeout = 5 * time.Second
	// peerLoadsTimeout is the silence after which a peer's loads are dropped. By then the instance
	// that took over its sums has sent its first digests, and requests still in progress show
	// up in the backend servers' own reports.
	peerLoadsTimeout = 12 * time.Second
	// layoutHandoverPeriod is how long loads received under the previous layout still count
	// after a layout change. For some seconds instances compute their layouts from different
	// lists, and the new aggregator of a shard needs up to four rounds to collect its sums.
	// During that time the shard's servers must not look idle, or all instances would send
	// requests to them. Some loads are counted twice meanwhile. Their servers then get too few
	// requests, which is the lesser harm.
	layoutHandoverPeriod = 6 * time.Second
	// fullDigestInterval is the mean interval between full digests to a peer.
	fullDigestInterval = time.Minute
	// layoutCheckInterval is the interval at which the layout is checked against the list of
	// instances.
	layoutCheckInterval = 500 * time.Millisecond
	// configRequestDelay is the delay before the same generation is requested again. It doubles
	// with each request.
	configRequestDelay = time.Second
)

// Limits on the data queued for a peer.
const (
	// maxDigestFacts is the maximum number of membership changes in a digest.
	maxDigestFacts = 32
	// maxFactAge is the age from which membership changes are no longer sent to a peer that
	// connects. The platform's list lags by less.
	maxFactAge = 2 * time.Minute
	// changeMarkInterval is the interval at which the view's sequence number is recorded.
	changeMarkInterval = 10 * time.Second
	// maxPendingAnswers is the maximum number of backend servers whose answer counts are queued
	// for a peer.
	maxPendingAnswers = 8192
)

// peersState is the state that an instance keeps about its peers.
type peersState struct {
	layout     *mesh.Layout
	members    []mesh.Member
	nextLayout time.Time
	// membersSeq is the view's sequence number when members was read.
	membersSeq uint64
	// layoutChangedAt is the time of the last layout change.
	layoutChangedAt time.Time
	surge           pacing.Surge
	// sums aggregates the loads according to the layout, and round holds the current ones while digests are sent.
	sums  *loadsum.Exchange
	round *loadsum.Round
	// bridges are the instances of other zones that exchange facts with this one, in addition
	// to loads.
	bridges []string
	// crossZoneLoads is set while requests may go to backend servers of all zones, as those of
	// sessions do. Zones then exchange their loads. Chats stay in their zone.
	crossZoneLoads bool
	linked         []PeerAddress
	// inLayout holds the peers in the layout.
	inLayout map[string]bool
	// onDemand maps peers outside the layout, which are linked on demand, to the time until which
	// their links are kept.
	onDemand map[string]time.Time
	// dialAtOnce holds those of them that this instance dials without waiting for the peer to do so.
	dialAtOnce map[string]bool
	byName     map[string]*peerState
	// names caches the sorted keys of byName. It is nil after a change.
	names []string
	// byteBudget limits the bytes sent to peers.
	byteBudget bytebudget.Budget
	// configRequests paces the requests for a newer configuration.
	configRequests pacing.Requests
	// entryRequests paces the requests for missing entries.
	entryRequests pacing.Requests
	// marks are the view's sequence numbers at recent times. A peer that connects is sent the
	// changes after the oldest one.
	marks []changeMark
	// initialSeq is the view's sequence number after the first reads of the platform's list.
	// Earlier changes are not sent to a peer that connects.
	initialSeq uint64
	// The next five fields hold the state at the last check for urgent updates.
	checkedGeneration   uint64
	checkedEvacuations  uint64
	checkedLeaving      bool
	checkedSeq          uint64
	checkedEntryChanges int
}

func newPeersState() peersState {
	return peersState{
		configRequests: pacing.NewRequests(configRequestDelay), entryRequests: pacing.NewRequests(entriesRequestDelay),
		byName: make(map[string]*peerState), inLayout: make(map[string]bool), onDemand: make(map[string]time.Time),
		dialAtOnce: make(map[string]bool),
	}
}

// peerState is the state of one peer.
type peerState struct {
	name      string
	connected bool
	// addedAt is the time when the peer was first added.
	addedAt time.Time

	// State received from the peer.
	incarnation uint64
	// clock is the offset of the peer's clock, and knowledge what its last digest proves of the
	// store.
	clock      peerclock.Offset
	knowledge  freshness.Proof
	lastSeq    uint64
	receivedAt time.Time
	received   loadsum.Loads
	leaving    bool
	// hearsNotAll is set while some of the peer's own peers are silent for it.
	hearsNotAll bool
	// wantFull is set while the peer is to be asked for a full digest.
	wantFull bool
	// loadsDropped is set once the peer's loads were dropped, until its next digest.
	loadsDropped bool

	// evacuations is which evacuations the peer and this instance have stated to each other.
	evacuations peerEvacuations

	// State sent to the peer.
	seq          uint64
	sent         loadsum.Loads
	digestSentAt time.Time
	// lastSentAt is the time of the last message of any kind.
	lastSentAt    time.Time
	digestDue     time.Time
	fullDigestDue time.Time
	// fullPending is set if the next digest must be full.
	fullPending bool
	// membersPending is set if the next digest must contain all members.
	membersPending bool
	sentGeneration uint64
	sentLeaving    bool
	// sentHearsNotAll is the HearsNotAll of the last digest.
	sentHearsNotAll bool
	// sentFactsSeq is the view's sequence number up to which the peer was sent the instances that
	// are leaving or gone.
	sentFactsSeq uint64
	// sentMembersSeq is the view's sequence number up to which the peer was sent new instances.
	sentMembersSeq uint64
	// membersDue is the earliest time to send the peer more new instances.
	membersDue      time.Time
	sentEntriesUpTo uint64
	// receivedMembers holds the incarnations of the instances whose records the peer has sent since
	// this instance last sent it new ones.
	receivedMembers map[string]uint64
	// sentAsOf is the time up to which this instance has proven its knowledge to the peer.
	sentAsOf       time.Time
	pendingReports map[string]membership.Report
	pendingAnswers map[string]outlier.Count
	// pendingPoison are the requests whose poison records the peer is to be sent.
	pendingPoison map[poison.Key]bool
	// poisonDue is the earliest time of the next digest with such records.
	poisonDue time.Time
	// pendingRestarts are the servers whose ends the peer is to be told, with the times of the signs.
	pendingRestarts warmup.Restarts
}

// setIncarnation records the incarnation of the peer's process. A newer process has another clock,
// and must prove anew what it knows of the store.
func (p *peerState) setIncarnation(incarnation uint64) {
	if incarnation <= p.incarnation {
		return
	}
	p.incarnation, p.clock, p.knowledge = incarnation, peerclock.Offset{}, freshness.Proof{}
	p.evacuations = peerEvacuations{}
}

func (n *Node) peer(name string) *peerState {
	p := n.peers.byName[name]
	if p == nil {
		p = &peerState{
			name: name, addedAt: n.now, receivedAt: n.now,
			received: loadsum.NewLoads(), sent: loadsum.NewLoads(), pendingReports: make(map[string]membership.Report),
			pendingAnswers: make(map[string]outlier.Count), receivedMembers: make(map[string]uint64),
			pendingPoison: make(map[poison.Key]bool),
		}
		n.peers.byName[name] = p
		n.peers.names = nil
	}
	return p
}

// peerNames returns the sorted names of the known peers, the order in which they are served.
// The caller must not modify the list.
func (n *Node) peerNames() []string {
	if n.peers.names == nil {
		n.peers.names = slices.Sorted(maps.Keys(n.peers.byName))
	}
	return n.peers.names
}

// peerConnected resets the state sent to a peer. Digests sent over an earlier link may be lost,
// so the first one is full.
func (n *Node) peerConnected(e PeerConnected) {
	n.emit(StateChanged{Subject: SubjectLink, Name: e.Peer, State: "up", Incarnation: e.Incarnation})
	n.updatePeerIncarnation(e)
	p := n.peer(e.Peer)
	p.connected = true
	n.streamPeerConnected(e)
	n.permitPeerConnected(e)
	p.setIncarnation(e.Incarnation)
	p.lastSeq = 0
	p.receivedAt = n.now
	p.leaving, p.hearsNotAll = false, false
	p.sent = loadsum.NewLoads()
	p.sentGeneration, p.sentLeaving, p.sentEntriesUpTo = 0, false, 0
	p.sentAsOf = time.Time{}
	p.evacuations.sent = 0
	p.fullPending = true
	p.digestDue = n.now
	p.sentFactsSeq = n.knownSeqOnConnect()
	p.sentMembersSeq = p.sentFactsSeq
	n.queueAllPoison(p)
	n.queueRestarts(p)
	if n.multiHop() {
		p.membersDue = n.now.Add(n.jitter(memberRecordInterval))
	}
	n.retryLinkUp(e.Peer)
}

// updatePeerIncarnation updates the view when the connected process is newer than the known
// incarnation. An instance that had left is live again, even if its entry in the store is still
// the earlier process's.
func (n *Node) updatePeerIncarnation(e PeerConnected) {
	member := n.view.Get(e.Peer)
	if member == nil || member.Role != membership.RoleInstance || member.Incarnation >= e.Incarnation {
		return
	}
	if member.State == membership.Live {
		n.view.UpdateIncarnation(e.Peer, e.Incarnation)
		return
	}
	started := *member
	started.Incarnation, started.State = e.Incarnation, membership.Live
	n.mergeMembers([]membership.Member{started})
}

// peerLost marks a peer as disconnected. The peer may be alive behind a network partition, so
// its loads age like those of any silent peer and it is not declared dead.
func (n *Node) peerLost(e PeerLost) {
	n.emit(StateChanged{Subject: SubjectLink, Name: e.Peer, State: "down"})
	if p := n.peers.byName[e.Peer]; p != nil {
		p.connected = false
	}
	n.linkLost(e.Peer)
}

// peerReceived dispatches a message from a peer to its handler.
func (n *Node) peerReceived(e PeerReceived) {
	m := e.Message
	if m.Digest != nil {
		n.applyDigest(e.From, m.Digest)
	}
	switch {
	case m.ConfigOffer != nil:
		n.offerConfig(*m.ConfigOffer, ConfigSource(e.From))
	case m.ConfigWanted != nil:
		n.sendConfig(e.From, m.ConfigWanted)
	case m.EntriesOffer != nil:
		n.applyEntriesOffer(m.EntriesOffer)
	case m.EntriesWanted != nil:
		n.sendEntries(e.From, m.EntriesWanted)
	case m.Claim != nil:
		n.peerClaim(e.From, *m.Claim)
	case m.ClaimReply != nil:
		n.peerClaimReply(e.From, *m.ClaimReply)
	case m.Slot != nil:
		n.peerSlot(e.From, m.Slot)
	case m.Retry != nil:
		n.peerRetry(e.From, m.Retry)
	case m.Permit != nil:
		n.peerPermit(e.From, m.Permit)
	case m.StreamOffer != nil:
		n.peerStreamOffer(m.StreamOffer)
	case m.StreamQuestion != nil:
		n.peerStreamQuestion(e.From, m.StreamQuestion)
	case m.StreamAnswer != nil:
		n.peerStreamAnswer(e.From, m.StreamAnswer)
	}
}

// peerSilent reports whether a peer has sent nothing for so long that others take over its sums.
func (n *Node) peerSilent(name string) bool {
	if name == n.settings.Name || !n.inLayout(name) {
		return false
	}
	p := n.peers.byName[name]
	return p != nil && n.now.Sub(p.receivedAt) > peerSilenceTimeout
}

// peerConnectedTo reports whether a message to the peer can be sent now.
func (n *Node) peerConnectedTo(name string) bool {
	p := n.peers.byName[name]
	return p != nil && p.connected
}

// tickPeers sends the digests and polls that are due.
func (n *Node) tickPeers() {
	if !n.now.Before(n.peers.nextLayout) {
		n.peers.nextLayout = n.now.Add(layoutCheckInterval)
		n.refreshLayout()
		n.dropSilentPeers()
		n.markChanges()
	}
	n.announceUrgentChanges()
	n.announceSurge()
	for _, name := range n.peerNames() {
		p := n.peers.byName[name]
		if !p.connected || n.now.Before(p.digestDue) && !n.needsProof(p) {
			continue
		}
		p.digestDue = n.now.Add(n.jitter(n.digestIntervalFor(name)))
		if idle := n.now.Sub(p.lastSentAt); n.outsideLayout(name) && idle < outsideDigestInterval {
			p.digestDue = p.lastSentAt.Add(outsideDigestInterval)
			continue
		}
		n.sendDigest(p)
		if len(p.pendingPoison) > 0 {
			p.advancePoison(n.now)
		}
	}
	n.peers.round = nil
	n.tickPolls()
}

// digestIntervalFor returns the interval between digests to a peer. A peer outside the layout,
// whose link is kept for claims, gets no loads, only digests frequent enough that the idle link
// is not considered dead.
func (n *Node) digestIntervalFor(name string) time.Duration {
	if n.outsideLayout(name) {
		return outsideDigestInterval
	}
	return n.digestInterval()
}

// digestInterval returns the interval between digests to a peer in the layout, as short as the byte
// budget allows. For an instance that follows the store it does not exceed the interval that
// the peers in its layout expect, so that its loss is detected quickly.
func (n *Node) digestInterval() time.Duration {
	shortest, longest := meshDigestInterval, meshMaxDigestInterval
	switch {
	case n.multiHop() && n.peers.crossZoneLoads:
		shortest, longest = sessionDigestInterval, rowMaxDigestInterval
	case n.multiHop():
		shortest, longest = rowDigestInterval, rowMaxDigestInterval
	}
	round := n.peers.byteBudget.RoundInterval(n.now, shortest, longest)
	if n.sendsFollowerDigests() {
		return min(round, n.followerDigestInterval())
	}
	return round
}

// jitter returns d changed at random by up to a tenth, so that instances started together do
// not send at the same time.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d + time.Duration((n.random.Float64()-0.5)*0.2*float64(d))
}

// dropSilentPeers drops the loads of peers that have been silent for long. It drops all state of a
// silent peer if no link to it is up or wanted.
func (n *Node) dropSilentPeers() {
	for _, name := range n.peerNames() {
		p := n.peers.byName[name]
		unlinked := !p.connected && !n.wantsLink(name)
		limit := peerLoadsTimeout
		if unlinked {
			limit = layoutHandoverPeriod
		}
		if n.now.Sub(p.receivedAt) <= limit {
			continue
		}
		if !p.loadsDropped {
			n.dropLoads(p)
		}
		if unlinked {
			delete(n.peers.byName, name)
			n.peers.names = nil
		}
	}
}

func (n *Node) dropLoads(p *peerState) {
	p.received = loadsum.NewLoads()
	p.loadsDropped = true
	// The peer's next digest may be incremental, so a full one is requested.
	p.wantFull = true
	n.forgetPeerLoads(p.name)
}
