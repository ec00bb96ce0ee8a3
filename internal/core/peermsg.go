package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
)

// PeerMessage is a message from one instance to another. At most one field is set besides
// Digest. Package peer encodes it as protobuf.
type PeerMessage struct {
	Digest       *Digest       `json:"digest,omitempty"`
	ConfigOffer  *ConfigOffer  `json:"config_offer,omitempty"`
	ConfigWanted *ConfigWanted `json:"config_wanted,omitempty"`
	EntriesOffer *EntriesOffer `json:"entries_offer,omitempty"`
	// EntriesWanted asks for an EntriesOffer.
	EntriesWanted  *EntriesWanted  `json:"entries_wanted,omitempty"`
	Claim          *claims.Request `json:"claim,omitempty"`
	ClaimReply     *claims.Reply   `json:"claim_reply,omitempty"`
	StreamOffer    *StreamOffer    `json:"stream_offer,omitempty"`
	StreamQuestion *StreamQuestion `json:"stream_question,omitempty"`
	StreamAnswer   *StreamAnswer   `json:"stream_answer,omitempty"`
	Slot           *SlotMessage    `json:"slot,omitempty"`
	Retry          *RetryMessage   `json:"retry,omitempty"`
	Permit         *PermitMessage  `json:"permit,omitempty"`
}

// Digest is the message that an instance sends its peers each round, with changes that they may
// not know yet.
type Digest struct {
	// Incarnation is the sender's. A digest from an earlier incarnation is ignored.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Seq numbers the sender's digests to this peer from 1, so that duplicate, late and lost
	// ones are detected.
	Seq uint64 `json:"seq,omitempty"`
	// At is the sender's clock. Only times from the same sender are compared.
	At time.Time `json:"at"`
	// Generation is the generation of the configuration in force at the sender.
	Generation uint64 `json:"generation"`
	// Leaving is set once the sender has begun its graceful shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// Resync asks the receiver for a full digest, because the sender missed one.
	Resync bool `json:"resync,omitempty"`
	// WantMembers asks the receiver for all instances that it knows, because the sender could
	// not read the platform's list.
	WantMembers bool `json:"want_members,omitempty"`
	// HearsNotAll is set while some of the sender's peers are silent for it. The receiver may be
	// one of them, and what it sends may not arrive.
	HearsNotAll bool `json:"hears_not_all,omitempty"`
	// Loads are the sender's own requests in progress by backend server. A backend server that
	// is missing from this list or the next two is unchanged since the last digest to this
	// peer, or has no requests if Full is set.
	Loads []load.Count `json:"loads,omitempty"`
	// RowSums are the requests in progress of the sender's row, sent to the aggregators of the
	// same shard in other rows, or those of its zone, sent to an instance in another zone.
	RowSums []load.Count `json:"row_sums,omitempty"`
	// Totals are the loads that the sender knows and the receiver may not, sent to the sender's
	// row peers. The receiver does not include them in its own sums, so loads cannot
	// circulate.
	Totals []load.Count `json:"totals,omitempty"`
	// Full is set if the lists are complete.
	Full bool `json:"full,omitempty"`
	// Reports are the backend servers' reports that the sender received itself.
	Reports []membership.Report `json:"reports,omitempty"`
	// EntriesUpTo is the revision of the newest backend server entry that the sender has,
	// provided that it has missed none before.
	EntriesUpTo uint64 `json:"entries_up_to,omitempty"`
	// Staleness is the age of what the sender knows of the store: a receiver that has
	// Generation and the entries up to EntriesUpTo has every change that was acknowledged
	// before. 0 means that the sender cannot tell.
	Staleness time.Duration `json:"staleness,omitempty"`
	// Answers are the sender's counts of answers since its last digest to this peer, only for
	// backend servers with failures.
	Answers []BackendAnswers `json:"answers,omitempty"`
	// Facts are membership changes that the sender learned.
	Facts []membership.Fact `json:"facts,omitempty"`
	// Members are instances that the receiver may not have seen in the platform's list.
	Members []membership.Member `json:"members,omitempty"`
	// Poison are records of requests under which backend servers ended.
	Poison []poison.Record `json:"poison,omitempty"`
	// EvacuationsAsOf is the revision of the newest change of the evacuations that the sender has. It is 0 if it is the one
	// that both have stated, or if the sender does not know the evacuations.
	EvacuationsAsOf uint64 `json:"evacuations_as_of,omitempty"`
	// Evacuations is the complete set at that revision, nil if the receiver has stated that it is as new.
	Evacuations *Evacuations `json:"evacuations,omitempty"`
	// Restarts are backend servers whose processes were seen to end.
	Restarts []Restart `json:"restarts,omitempty"`
}

// Evacuations are the availability zones whose backend servers get no new requests.
type Evacuations struct {
	Zones []evacuation.Zone `json:"zones,omitempty"`
}

// BackendAnswers holds the answer counts of one backend server.
type BackendAnswers struct {
	Backend  string `json:"backend"`
	Answers  int    `json:"answers"`
	Failures int    `json:"failures"`
}

// ConfigOffer sends a configuration to a peer.
type ConfigOffer struct {
	Envelope config.Envelope `json:"envelope"`
	// Text is the parsed form of the envelope's text, if the text is in the platform's format
	// and was parsed outside the core. If it is nil, the core parses the text.
	Text *config.Text `json:"-"`
	// Adjusted are the elements that Text does not have as they were written.
	Adjusted config.Adjustments `json:"-"`
}

// ConfigWanted requests the configuration in force at a peer.
type ConfigWanted struct {
	// Above is the generation that the requester has.
	Above uint64 `json:"above"`
}

// EntriesOffer carries all changes of backend server entries after the revision From, up to and
// including To.
type EntriesOffer struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Entries []entries.Entry `json:"entries"`
}

// EntriesWanted requests the changes of entries that the requester has missed.
type EntriesWanted struct {
	// Above is the revision up to which the requester has missed no change.
	Above uint64 `json:"above"`
}
