package core

import (
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
)

// Counters of peer messages that are left out or ignored.
const (
	counterShed  = "peer_shed"
	counterStale = "peer_stale_digests"
)

// Approximate sizes in bytes of the encoding in package peer. A test in that package
// compares the estimate with the encoded size.
const (
	sizeFrame   = 12 + 1 + 2
	sizeDigest  = 5
	sizeList    = 3
	sizeLoad    = 2
	sizeReport  = 16
	sizeFact    = 16
	sizeMember  = 60
	sizeEntry   = 70
	sizeAnswers = 8
	sizeClaim   = 34
	// sizePoison is the size of a poison record without its servers, sizeServerStart that of a
	// server in it. sizePart and sizePartEnd are what is added to them for a part, and sizeProof the size of an answer
	// that proves it.
	sizePoison      = 14
	sizeServerStart = 12
	sizePart        = 2
	sizePartEnd     = 5
	sizeProof       = 7
	deflateRatio    = 8
	// sizeStream is the size of the record of a stream, sizeStreamQuestion that of a question, and
	// sizeVersion that of a version in an answer.
	sizeStream         = 32
	sizeStreamQuestion = 12
	sizeVersion        = 2
	// sizeEvacuations is the size of the revision of a set of evacuations, sizeEvacuation that of a zone.
	sizeEvacuations = 6
	sizeEvacuation  = 9
	// sizeSlot is the size of a message about a slot.
	sizeSlot = 8
	// sizeRetry is the size of a message about a retry.
	sizeRetry = 8
	// sizePermit is the size of a message about a permit, sizeRestart that of a restart in a digest.
	sizePermit  = 6
	sizeRestart = 7
	// sizePoll is half of the bytes that polling a load report takes in both directions:
	// about 400 bytes of HTTP headers and a short body.
	sizePoll = 200
)

// WireEstimate returns the approximate encoded size of the message in bytes, given that
// the peer already knows the names in it.
func (m PeerMessage) WireEstimate() int {
	size := sizeFrame
	if d := m.Digest; d != nil {
		size += sizeDigest + d.loadsEstimate()
		size += sizeFact*len(d.Facts) + sizeMember*len(d.Members) + sizeAnswers*len(d.Answers) + sizeRestart*len(d.Restarts)
		for _, r := range d.Poison {
			size += poisonEstimate(&r)
		}
		if d.EvacuationsAsOf > 0 {
			size += sizeEvacuations
		}
		if d.Evacuations != nil {
			size += sizeList + sizeEvacuation*len(d.Evacuations.Zones)
		}
	}
	switch {
	case m.ConfigOffer != nil:
		size += len(m.ConfigOffer.Envelope.Text) / deflateRatio
	case m.EntriesOffer != nil:
		size += sizeEntry * len(m.EntriesOffer.Entries)
	case m.Claim != nil, m.ClaimReply != nil:
		size += sizeClaim
	case m.Slot != nil:
		size += sizeSlot
	case m.Retry != nil:
		size += sizeRetry
	case m.Permit != nil:
		size += sizePermit
	case m.StreamOffer != nil:
		size += sizeStream * len(m.StreamOffer.Records)
	case m.StreamQuestion != nil:
		size += sizeStreamQuestion
	case m.StreamAnswer != nil:
		size += sizeStreamQuestion + sizeStream + sizeVersion*len(m.StreamAnswer.Versions)
	}
	return size
}

// isReply reports whether the message is a reply to a peer's request. Replies are not
// charged to the traffic budget: longer digest rounds would not reduce them, and later
// load updates must not be cut to pay for them.
func (m PeerMessage) isReply() bool {
	return m.ConfigOffer != nil || m.EntriesOffer != nil || m.StreamAnswer != nil
}

// loadsEstimate returns the approximate encoded size of the digest's loads and reports.
func (d *Digest) loadsEstimate() int {
	if d == nil {
		return 0
	}
	size := sizeReport * len(d.Reports)
	for _, list := range [][]load.Count{d.Loads, d.RowSums, d.Totals} {
		if len(list) > 0 {
			size += sizeList + sizeLoad*len(list)
		}
	}
	return size
}

func poisonEstimate(r *poison.Record) int {
	size := sizePoison + sizeServerStart*(len(r.Ends)+len(r.Voided))
	if r.Position > 0 {
		size += sizePart + sizePartEnd*len(r.Ends) + sizeProof*len(r.Proofs)
	}
	return size
}
