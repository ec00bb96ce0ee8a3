package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// Effect is an action that the core asks the daemon to carry out.
type Effect interface {
	// EffectName returns the effect's name in session files.
	EffectName() string
}

// SendAttempt sends a request to a backend server. AttemptEnded reports its end.
type SendAttempt struct {
	Request RequestID `json:"request"`
	Attempt int       `json:"attempt"`
	Backend string    `json:"backend"`
	Address string    `json:"address"`
	// Zone is the backend server's availability zone.
	Zone string `json:"zone,omitempty"`
	// Version is the version of the backend server's software, "" if it is unknown.
	Version string `json:"version,omitempty"`
	// Continues is the caller's ID of the request that began the stream, if the caller continues one.
	Continues string `json:"continues,omitempty"`
	// ContinuationBasis is what the version rests on at which the stream goes on, for logging.
	ContinuationBasis streams.Basis `json:"continuation_basis,omitempty"`
	// Customer is the customer that the request belongs to.
	Customer string `json:"customer,omitempty"`
	// Content identifies the customer's requests with the same content, for logging.
	Content uint64 `json:"content,omitempty"`
	// Priority is the request's priority; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// TakesPriority is set if the request has a priority and the backend server is an engine, which admits more urgent requests first.
	TakesPriority bool `json:"takes_priority,omitempty"`
	// Process is set if the request must reach a certain process of the backend server.
	Process *ProcessCheck `json:"process,omitempty"`
	// Dial says over which paths the attempt connects.
	Dial DialPlan `json:"dial,omitzero"`
	// Source is the address of an engine from which this engine can copy the cached
	// parts of the prompt, empty if it need not copy any.
	Source string `json:"source,omitempty"`
	// FirstByteTimeout is the time without a byte of the response after which AttemptSilent is due. It is set if a
	// hedge may follow; 0 means that there is none.
	FirstByteTimeout time.Duration `json:"first_within,omitempty"`
	// StallTimeout is that time between later bytes, under the same condition.
	StallTimeout time.Duration `json:"stall,omitempty"`
	// Hedge is set if the attempt is to run beside the attempts in progress. The first of them that delivers more of the
	// response wins, and the others are cancelled.
	Hedge bool `json:"hedge,omitempty"`
	// AtMostOnce is set if the request must not run more than once.
	AtMostOnce bool `json:"once,omitempty"`
	// Deadline is when the daemon aborts the attempt.
	Deadline time.Time `json:"deadline"`
	// ResumeAfter is the ID of the event after which to resume a broken stream.
	ResumeAfter string `json:"resume_after,omitempty"`
	// Placement is the placement hint to return to the caller for the chat's next turn.
	Placement string `json:"placement,omitempty"`
	// RetryReason is the reason for the retry, empty on the first attempt.
	RetryReason reason.Reason `json:"why,omitempty"`
	// Selection records the inputs of the backend server selection.
	Selection SelectionInputs `json:"basis,omitzero"`
}

// ProcessCheck says which process of a backend server an attempt must reach.
type ProcessCheck struct {
	Incarnation uint64 `json:"incarnation"`
	// KnownAsOf is the time up to which no later process can have started under the server's name. A
	// connection that was opened before leads to this one.
	KnownAsOf time.Time `json:"known_as_of,omitzero"`
}

// SelectionInputs records the inputs of a backend server selection, for logging.
type SelectionInputs struct {
	// Generation is the generation of the configuration.
	Generation uint64 `json:"generation,omitempty"`
	// Revision is the store's revision of the backend server's entry.
	Revision uint64 `json:"revision,omitempty"`
	// Session is the chat ID that determines the request's ranking of backend servers.
	Session string `json:"session,omitempty"`
	// Load is the estimated number of the backend server's requests in flight, and Mean
	// the mean over the servers that share the load. Limit is the load up to which the
	// request prefers the first server of its ranking; 0 means no limit.
	Load  float64 `json:"load,omitempty"`
	Mean  float64 `json:"mean,omitempty"`
	Limit float64 `json:"limit,omitempty"`
	// Parts are the components of the load estimate.
	Parts load.Parts `json:"parts,omitzero"`
	// ReportAge is the age of the backend server's last load report; negative if there
	// is none.
	ReportAge time.Duration `json:"report_age,omitempty"`
	// Waited is how long the request was queued while this instance started.
	Waited time.Duration `json:"waited,omitempty"`
	// PermitIssuer is the instance that permitted the request to a server that warms up, "" if it needed no permit.
	PermitIssuer string `json:"permit_issuer,omitempty"`
}

// WithdrawAttempt stops an attempt of which no byte has been sent, and has no effect on any other. AttemptEnded reports its end.
type WithdrawAttempt struct {
	Request RequestID `json:"request"`
	Attempt int       `json:"attempt"`
}

// CancelAttempt stops an attempt whose response is no longer needed.
type CancelAttempt struct {
	Request RequestID `json:"request"`
	Attempt int       `json:"attempt"`
}

// Finish ends a request without a complete response from a backend server. It sends the
// caller an error response, or ends the stream with an error if the response has begun.
type Finish struct {
	Request  RequestID `json:"request"`
	Customer string    `json:"customer,omitempty"`
	// Content identifies the customer's requests with the same content, for logging.
	Content uint64 `json:"content,omitempty"`
	// Continues is the caller's ID of the request that began the stream, if the caller continues one.
	Continues  string         `json:"continues,omitempty"`
	Service    string         `json:"service,omitempty"`
	Backend    string         `json:"backend,omitempty"`
	Attempt    int            `json:"attempt,omitempty"`
	Outcome    reason.Outcome `json:"outcome"`
	Reason     reason.Reason  `json:"reason,omitempty"`
	RetryAfter time.Duration  `json:"retry_after,omitempty"`
	// First identifies the original request if the outcome is a duplicate.
	First string `json:"first,omitempty"`
	// Generation is that of the configuration in force when the request was refused, 0 if
	// there was none or the refusal does not depend on it.
	Generation uint64 `json:"generation,omitempty"`
	// Utilization is the utilization of the service if the request was refused for lack of
	// capacity.
	Utilization Utilization `json:"fill,omitzero"`
	// ForwardFailure is set if the caller gets the failure response of a backend server.
	ForwardFailure bool `json:"pass_on,omitempty"`
	// Waiting is what the request waited for when its caller left, its deadline passed or the process was about to end;
	// empty if it was at a backend server.
	Waiting WaitPhase `json:"waiting,omitempty"`
	// Queued is how long the request had waited for the core before its first decision.
	Queued time.Duration `json:"queued,omitempty"`
}

// WaitPhase is what a request waits for while it is not at a backend server, for logging.
type WaitPhase string

// The phases.
const (
	WaitsForStart  WaitPhase = "start"
	WaitsForLookup WaitPhase = "stream-lookup"
	WaitsForClaim  WaitPhase = "claim"
	WaitsForSlot   WaitPhase = "slot"
	WaitsForPermit WaitPhase = "permit"
	// WaitsForRetry is the pause between two attempts.
	WaitsForRetry WaitPhase = "retry"
)

// Utilization is an instance's estimate of a service's utilization, for logging.
type Utilization struct {
	// Load is the number of requests in flight on the service's backend servers, and
	// Capacity the maximum number.
	Load     float64 `json:"load"`
	Capacity float64 `json:"capacity"`
	// Servers is the number of reachable backend servers.
	Servers int `json:"servers"`
}

// StoreGet reads a key from the platform's store. If it is ConfigKey, all evacuations are read with it.
type StoreGet struct {
	Op  OpID   `json:"op"`
	Key string `json:"key"`
	// Timeout is the time limit of the call; 0 means the daemon's default.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// StoreSwap writes a key if its version equals Version (compare-and-swap); 0 creates
// the key.
type StoreSwap struct {
	Op      OpID   `json:"op"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// StoreWatch waits until a key's version differs from Version, or an evacuation changes.
type StoreWatch struct {
	Op      OpID   `json:"op"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// After is the store's revision up to which the key and the evacuations are known. If it is 0, they are read at once.
	After uint64 `json:"after,omitempty"`
	// Hold is how long the store waits for a change. Timeout is the time limit of the call.
	Hold    time.Duration `json:"hold"`
	Timeout time.Duration `json:"timeout"`
}

// ListBackends reads the page of backend servers' entries that follows the key After.
// BackendsRead reports the result.
type ListBackends struct {
	Op    OpID   `json:"op"`
	After string `json:"after,omitempty"`
	// Timeout is the time limit of the call.
	Timeout time.Duration `json:"timeout"`
}

// WatchBackends waits for a change of the backend servers' entries after a revision.
// BackendsRead reports the result.
type WatchBackends struct {
	Op    OpID   `json:"op"`
	After uint64 `json:"after"`
	// Hold is how long the store waits for a change. Timeout is the time limit of the call.
	Hold    time.Duration `json:"hold"`
	Timeout time.Duration `json:"timeout"`
}

// Register writes this instance's own entry under a lease and acquires the lease first
// if there is none. LeaseReplied reports the result.
type Register struct {
	Op       OpID              `json:"op"`
	Lease    uint64            `json:"lease,omitempty"`
	TTL      time.Duration     `json:"ttl"`
	Instance membership.Member `json:"instance"`
}

// RenewLease renews the lease of this instance's entry. LeaseReplied reports the result.
type RenewLease struct {
	Op    OpID   `json:"op"`
	Lease uint64 `json:"lease"`
}

// ListInstances reads the entries of all instances. InstancesListed reports the result.
type ListInstances struct {
	Op OpID `json:"op"`
}

// PollReport requests a backend server's load report. BackendReported reports the result.
type PollReport struct {
	Backend string `json:"backend"`
	Address string `json:"address"`
}

// SetPeers replaces the set of instances to which links are kept.
type SetPeers struct {
	Peers []PeerAddress `json:"peers"`
}

// PeerAddress is the name and the listen address of a peer.
type PeerAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// DialAtOnce is set if the link is needed now: it is dialled even if the peer would usually do so.
	DialAtOnce bool `json:"dial_at_once,omitempty"`
}

// SendPeer sends a message to another instance. Delivery is at most once and unordered.
type SendPeer struct {
	To      string      `json:"to"`
	Message PeerMessage `json:"message"`
}

// ConfigApplied reports that this instance applied a configuration.
type ConfigApplied struct {
	Generation uint64       `json:"generation"`
	Edit       string       `json:"edit"`
	Source     ConfigSource `json:"source"`
	// Limits are the limits on callers' requests that are now in force.
	Limits config.CallerLimits `json:"limits,omitzero"`
	// Adjusted are the elements that are not in force as they were written, up to config.MaxAdjustments, and AdjustedCount is the
	// number of all.
	Adjusted      []config.Adjustment `json:"adjusted,omitempty"`
	AdjustedCount int                 `json:"adjusted_count,omitempty"`
	// KeysLifted is set if callers needed API keys under the configuration before, and need none now.
	KeysLifted bool `json:"keys_lifted,omitempty"`
}

// ConfigRefused reports that a configuration failed validation and that the previous one
// stays in force.
type ConfigRefused struct {
	Generation uint64          `json:"generation"`
	Findings   config.Findings `json:"findings"`
	Source     ConfigSource    `json:"source"`
}

// ConfigSource says where a configuration came from: the name of the peer that sent it, or
// one of the constants below.
type ConfigSource string

// The sources that are no peers.
const (
	// SourceStore is the platform's store.
	SourceStore ConfigSource = "the store"
	// SourceCopy is the instances' copy in the platform's store.
	SourceCopy ConfigSource = "the copy in the store"
	// SourceSettings is a configuration given to this process itself, or one that was read
	// again because its settings changed.
	SourceSettings ConfigSource = "the settings"
)

// SetReady sets whether the load balancer may send new requests to this instance.
type SetReady struct {
	Ready bool `json:"ready"`
}

// CloseListener stops accepting connections from callers.
type CloseListener struct {
	// AtOnce is set if the process ends so soon that the listener cannot wait until no connections arrive.
	AtOnce bool `json:"at_once,omitempty"`
}

// Stopped reports that the shutdown is complete and the process may exit.
type Stopped struct{}

// Counted adds N to one of the daemon's counters; the core keeps no metrics itself.
type Counted struct {
	Counter string `json:"counter"`
	Label   string `json:"label,omitempty"`
	N       int    `json:"n"`
}

// EffectName implements Effect.
func (SendAttempt) EffectName() string { return "send-attempt" }

// EffectName implements Effect.
func (WithdrawAttempt) EffectName() string { return "withdraw-attempt" }

// EffectName implements Effect.
func (CancelAttempt) EffectName() string { return "cancel-attempt" }

// EffectName implements Effect.
func (Finish) EffectName() string { return "finish" }

// EffectName implements Effect.
func (StoreGet) EffectName() string { return "store-get" }

// EffectName implements Effect.
func (StoreSwap) EffectName() string { return "store-swap" }

// EffectName implements Effect.
func (StoreWatch) EffectName() string { return "store-watch" }

// EffectName implements Effect.
func (ListBackends) EffectName() string { return "list-backends" }

// EffectName implements Effect.
func (WatchBackends) EffectName() string { return "watch-backends" }

// EffectName implements Effect.
func (Register) EffectName() string { return "register" }

// EffectName implements Effect.
func (RenewLease) EffectName() string { return "renew-lease" }

// EffectName implements Effect.
func (ListInstances) EffectName() string { return "list-instances" }

// EffectName implements Effect.
func (PollReport) EffectName() string { return "poll-report" }

// EffectName implements Effect.
func (SetPeers) EffectName() string { return "set-peers" }

// EffectName implements Effect.
func (SendPeer) EffectName() string { return "send-peer" }

// EffectName implements Effect.
func (ConfigApplied) EffectName() string { return "config-taken" }

// EffectName implements Effect.
func (ConfigRefused) EffectName() string { return "config-refused" }

// EffectName implements Effect.
func (SetReady) EffectName() string { return "set-ready" }

// EffectName implements Effect.
func (CloseListener) EffectName() string { return "close-listener" }

// EffectName implements Effect.
func (Stopped) EffectName() string { return "stopped" }

// EffectName implements Effect.
func (Counted) EffectName() string { return "counted" }
