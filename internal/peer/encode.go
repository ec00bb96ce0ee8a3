package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
)

// Limits of a link. Both ends enforce them.
const (
	// maxFrame bounds a frame in bytes. It has room for an incompressible configuration of one
	// megabyte.
	maxFrame = 1<<20 + 1<<16
	// maxNames bounds the number of names in the dictionary of a stream.
	maxNames = 8192
	// maxName bounds one name in bytes.
	maxName = 256
	// maxConfigSize bounds the operators' configuration in bytes. It is the platform's limit for a
	// value.
	maxConfigSize = 1 << 20
)

// errTooLarge means that a message exceeds the limits of a link.
var errTooLarge = errors.New("peer: message too large")

// Encoder encodes the frames of one direction of one stream. It keeps the dictionary of names and
// the numbers of the last digest, against which the next one is delta encoded. All frames must
// therefore be sent, in the order in which they were encoded.
type Encoder struct {
	// configCache is shared by the encoders of all links.
	configCache *deflateCache
	ids         map[string]uint32
	last        digestBase
	frame       peerpb.Frame
	buf         []byte
}

// digestBase holds the numbers of the previous digest, the base of the delta encoding.
type digestBase struct {
	seq        uint64
	at         int64
	generation uint64
}

// NewEncoder returns the encoder of a new stream.
func NewEncoder() *Encoder { return newEncoder(new(deflateCache)) }

func newEncoder(cache *deflateCache) *Encoder {
	return &Encoder{configCache: cache, ids: make(map[string]uint32)}
}

// Encode returns the frame of a message with its length prefix. The slice is valid until the next
// call.
func (e *Encoder) Encode(m core.PeerMessage) ([]byte, error) {
	e.frame = peerpb.Frame{}
	if len(e.ids) > maxNames/2 {
		clear(e.ids)
		e.frame.Reset_ = true
	}
	if err := e.fillFrame(m); err != nil {
		return nil, err
	}
	if len(e.ids) > maxNames {
		return nil, errTooLarge
	}
	return e.marshal()
}

func (e *Encoder) fillFrame(m core.PeerMessage) error {
	if m.Digest != nil {
		e.frame.Digest = e.digest(m.Digest)
	}
	switch {
	case m.ConfigOffer != nil:
		offer, err := e.configOffer(m.ConfigOffer)
		if err != nil {
			return err
		}
		e.frame.ConfigOffer = offer
	case m.ConfigWanted != nil:
		e.frame.ConfigWanted = &peerpb.ConfigWanted{Above: m.ConfigWanted.Above}
	case m.EntriesOffer != nil:
		e.frame.EntriesOffer = e.entriesOffer(m.EntriesOffer)
	case m.EntriesWanted != nil:
		e.frame.EntriesWanted = &peerpb.EntriesWanted{Above: m.EntriesWanted.Above}
	case m.Claim != nil:
		c := m.Claim
		e.frame.Claim = &peerpb.Claim{Hi: c.Key.Hi, Lo: c.Key.Lo, Token: c.Token, Set: uint32(c.Set), Expires: c.Expires}
	case m.ClaimReply != nil:
		e.frame.ClaimReply = claimReply(m.ClaimReply)
	case m.Slot != nil:
		e.frame.Slot = &peerpb.Slot{
			Action: peerpb.SlotAction(m.Slot.Action), Server: e.id(m.Slot.Server), Token: m.Slot.Token, Hold: millis(m.Slot.Hold),
			AnyServer: m.Slot.AnyServer,
		}
	case m.Retry != nil:
		e.frame.RetryLoan = &peerpb.RetryLoan{
			Action: peerpb.RetryLoanAction(m.Retry.Action), Service: e.id(m.Retry.Service), Token: m.Retry.Token, Wait: millis(m.Retry.Wait),
		}
	case m.Permit != nil:
		e.frame.Permit = e.permit(m.Permit)
	case m.StreamOffer != nil:
		e.frame.StreamOffer = e.streamOffer(m.StreamOffer)
	case m.StreamQuestion != nil:
		e.frame.StreamQuestion = &peerpb.StreamQuestion{Key: uint64(m.StreamQuestion.Key), Service: e.id(m.StreamQuestion.Service)}
	case m.StreamAnswer != nil:
		e.frame.StreamAnswer = e.streamAnswer(m.StreamAnswer)
	}
	return nil
}

// hello encodes the first frame of a connection.
func (e *Encoder) hello(h *peerpb.Hello) ([]byte, error) {
	e.frame = peerpb.Frame{Hello: h}
	return e.marshal()
}

func (e *Encoder) marshal() ([]byte, error) {
	e.buf = binary.AppendUvarint(e.buf[:0], uint64(proto.Size(&e.frame)))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(e.buf, &e.frame)
	if err != nil {
		return nil, fmt.Errorf("peer: encode: %w", err)
	}
	if len(buf) > maxFrame {
		return nil, errTooLarge
	}
	e.buf = buf
	return buf, nil
}

// id returns the dictionary index of a name. A new name is added to the frame.
func (e *Encoder) id(name string) uint32 {
	if name == "" {
		return 0
	}
	id, ok := e.ids[name]
	if !ok {
		id = uint32(len(e.ids) + 1)
		e.ids[name] = id
		e.frame.Names = append(e.frame.Names, name)
	}
	return id
}

func (e *Encoder) digest(d *core.Digest) *peerpb.Digest {
	at := d.At.UnixMilli()
	out := &peerpb.Digest{
		Seq:   int64(d.Seq - e.last.seq - 1),
		At:    at - e.last.at,
		Flags: digestFlags(d),
	}
	if d.Generation != e.last.generation {
		out.Generation = d.Generation + 1
	}
	e.last = digestBase{seq: d.Seq, at: at, generation: d.Generation}
	out.Loads = e.loads(d.Loads)
	out.RowSums = e.loads(d.RowSums)
	out.Totals = e.loads(d.Totals)
	for _, r := range d.Reports {
		out.Reports = append(out.Reports, e.report(r, d.At))
	}
	for _, f := range d.Facts {
		out.Facts = append(out.Facts, &peerpb.Fact{
			Name: e.id(f.Name), Incarnation: f.Incarnation, State: stateCodes[f.State],
		})
	}
	for _, m := range d.Members {
		out.Members = append(out.Members, e.member(m))
	}
	out.EntriesUpTo = d.EntriesUpTo
	for _, a := range d.Answers {
		out.Answers = append(out.Answers, &peerpb.Answers{
			Backend: e.id(a.Backend), Answers: uint32(max(0, a.Answers)), Failures: uint32(max(0, a.Failures)),
		})
	}
	for _, r := range d.Poison {
		out.Poison = append(out.Poison, e.poisonRecord(r))
	}
	out.Restarts = e.restarts(d.Restarts)
	out.StoreAge = millis(d.Staleness)
	out.EvacuationsAsOf = d.EvacuationsAsOf
	out.Evacuations = e.evacuations(d.Evacuations)
	return out
}

func (e *Encoder) poisonRecord(r poison.Record) *peerpb.PoisonRecord {
	out := &peerpb.PoisonRecord{
		Key: uint64(r.Key), Position: uint32(max(0, r.Position)), Trials: uint32(max(0, r.Trials)),
		ChangeAge: millis(r.ChangeAge), UseAge: millis(r.UseAge),
	}
	for _, end := range r.Ends {
		start := e.serverStart(end.Server)
		start.Software, start.Age = e.id(end.Software), millis(end.Age)
		out.Ends = append(out.Ends, start)
	}
	for _, server := range r.Voided {
		out.Voided = append(out.Voided, e.serverStart(server))
	}
	for _, proof := range r.Proofs {
		out.Proofs = append(out.Proofs, &peerpb.PartProof{Software: e.id(proof.Software), Age: millis(proof.Age)})
	}
	return out
}

func (e *Encoder) serverStart(server poison.Server) *peerpb.ServerStart {
	return &peerpb.ServerStart{Name: e.id(server.Name), Incarnation: server.Incarnation}
}

// millis returns a duration in milliseconds, within the range of the wire.
func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func (e *Encoder) entriesOffer(offer *core.EntriesOffer) *peerpb.EntriesOffer {
	return &peerpb.EntriesOffer{From: offer.From, To: offer.To, Entries: e.entries(offer.Entries)}
}

func (e *Encoder) entries(list []entries.Entry) []*peerpb.Entry {
	var out []*peerpb.Entry
	for _, entry := range list {
		out = append(out, e.entry(entry))
	}
	return out
}

func digestFlags(d *core.Digest) uint32 {
	flags := peerpb.DigestFlag_DIGEST_FLAG_NONE
	for _, f := range []struct {
		set  bool
		flag peerpb.DigestFlag
	}{
		{d.Leaving, peerpb.DigestFlag_DIGEST_FLAG_LEAVING},
		{d.Full, peerpb.DigestFlag_DIGEST_FLAG_FULL},
		{d.Resync, peerpb.DigestFlag_DIGEST_FLAG_RESYNC},
		{d.WantMembers, peerpb.DigestFlag_DIGEST_FLAG_WANT_MEMBERS},
		{d.HearsNotAll, peerpb.DigestFlag_DIGEST_FLAG_HEARS_NOT_ALL},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	return uint32(flags)
}

// loads encodes the loads in the order of their ids, each id as the difference from the previous
// one. A load takes two bytes in most cases.
func (e *Encoder) loads(loads []load.Count) []uint32 {
	if len(loads) == 0 {
		return nil
	}
	type load struct{ id, count uint32 }
	coded := make([]load, 0, len(loads))
	for _, l := range loads {
		coded = append(coded, load{e.id(l.Backend), uint32(max(0, l.InFlight))})
	}
	slices.SortFunc(coded, func(a, b load) int { return int(a.id) - int(b.id) })
	out := make([]uint32, 0, 2*len(coded))
	previous := uint32(0)
	for _, l := range coded {
		out = append(out, l.id-previous, l.count)
		previous = l.id
	}
	return out
}

func (e *Encoder) report(r membership.Report, at time.Time) *peerpb.Report {
	return &peerpb.Report{
		Backend:     e.id(r.Backend),
		Incarnation: r.Incarnation,
		State:       stateCodes[r.State],
		InFlight:    uint32(max(0, r.InFlight)),
		Age:         at.UnixMilli() - r.At.UnixMilli(),
		WorkTime:    uint32(min(max(0, r.WorkTime), math.MaxInt32)),
	}
}

func (e *Encoder) member(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Name:        e.id(m.Name),
		Entry:       m.Role == membership.RoleInstance,
		Service:     e.id(m.Service),
		Zone:        e.id(m.Zone),
		Address:     m.Address,
		Slots:       uint32(min(max(0, m.Slots), math.MaxInt32)),
		Incarnation: m.Incarnation,
		State:       stateCodes[m.State],
		Version:     e.id(m.Version),
		WarmUp:      millis(m.WarmUp),
	}
}

func (e *Encoder) entry(entry entries.Entry) *peerpb.Entry {
	out := &peerpb.Entry{Name: e.id(entry.Name), Revision: entry.Revision, Unreadable: entry.Unreadable}
	if entry.Backend != nil {
		out.Backend = e.member(*entry.Backend)
	}
	if entry.History != nil {
		out.History = encodeHistory(entry.History)
	}
	return out
}

func (e *Encoder) configOffer(offer *core.ConfigOffer) (*peerpb.ConfigOffer, error) {
	env := offer.Envelope
	if len(env.Text) > maxConfigSize {
		return nil, errTooLarge
	}
	deflated, err := e.configCache.deflate(env.Text)
	if err != nil {
		return nil, err
	}
	return &peerpb.ConfigOffer{Generation: env.Generation, Edit: env.Edit, Deflated: deflated}, nil
}

// deflateCache caches the compressed form of the last configuration sent, so that it is compressed
// once for all peers. A list of customers is repetitive, and each of a thousand changes a day goes
// to every instance.
type deflateCache struct {
	mu       sync.Mutex
	text     string
	deflated []byte
}

func (c *deflateCache) deflate(text string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deflated != nil && c.text == text {
		return c.deflated, nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("peer: deflate: %w", err)
	}
	if _, err := w.Write([]byte(text)); err != nil {
		return nil, fmt.Errorf("peer: deflate: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("peer: deflate: %w", err)
	}
	c.text, c.deflated = text, buf.Bytes()
	return c.deflated, nil
}

func claimReply(r *claims.Reply) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{
		Hi: r.Key.Hi, Lo: r.Key.Lo, Token: r.Token, Set: uint32(r.Set),
		Verdict: verdictCodes[r.Verdict], First: uint32(r.First),
	}
}

var stateCodes = map[membership.State]peerpb.State{
	membership.Live:    peerpb.State_STATE_LIVE,
	membership.Leaving: peerpb.State_STATE_LEAVING,
	membership.Gone:    peerpb.State_STATE_GONE,
}

var verdictCodes = map[claims.Verdict]peerpb.Verdict{
	claims.Granted:     peerpb.Verdict_VERDICT_GRANTED,
	claims.Duplicate:   peerpb.Verdict_VERDICT_DUPLICATE,
	claims.Unavailable: peerpb.Verdict_VERDICT_UNAVAILABLE,
	claims.Full:        peerpb.Verdict_VERDICT_FULL,
	claims.Queued:      peerpb.Verdict_VERDICT_QUEUED,
}
