package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
)

// errFrame means that the received bytes are not a valid frame.
var errFrame = errors.New("peer: bad frame")

// frameReader is the source of frames.
type frameReader interface {
	io.Reader
	io.ByteReader
}

// readFrame reads one frame and removes its length prefix. Memory grows with the bytes received
// and not with the announced length, because an unidentified sender may announce a long frame and
// send nothing.
func readFrame(r frameReader, limit uint64) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, fmt.Errorf("peer: frame length: %w", err)
	}
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", errFrame, size, limit)
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		return nil, fmt.Errorf("peer: frame: %w", err)
	}
	return buf.Bytes(), nil
}

// Decoder decodes the frames of an Encoder in the order in which they were encoded.
type Decoder struct {
	names []string
	last  digestBase
}

// NewDecoder returns the decoder of a new stream.
func NewDecoder() *Decoder { return &Decoder{names: []string{""}} }

// Decode decodes a frame without its length prefix. After an error the stream can't be decoded
// any further.
func (d *Decoder) Decode(frame []byte) (core.PeerMessage, error) {
	var f peerpb.Frame
	if err := proto.Unmarshal(frame, &f); err != nil {
		return core.PeerMessage{}, fmt.Errorf("%w: %w", errFrame, err)
	}
	if err := d.addNames(&f); err != nil {
		return core.PeerMessage{}, err
	}
	return d.message(&f)
}

// decodeFirstFrame decodes the first frame of a connection, a hello or a relay request.
func decodeFirstFrame(frame []byte) (*peerpb.Frame, error) {
	var f peerpb.Frame
	if err := proto.Unmarshal(frame, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	if f.RelayRequest != nil {
		return &f, nil
	}
	if _, err := checkHello(&f); err != nil {
		return nil, err
	}
	return &f, nil
}

// decodeHello decodes a hello.
func decodeHello(frame []byte) (*peerpb.Hello, error) {
	var f peerpb.Frame
	if err := proto.Unmarshal(frame, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	return checkHello(&f)
}

// checkHello returns the hello of a frame if it is valid.
func checkHello(f *peerpb.Frame) (*peerpb.Hello, error) {
	if f.Hello == nil || f.Hello.Name == "" || len(f.Hello.Name) > maxName {
		return nil, fmt.Errorf("%w: missing hello", errFrame)
	}
	if f.Hello.Version != protocolVersion {
		return nil, fmt.Errorf("%w: version %d, expected %d", errFrame, f.Hello.Version, protocolVersion)
	}
	return f.Hello, nil
}

func (d *Decoder) addNames(f *peerpb.Frame) error {
	if f.Reset_ {
		d.names = d.names[:1]
	}
	if len(d.names)+len(f.Names) > maxNames+1 {
		return fmt.Errorf("%w: over %d names", errFrame, maxNames)
	}
	for _, name := range f.Names {
		if name == "" || len(name) > maxName {
			return fmt.Errorf("%w: name of %d bytes", errFrame, len(name))
		}
		d.names = append(d.names, name)
	}
	return nil
}

func (d *Decoder) name(id uint32) (string, error) {
	if uint64(id) >= uint64(len(d.names)) {
		return "", fmt.Errorf("%w: unknown name %d", errFrame, id)
	}
	return d.names[id], nil
}

func (d *Decoder) message(f *peerpb.Frame) (core.PeerMessage, error) {
	var m core.PeerMessage
	var err error
	if f.Digest != nil {
		if m.Digest, err = d.digest(f.Digest); err != nil {
			return core.PeerMessage{}, err
		}
	}
	switch {
	case f.ConfigOffer != nil:
		m.ConfigOffer, err = inflateOffer(f.ConfigOffer)
	case f.ConfigWanted != nil:
		m.ConfigWanted = &core.ConfigWanted{Above: f.ConfigWanted.Above}
	case f.EntriesOffer != nil:
		m.EntriesOffer, err = d.entriesOffer(f.EntriesOffer)
	case f.EntriesWanted != nil:
		m.EntriesWanted = &core.EntriesWanted{Above: f.EntriesWanted.Above}
	case f.Claim != nil:
		m.Claim, err = decodeClaim(f.Claim)
	case f.ClaimReply != nil:
		m.ClaimReply, err = decodeClaimReply(f.ClaimReply)
	case f.Slot != nil:
		m.Slot, err = d.slot(f.Slot)
	case f.RetryLoan != nil:
		m.Retry, err = d.retryLoan(f.RetryLoan)
	case f.Permit != nil:
		m.Permit, err = d.permit(f.Permit)
	case f.StreamOffer != nil:
		m.StreamOffer, err = d.streamOffer(f.StreamOffer)
	case f.StreamQuestion != nil:
		m.StreamQuestion, err = d.streamQuestion(f.StreamQuestion)
	case f.StreamAnswer != nil:
		m.StreamAnswer, err = d.streamAnswer(f.StreamAnswer)
	}
	if err != nil {
		return core.PeerMessage{}, err
	}
	return m, nil
}

func (d *Decoder) digest(in *peerpb.Digest) (*core.Digest, error) {
	at := d.last.at + in.At
	generation := d.last.generation
	if in.Generation > 0 {
		generation = in.Generation - 1
	}
	seq := d.last.seq + 1 + uint64(in.Seq)
	d.last = digestBase{seq: seq, at: at, generation: generation}
	out := &core.Digest{
		Seq:         seq,
		At:          time.UnixMilli(at).UTC(),
		Generation:  generation,
		Leaving:     hasFlag(in, peerpb.DigestFlag_DIGEST_FLAG_LEAVING),
		Full:        hasFlag(in, peerpb.DigestFlag_DIGEST_FLAG_FULL),
		Resync:      hasFlag(in, peerpb.DigestFlag_DIGEST_FLAG_RESYNC),
		WantMembers: hasFlag(in, peerpb.DigestFlag_DIGEST_FLAG_WANT_MEMBERS),
		HearsNotAll: hasFlag(in, peerpb.DigestFlag_DIGEST_FLAG_HEARS_NOT_ALL),
		Staleness:   time.Duration(in.StoreAge) * time.Millisecond,
		EntriesUpTo: in.EntriesUpTo,

		EvacuationsAsOf: in.EvacuationsAsOf,
	}
	if err := d.allLoads(out, in); err != nil {
		return nil, err
	}
	if err := d.reports(out, in); err != nil {
		return nil, err
	}
	if err := d.facts(out, in); err != nil {
		return nil, err
	}
	if err := d.members(out, in); err != nil {
		return nil, err
	}
	if err := d.answers(out, in); err != nil {
		return nil, err
	}
	if err := d.poison(out, in); err != nil {
		return nil, err
	}
	if err := d.evacuations(out, in); err != nil {
		return nil, err
	}
	if err := d.restarts(out, in); err != nil {
		return nil, err
	}
	return out, nil
}

func hasFlag(in *peerpb.Digest, flag peerpb.DigestFlag) bool {
	return in.Flags&uint32(flag) != 0
}

func (d *Decoder) allLoads(out *core.Digest, in *peerpb.Digest) error {
	var err error
	if out.Loads, err = d.loads(in.Loads); err != nil {
		return err
	}
	if out.RowSums, err = d.loads(in.RowSums); err != nil {
		return err
	}
	out.Totals, err = d.loads(in.Totals)
	return err
}

func (d *Decoder) loads(in []uint32) ([]load.Count, error) {
	if len(in) == 0 {
		return nil, nil
	}
	if len(in)%2 != 0 {
		return nil, fmt.Errorf("%w: load without a count", errFrame)
	}
	out := make([]load.Count, 0, len(in)/2)
	id := uint32(0)
	for i := 0; i < len(in); i += 2 {
		if in[i] == 0 {
			return nil, fmt.Errorf("%w: duplicate load", errFrame)
		}
		id += in[i]
		name, err := d.name(id)
		if err != nil {
			return nil, err
		}
		out = append(out, load.Count{Backend: name, InFlight: int(in[i+1])})
	}
	return out, nil
}

func (d *Decoder) reports(out *core.Digest, in *peerpb.Digest) error {
	for _, r := range in.Reports {
		name, err := d.name(r.Backend)
		if err != nil {
			return err
		}
		out.Reports = append(out.Reports, membership.Report{
			Backend:     name,
			Incarnation: r.Incarnation,
			State:       stateByCode[r.State],
			InFlight:    int(r.InFlight),
			At:          time.UnixMilli(d.last.at - r.Age).UTC(),
			WorkTime:    int(r.WorkTime),
		})
	}
	return nil
}

func (d *Decoder) facts(out *core.Digest, in *peerpb.Digest) error {
	for _, f := range in.Facts {
		name, err := d.name(f.Name)
		if err != nil {
			return err
		}
		out.Facts = append(out.Facts, membership.Fact{
			Name: name, Incarnation: f.Incarnation, State: stateByCode[f.State],
		})
	}
	return nil
}

func (d *Decoder) members(out *core.Digest, in *peerpb.Digest) error {
	for _, m := range in.Members {
		member, err := d.member(m)
		if err != nil {
			return err
		}
		// An instance of an earlier build passes on what this one does not use; those that read the store report the entry.
		if member.Check() == nil {
			out.Members = append(out.Members, member)
		}
	}
	return nil
}

func (d *Decoder) member(m *peerpb.Member) (membership.Member, error) {
	name, err := d.name(m.Name)
	if err != nil {
		return membership.Member{}, err
	}
	service, err := d.name(m.Service)
	if err != nil {
		return membership.Member{}, err
	}
	zone, err := d.name(m.Zone)
	if err != nil {
		return membership.Member{}, err
	}
	version, err := d.name(m.Version)
	if err != nil {
		return membership.Member{}, err
	}
	role := membership.RoleBackend
	if m.Entry {
		role = membership.RoleInstance
	}
	return membership.Member{
		Name: name, Role: role, Service: service, Zone: zone, Address: m.Address,
		Slots: int(m.Slots), Version: version, Incarnation: m.Incarnation, State: stateByCode[m.State],
		WarmUp: duration(m.WarmUp),
	}, nil
}

func (d *Decoder) answers(out *core.Digest, in *peerpb.Digest) error {
	for _, a := range in.Answers {
		backend, err := d.name(a.Backend)
		if err != nil {
			return err
		}
		out.Answers = append(out.Answers, core.BackendAnswers{
			Backend: backend, Answers: int(a.Answers), Failures: int(a.Failures),
		})
	}
	return nil
}

func (d *Decoder) poison(out *core.Digest, in *peerpb.Digest) error {
	for _, r := range in.Poison {
		record, err := d.poisonRecord(r)
		if err != nil {
			return err
		}
		out.Poison = append(out.Poison, record)
	}
	return nil
}

func (d *Decoder) poisonRecord(in *peerpb.PoisonRecord) (poison.Record, error) {
	out := poison.Record{
		Key: poison.Key(in.Key), Position: int(in.Position), Trials: int(in.Trials),
		ChangeAge: duration(in.ChangeAge), UseAge: duration(in.UseAge),
	}
	for _, start := range in.Ends {
		server, err := d.serverStart(start)
		if err != nil {
			return out, err
		}
		software, err := d.name(start.Software)
		if err != nil {
			return out, err
		}
		out.Ends = append(out.Ends, poison.End{Server: server, Software: software, Age: duration(start.Age)})
	}
	for _, start := range in.Voided {
		server, err := d.serverStart(start)
		if err != nil {
			return out, err
		}
		out.Voided = append(out.Voided, server)
	}
	for _, proof := range in.Proofs {
		software, err := d.name(proof.Software)
		if err != nil {
			return out, err
		}
		out.Proofs = append(out.Proofs, poison.Proof{Software: software, Age: duration(proof.Age)})
	}
	return out, nil
}

func (d *Decoder) serverStart(in *peerpb.ServerStart) (poison.Server, error) {
	name, err := d.name(in.Name)
	return poison.Server{Name: name, Incarnation: in.Incarnation}, err
}

// duration returns a duration from its milliseconds on the wire.
func duration(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }

func (d *Decoder) entries(in []*peerpb.Entry) ([]entries.Entry, error) {
	var out []entries.Entry
	for _, e := range in {
		name, err := d.name(e.Name)
		if err != nil {
			return nil, err
		}
		entry := entries.Entry{Name: name, Revision: e.Revision, Unreadable: e.Unreadable}
		if e.Backend != nil {
			backend, err := d.member(e.Backend)
			if err != nil {
				return nil, err
			}
			// As for members. The entry counts as one that cannot be read, which the core reports.
			if backend.Check() == nil {
				entry.Backend = &backend
			} else {
				entry.Unreadable = true
			}
		}
		if e.History != nil {
			entry.History = decodeHistory(e.History)
		}
		out = append(out, entry)
	}
	return out, nil
}

func (d *Decoder) entriesOffer(in *peerpb.EntriesOffer) (*core.EntriesOffer, error) {
	list, err := d.entries(in.Entries)
	if err != nil {
		return nil, err
	}
	return &core.EntriesOffer{From: in.From, To: in.To, Entries: list}, nil
}

// slot decodes a message about a slot. An unknown action is passed on, and ignored by the core.
func (d *Decoder) slot(in *peerpb.Slot) (*core.SlotMessage, error) {
	server, err := d.name(in.Server)
	if err != nil {
		return nil, err
	}
	return &core.SlotMessage{
		Action: core.SlotAction(in.Action), Server: server, Token: in.Token, Hold: time.Duration(in.Hold) * time.Millisecond,
		AnyServer: in.AnyServer,
	}, nil
}

// retryLoan decodes a message about a retry. An unknown action is passed on, and ignored by the core.
func (d *Decoder) retryLoan(in *peerpb.RetryLoan) (*core.RetryMessage, error) {
	service, err := d.name(in.Service)
	if err != nil {
		return nil, err
	}
	return &core.RetryMessage{
		Action: core.RetryAction(in.Action), Service: service, Token: in.Token, Wait: time.Duration(in.Wait) * time.Millisecond,
	}, nil
}

func inflateOffer(in *peerpb.ConfigOffer) (*core.ConfigOffer, error) {
	r := flate.NewReader(bytes.NewReader(in.Deflated))
	// A small frame may inflate to any size, so reading stops one byte past the limit.
	text, err := io.ReadAll(io.LimitReader(r, maxConfigSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: inflate: %w", errFrame, err)
	}
	if len(text) > maxConfigSize {
		return nil, fmt.Errorf("%w: configuration over %d bytes", errFrame, maxConfigSize)
	}
	env := config.Envelope{Generation: in.Generation, Edit: in.Edit, Text: string(text)}
	return &core.ConfigOffer{Envelope: env}, nil
}

func decodeClaim(in *peerpb.Claim) (*claims.Request, error) {
	set := claims.State(in.Set)
	if uint32(set) != in.Set {
		return nil, fmt.Errorf("%w: claim state %d", errFrame, in.Set)
	}
	return &claims.Request{Key: claims.KeyHash{Hi: in.Hi, Lo: in.Lo}, Token: in.Token, Set: set, Expires: in.Expires}, nil
}

func decodeClaimReply(in *peerpb.ClaimReply) (*claims.Reply, error) {
	set, first := claims.State(in.Set), claims.State(in.First)
	verdict, ok := verdictByCode[in.Verdict]
	if uint32(set) != in.Set || uint32(first) != in.First || !ok {
		return nil, fmt.Errorf("%w: unknown value in claim reply", errFrame)
	}
	return &claims.Reply{
		Key: claims.KeyHash{Hi: in.Hi, Lo: in.Lo}, Token: in.Token, Set: set, Verdict: verdict, First: first,
	}, nil
}

var stateByCode = invert(stateCodes)

var verdictByCode = invert(verdictCodes)

func invert[K, V comparable](m map[K]V) map[V]K {
	out := make(map[V]K, len(m))
	for k, v := range m {
		out[v] = k
	}
	return out
}
