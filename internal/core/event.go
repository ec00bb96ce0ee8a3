package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// RequestID identifies a request within the fleet.
type RequestID string

// OpID identifies one call to the platform and matches its result to the call.
type OpID uint64

// Event is an input to the core: a change that the daemon observed.
type Event interface {
	// EventName returns the event's name in session files.
	EventName() string
}

// RequestArrived reports a request from a caller.
type RequestArrived struct {
	Request  RequestID `json:"request"`
	Customer string    `json:"customer"`
	// Service is the service's name. If it is empty, the service is looked up by Model.
	Service string `json:"service,omitempty"`
	Model   string `json:"model,omitempty"`
	// Host and Path select the route and APIKey the customer if the request names
	// neither service nor customer.
	Host   string `json:"host,omitempty"`
	Path   string `json:"path,omitempty"`
	APIKey string `json:"api_key,omitempty"`
	// HeaderBytes and BodyBytes are the sizes of the request's headers and body.
	HeaderBytes int `json:"header_bytes,omitempty"`
	BodyBytes   int `json:"body_bytes,omitempty"`
	// Content is a hash of the request's method, target and body, by which the same request is
	// recognized when its caller sends it again; 0 if there is none.
	Content uint64 `json:"content,omitempty"`
	// Prompt describes the prompt of a generation; nil if the caller did not describe it.
	Prompt *Prompt `json:"prompt,omitempty"`
	// SharedParts are the IDs of the parts of the prompt that other requests may hold too, also of those behind
	// a malformed part, which Prompt leaves out.
	SharedParts []string `json:"shared_parts,omitempty"`
	// Chat identifies the chat, so that its next turn can reuse its cached prefix.
	Chat string `json:"chat,omitempty"`
	// NonIdempotent marks a request that must not run more than once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Key is the caller's idempotency key, if any.
	Key string `json:"key,omitempty"`
	// Deadline is the caller's deadline, zero if it set none.
	Deadline time.Time `json:"deadline,omitzero"`
	// ReadAt is the time at which the whole request was read, zero if it is not known. It may have waited for the core since.
	ReadAt time.Time `json:"read_at,omitzero"`
	// Hint is the opaque placement hint returned with the chat's previous turn.
	Hint string `json:"hint,omitempty"`
	// CallerID is the caller's own ID of this request, by which a later one may name it; "" if it
	// has none.
	CallerID string `json:"caller_id,omitempty"`
	// Continues is set if the caller has received a part of a stream and asks for the rest.
	Continues *Continuation `json:"continues,omitempty"`
	// queued is how long the request waited for the core.
	queued time.Duration
}

// Continuation says which stream a request continues.
type Continuation struct {
	// First is the CallerID of the request whose response brought the stream's first event, "" if the
	// caller does not name it.
	First string `json:"first,omitempty"`
	// After is the ID of the last event that the caller has received, "" if it does not tell.
	After string `json:"after,omitempty"`
}

// Prompt is a caller's description of the prompt of a generation.
type Prompt struct {
	// Parts are the parts of the prompt in order. Requests can share parts. An engine
	// skips prefill for a cached part if all preceding parts are cached too.
	Parts []PromptPart `json:"parts,omitempty"`
	// Tokens is the number of tokens in the whole prompt.
	Tokens int `json:"tokens,omitempty"`
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int `json:"max_output,omitempty"`
	// OutputHint is the caller's estimate of the tokens to be generated; 0 means none.
	OutputHint int `json:"output_hint,omitempty"`
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// AttemptEnded reports the end of one attempt.
type AttemptEnded struct {
	Request RequestID     `json:"request"`
	Attempt int           `json:"attempt"`
	Outcome retry.Outcome `json:"outcome"`
	// Load is the load report in the backend server's response, nil if there is none.
	Load *membership.Report `json:"load,omitempty"`
	// RejectionLimit is the limit that the response announces; see AnswerStarted.
	RejectionLimit int `json:"rejection_limit,omitempty"`
	// RetryAfter is the delay that the backend server requested when it refused the attempt.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// ServerEnded is set if the backend server's process seems to have ended while it held the
	// request: the connection closed early, and another one was then refused. EndChecks are the
	// results of peers that were asked to connect to the server then.
	ServerEnded bool                `json:"server_ended,omitempty"`
	EndChecks   []paths.Observation `json:"end_checks,omitempty"`
	// ProcessReplaced is set if nothing was sent because another process than the expected one runs under
	// the backend server's name.
	ProcessReplaced bool `json:"process_replaced,omitempty"`
	// ConnectionRefused is set if nothing was sent because the backend server's machine refused the
	// connection: the machine is reachable, but the server does not run there.
	ConnectionRefused bool `json:"connection_refused,omitempty"`
	// Malformed is set if the bytes that the backend server sent are no response, or no more of one.
	Malformed bool `json:"malformed,omitempty"`
	// Uncertain is set if the response is taken for whole although nothing marked its end: its server may
	// have ended in it.
	Uncertain bool `json:"uncertain,omitempty"`
	// LastEventID is the ID of the last complete event of a broken, resumable stream.
	LastEventID string `json:"last_event_id,omitempty"`
	// Unsent is set if nothing of the request was sent in a superseded attempt.
	Unsent bool `json:"unsent,omitempty"`
	// Detail is the error text, used only for logging.
	Detail string `json:"detail,omitempty"`
}

// AttemptSilent reports that the backend server of an attempt in progress has brought its response no further for the
// attempt's timeout, or has begun a part of it whose rest is missing. The attempt goes on. The event is repeated while that
// lasts.
type AttemptSilent struct {
	Request RequestID `json:"request"`
	Attempt int       `json:"attempt"`
	// LastEventID is the ID of the last event that the caller's response has, "" if it has none or the stream is not
	// resumable.
	LastEventID string `json:"last_event_id,omitempty"`
	// Quiet are the backend servers that owe this instance bytes and have sent none for a while, sorted. They may be
	// silent too.
	Quiet []string `json:"quiet,omitempty"`
	// Heard is set if bytes have arrived since the response last came further, or a part of its body: its server is reached.
	Heard bool `json:"heard,omitempty"`
	// Stuck is set if such bytes are more than comments that keep the connection alive, or the server does not read the request.
	Stuck bool `json:"stuck,omitempty"`
}

// AnswerStarted reports that the first byte of the response was sent to the caller.
// From then on the request must not be run again on another backend server.
type AnswerStarted struct {
	Request RequestID `json:"request"`
	Attempt int       `json:"attempt"`
	// Load is the load report in the response headers, nil if there is none.
	Load *membership.Report `json:"load,omitempty"`
	// ProcessCertain is set if the process that the attempt had to reach has answered, see ProcessCheck.
	ProcessCertain bool `json:"process_certain,omitempty"`
	// RejectionLimit is the number of requests that the server can reject within a second for lack
	// of room; if it must reject more, it fails. 0 means that it announces no limit.
	RejectionLimit int `json:"rejection_limit,omitempty"`
}

// CallerGone reports that the caller disconnected before its response was complete.
type CallerGone struct {
	Request RequestID `json:"request"`
}

// InstancesListed is the result of ListInstances: the platform's complete list of
// instances, which may lag behind the fleet.
type InstancesListed struct {
	Op      OpID                `json:"op"`
	Failed  bool                `json:"failed,omitempty"`
	Members []membership.Member `json:"members"`
	// OwnLease is the lease of the entry under this instance's name, 0 if there is none.
	// The lease may belong to an earlier process.
	OwnLease uint64 `json:"own_lease,omitempty"`
}

// BackendReported is the result of a PollReport.
type BackendReported struct {
	Report membership.Report `json:"report"`
	// Failed is set if the poll got no response; only the report's names are set then. Malformed is set as well if it got bytes that
	// are none.
	Failed    bool `json:"failed,omitempty"`
	Malformed bool `json:"malformed,omitempty"`
}

// ConfigOffered is a configuration from a source other than the store or a peer: the
// command line of a session, or a test. Peers send theirs in a PeerMessage.
type ConfigOffered struct {
	Envelope config.Envelope `json:"envelope"`
	// Text is the parsed configuration, as in ConfigOffer.
	Text *config.Text `json:"-"`
	// Adjusted are the elements that Text does not have as they were written.
	Adjusted config.Adjustments `json:"-"`
}

// StoreStatus is the result status of a call to the platform's store.
type StoreStatus string

// The statuses of a store call.
const (
	// StoreOK means that the call succeeded; Version and Value are set.
	StoreOK StoreStatus = "ok"
	// StoreConflict means that the version did not match and nothing was written.
	StoreConflict StoreStatus = "conflict"
	// StoreAbsent means that the key does not exist.
	StoreAbsent StoreStatus = "absent"
	// StoreUnchanged means that a watch ended without a change.
	StoreUnchanged StoreStatus = "unchanged"
	// StoreFailed means that the call failed and definitely had no effect.
	StoreFailed StoreStatus = "failed"
	// StoreHistoryLost means that the store no longer has the revision from which a
	// watch was to continue.
	StoreHistoryLost StoreStatus = "history-lost"
	// StoreUnknown means that the outcome is unknown: a write may have taken effect.
	StoreUnknown StoreStatus = "unknown"
)

// StoreReplied is the result of a StoreGet, StoreSwap or StoreWatch.
type StoreReplied struct {
	Op      OpID        `json:"op"`
	Status  StoreStatus `json:"status"`
	Version uint64      `json:"version,omitempty"`
	Value   []byte      `json:"value,omitempty"`
	// Config is the configuration in Value if Value has the platform's own format.
	Config *ConfigOffer `json:"-"`
	// Problem says why Value could not be read outside the core, "" if it could.
	Problem string `json:"problem,omitempty"`
	// Evacuations is set in a successful result for ConfigKey: what the answer shows of the evacuated zones.
	Evacuations *evacuation.Read `json:"evacuations,omitempty"`
}

// BackendsRead is the result of a ListBackends or a WatchBackends.
type BackendsRead struct {
	Op      OpID            `json:"op"`
	Status  StoreStatus     `json:"status"`
	Entries []entries.Entry `json:"entries,omitempty"`
	// Poison are the poison records of instances, which the store keeps beside the entries.
	Poison []poison.Record `json:"poison,omitempty"`
	// More is the key after which the next page of a list starts, empty on the last page.
	More string `json:"more,omitempty"`
	// Revision is the store's revision, from which a watch continues.
	Revision uint64 `json:"revision,omitempty"`
}

// LeaseReplied is the result of a Register, a RenewLease or a StorePoison.
type LeaseReplied struct {
	Op     OpID        `json:"op"`
	Status StoreStatus `json:"status"`
	// Lease is the current lease. It is set even if nothing was written under it.
	Lease uint64 `json:"lease,omitempty"`
}

// PeerConnected reports that a link to another instance is up.
type PeerConnected struct {
	Peer        string `json:"peer"`
	Incarnation uint64 `json:"incarnation"`
	// NoStreams is set if the peer is of an earlier build, which keeps no records of streams.
	NoStreams bool `json:"no_streams,omitempty"`
	// NoHistory is set if the peer is of an earlier build, which does not keep the software history in the store.
	NoHistory bool `json:"no_history,omitempty"`
	// NoPermits is set if the peer is of an earlier build, which issues no permits for servers that warm up.
	NoPermits bool `json:"no_permits,omitempty"`
}

// PeerLost reports that the link to another instance is down. The instance itself may
// still be running.
type PeerLost struct {
	Peer string `json:"peer"`
}

// PeerReceived is a message from another instance.
type PeerReceived struct {
	From    string      `json:"from"`
	Message PeerMessage `json:"message"`
}

// StopGraceSet sets the time from a later stop request until the process is killed; 0 means that it is not killed.
type StopGraceSet struct {
	Grace time.Duration `json:"grace,omitempty"`
}

// StopRequested requests this instance's graceful shutdown.
type StopRequested struct{}

// Ticked drives timers. The daemon sends one every TickInterval.
type Ticked struct{}

// EventName implements Event.
func (RequestArrived) EventName() string { return "request-arrived" }

// EventName implements Event.
func (AttemptEnded) EventName() string { return "attempt-ended" }

// EventName implements Event.
func (AttemptSilent) EventName() string { return "attempt-silent" }

// EventName implements Event.
func (AnswerStarted) EventName() string { return "answer-started" }

// EventName implements Event.
func (CallerGone) EventName() string { return "caller-gone" }

// EventName implements Event.
func (InstancesListed) EventName() string { return "instances-listed" }

// EventName implements Event.
func (BackendReported) EventName() string { return "backend-reported" }

// EventName implements Event.
func (ConfigOffered) EventName() string { return "config-offered" }

// EventName implements Event.
func (StoreReplied) EventName() string { return "store-replied" }

// EventName implements Event.
func (BackendsRead) EventName() string { return "backends-read" }

// EventName implements Event.
func (LeaseReplied) EventName() string { return "lease-replied" }

// EventName implements Event.
func (PeerConnected) EventName() string { return "peer-connected" }

// EventName implements Event.
func (PeerLost) EventName() string { return "peer-lost" }

// EventName implements Event.
func (PeerReceived) EventName() string { return "peer-received" }

// EventName implements Event.
func (StopGraceSet) EventName() string { return "stop-grace-set" }

// EventName implements Event.
func (StopRequested) EventName() string { return "stop-requested" }

// EventName implements Event.
func (Ticked) EventName() string { return "ticked" }
