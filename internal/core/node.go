// Package core makes every decision of an instance: backend server selection,
// admission, retries, idempotency claims, membership, load, drain and configuration.
//
// It is a deterministic state machine. Handle takes the current time and an event
// and returns the effects that the daemon must carry out. The package starts no
// goroutines, reads no clock, socket or file, and uses no global random source, so
// replaying a recorded list of events produces the same effects.
package core

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
	"github.com/ebonydyke/ebonydyke/internal/core/freshness"
	"github.com/ebonydyke/ebonydyke/internal/core/headroom"
	"github.com/ebonydyke/ebonydyke/internal/core/hintshare"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/loadsum"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/outlier"
	"github.com/ebonydyke/ebonydyke/internal/core/overloadstats"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/prefix"
	"github.com/ebonydyke/ebonydyke/internal/core/quarantine"
	"github.com/ebonydyke/ebonydyke/internal/core/reach"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/separation"
	"github.com/ebonydyke/ebonydyke/internal/core/speed"
	"github.com/ebonydyke/ebonydyke/internal/core/startqueue"
	"github.com/ebonydyke/ebonydyke/internal/core/timerqueue"
)

// TickInterval is the interval between Ticked events from the daemon.
const TickInterval = 50 * time.Millisecond

// Settings are the startup parameters of an instance.
type Settings struct {
	// Name identifies the instance in the fleet.
	Name string `json:"name"`
	// Zone is the instance's availability zone.
	Zone string `json:"zone"`
	// Region is the region of the zone, unless Zones names another one, and Zones maps zones to their regions.
	Region string            `json:"region,omitempty"`
	Zones  map[string]string `json:"zones,omitempty"`
	// PeerAddress is the address on which the instance accepts peer connections.
	PeerAddress string `json:"peer_address"`
	// Incarnation increases with each start under the same name.
	Incarnation uint64 `json:"incarnation"`
	// Seed seeds the node's random source.
	Seed uint64 `json:"seed"`
	// ConfigReadOnly prevents the instance from writing the configuration back to a
	// store that lost it. It is set where only operators may write the configuration.
	ConfigReadOnly bool `json:"config_read_only,omitempty"`
	// NoPolls disables polling of backend servers for load reports. It is set where
	// responses already carry the load and a poll costs as much as a request.
	NoPolls bool `json:"no_polls,omitempty"`
	// ChangeBound is the time after the store acknowledged a change from which no instance that
	// reaches the store may act on the state before it. 0 means defaultChangeBound.
	ChangeBound time.Duration `json:"change_bound,omitempty"`
	// StoreSettle is the time after a failure of the store, or of the way to it, from which
	// ChangeBound holds again. It exceeds ChangeBound. 0 means defaultStoreSettle.
	StoreSettle time.Duration `json:"store_settle,omitempty"`
	// AcceptDelay is how long a stopping instance keeps accepting connections, so that
	// the load balancer has time to detect that it is not ready.
	AcceptDelay time.Duration `json:"accept_delay"`
	// StopGrace is the time from the stop request until the process is killed; 0 means
	// that it is not killed.
	StopGrace time.Duration `json:"stop_grace,omitempty"`
	// DialTimeout is the time in which the proxy opens a connection to a backend server, or fails.
	DialTimeout time.Duration `json:"dial_timeout,omitempty"`
}

// Defaults of the settings with the same names.
const (
	defaultChangeBound = 4 * time.Second
	defaultStoreSettle = 5 * time.Second
)

// Node is the state of one instance. It is not safe for concurrent use.
type Node struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	// startedAt is the time of the first event handled.
	startedAt time.Time
	effects   []Effect
	lastOp    OpID

	snapshot      *config.Snapshot
	view          *membership.View
	load          *load.Tracker
	pools         map[string]*pool
	poolByBackend map[string]*pool
	reach         *reach.Tracker
	paths         pathsState
	hints         hintshare.Shares
	prefixes      *prefix.Index
	outliers      outlierState
	speed         *speed.Tracker
	quarantine    *quarantine.Tracker
	headroom      *headroom.Tracker
	admission     admissionState
	poison        poisonState
	streams       streamState
	slots         slotState
	retryLoans    *retry.Borrowing[borrowedRetry]
	regions       regionState
	cold          coldState
	requests      map[RequestID]*request
	// waitsRecordedAt is the time at which the requests that wait were last recorded.
	waitsRecordedAt time.Time
	// startQueue holds the requests that arrived before this instance could serve them.
	startQueue startqueue.Queue[RequestArrived]
	timers     timerqueue.Queue[requestAction]
	configs    configState
	// configCopies is the copy of the accepted configuration in the store.
	configCopies configCopies
	members      memberState
	backends     backendsState
	follow       *freshness.Tracker
	// evacuations holds the zones whose backend servers get no new requests.
	evacuations evacuationState
	// registration is the state of this instance's own entry in the store.
	registration registrationState
	claims       claimTracker
	lifecycle    lifecycleState
	observed     observations
	// overload counts admitted and refused requests for operators.
	overload *overloadstats.Stats
	peers    peersState
	polls    pollState
	// separation tells zones from which this instance is cut off.
	separation *separation.Tracker
	// doubtfulEnds holds the failures of servers that may be cut off, by server.
	doubtfulEnds map[string]doubtfulEnd
}

// New returns a node without a configuration, peers or backend servers.
func New(s Settings) *Node {
	s.ChangeBound = cmp.Or(s.ChangeBound, defaultChangeBound)
	s.StoreSettle = cmp.Or(s.StoreSettle, defaultStoreSettle)
	n := &Node{
		settings:      s,
		random:        rand.New(rand.NewPCG(s.Seed, s.Incarnation)),
		view:          membership.NewView(),
		load:          load.NewTracker(),
		pools:         make(map[string]*pool),
		poolByBackend: make(map[string]*pool),
		reach:         reach.New(),
		paths:         pathsState{tracker: paths.New()},
		hints:         make(hintshare.Shares),
		prefixes:      prefix.New(),
		quarantine:    quarantine.New(),
		headroom:      headroom.New(),
		outliers:      outlierState{tracker: outlier.New()},
		speed:         speed.New(),
		admission:     newAdmissionState(),
		poison:        newPoisonState(),
		streams:       newStreamState(&s),
		slots:         newSlotState(s.Incarnation),
		retryLoans:    retry.NewBorrowing[borrowedRetry](s.Incarnation),
		regions:       newRegionState(&s),
		cold:          newColdState(s.Incarnation),
		requests:      make(map[RequestID]*request),
		claims:        newClaimTracker(),
		members:       memberState{peerContactAt: make(map[string]time.Time)},
		backends:      newBackendsState(),
		follow:        freshness.New(freshness.Limits{ChangeBound: s.ChangeBound, StoreSettle: s.StoreSettle, MaxRetryDelay: maxRetryDelay}),
		evacuations:   evacuationState{set: evacuation.New()},
		peers:         newPeersState(),
		overload:      overloadstats.New(),
		separation:    separation.New(),
		doubtfulEnds:  make(map[string]doubtfulEnd),
		polls:         pollState{reportedAt: make(map[string]time.Time)},
	}
	n.peers.sums = loadsum.New(s.Name, n.load.EachOwn, func(peer string) loadsum.Loads { return n.peer(peer).received })
	return n
}

// Handle processes one event at time now and returns the effects that the daemon must
// carry out, in order. The slice is valid until the next call.
func (n *Node) Handle(now time.Time, event Event) []Effect {
	if now.After(n.now) {
		n.now = now
	}
	if n.startedAt.IsZero() {
		n.startedAt = n.now
	}
	n.effects = n.effects[:0]
	n.observe(event)
	n.dispatch(event)
	n.releaseStartWaiters()
	return n.effects
}

func (n *Node) dispatch(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		n.requestArrived(e)
	case AttemptEnded:
		n.attemptEnded(e)
	case AttemptSilent:
		n.attemptSilent(e)
	case AnswerStarted:
		n.answerStarted(e)
	case BackendDialed:
		n.backendDialed(e)
	case CallerGone:
		n.callerGone(e)
	case BackendReported:
		n.backendReported(e)
	case ConfigOffered:
		n.offerConfig(ConfigOffer(e), SourceSettings)
	case PeerConnected:
		n.peerConnected(e)
	case PeerLost:
		n.peerLost(e)
	case PeerReceived:
		n.recordPeerContact(e.From)
		n.peerReceived(e)
	case StopGraceSet:
		n.settings.StopGrace = e.Grace
	case StopRequested:
		n.stopRequested()
	case Ticked:
		n.ticked()
	default:
		n.dispatchStoreReply(event)
	}
}

// dispatchStoreReply handles the event if it is the result of a call to the store.
func (n *Node) dispatchStoreReply(event Event) {
	switch e := event.(type) {
	case InstancesListed:
		n.instancesListed(e)
	case BackendsRead:
		n.backendsRead(e)
	case LeaseReplied:
		n.leaseReplied(e)
		n.poisonStored(e)
		n.streamsStored(e)
	case StreamsListed:
		n.streamsListed(e)
	case StoreReplied:
		n.storeReplied(e)
	}
}

func (n *Node) emit(e Effect) {
	switch e := e.(type) {
	case SendPeer:
		if !e.Message.isReply() {
			n.peers.byteBudget.Spend(n.now, e.Message.WireEstimate(), e.Message.Digest.loadsEstimate())
		}
		if p := n.peers.byName[e.To]; p != nil {
			p.lastSentAt = n.now
		}
		if e.Message.Digest == nil {
			n.requestLink(e.To)
		}
	case PollReport:
		n.peers.byteBudget.Spend(n.now, sizePoll, sizePoll)
	}
	n.effects = append(n.effects, e)
}

func (n *Node) nextOp() OpID {
	n.lastOp++
	return n.lastOp
}

// ticked runs the periodic work of each part of the node.
func (n *Node) ticked() {
	n.tickTimers()
	n.tickFollow()
	n.tickConfig()
	n.tickConfigCopy()
	n.tickMembers()
	n.tickPlacement()
	n.tickEvacuations()
	n.tickSeparation()
	n.tickPaths()
	n.tickOutliers()
	n.quarantine.Keep(n.now, func(name string) bool { return n.poolByBackend[name] != nil })
	n.headroom.Expire(n.now)
	n.tickShedding()
	n.tickAdmission()
	n.tickPoison()
	n.tickStreams()
	n.tickSlots()
	n.tickWaits()
	n.tickOverload()
	n.retryLoans.Expire(borrowedRetry.ended, n.now)
	n.tickCold()
	n.tickRetryParts()
	n.tickPeers()
	n.tickClaims()
	n.tickLifecycle()
	n.tickBackends()
	n.tickRegistration()
}
