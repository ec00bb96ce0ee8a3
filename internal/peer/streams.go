package peer

import (
	"time"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

func (e *Encoder) streamRecord(r streams.Record) *peerpb.StreamRecord {
	return &peerpb.StreamRecord{
		Key: uint64(r.Key), Service: e.id(r.Service), Version: e.id(r.Version), Certain: r.Certain, Uncertain: r.Uncertain, Keep: millis(r.Keep),
		Process: &peerpb.ServerStart{Name: e.id(r.Process.Server), Incarnation: r.Process.Incarnation},
	}
}

func (e *Encoder) streamOffer(offer *core.StreamOffer) *peerpb.StreamOffer {
	out := &peerpb.StreamOffer{}
	for _, r := range offer.Records {
		out.Records = append(out.Records, e.streamRecord(r))
	}
	return out
}

func (e *Encoder) streamAnswer(a *core.StreamAnswer) *peerpb.StreamAnswer {
	out := &peerpb.StreamAnswer{Key: uint64(a.Key), Service: e.id(a.Service), Vouches: a.Vouches}
	if a.Record != nil {
		out.Record = e.streamRecord(*a.Record)
	}
	for _, version := range a.Versions {
		out.Versions = append(out.Versions, e.id(version))
	}
	return out
}

func (d *Decoder) streamRecord(in *peerpb.StreamRecord) (streams.Record, error) {
	service, err := d.name(in.Service)
	if err != nil {
		return streams.Record{}, err
	}
	version, err := d.name(in.Version)
	if err != nil {
		return streams.Record{}, err
	}
	server, err := d.name(in.GetProcess().GetName())
	if err != nil {
		return streams.Record{}, err
	}
	return streams.Record{
		Key: streams.Key(in.Key), Software: streams.Software{Service: service, Version: version}, Certain: in.Certain, Uncertain: in.Uncertain,
		Process: streams.Process{Server: server, Incarnation: in.GetProcess().GetIncarnation()},
		Keep:    time.Duration(in.Keep) * time.Millisecond,
	}, nil
}

func (d *Decoder) streamOffer(in *peerpb.StreamOffer) (*core.StreamOffer, error) {
	out := &core.StreamOffer{}
	for _, r := range in.Records {
		record, err := d.streamRecord(r)
		if err != nil {
			return nil, err
		}
		out.Records = append(out.Records, record)
	}
	return out, nil
}

func (d *Decoder) streamQuestion(in *peerpb.StreamQuestion) (*core.StreamQuestion, error) {
	service, err := d.name(in.Service)
	if err != nil {
		return nil, err
	}
	return &core.StreamQuestion{Key: streams.Key(in.Key), Service: service}, nil
}

func (d *Decoder) streamAnswer(in *peerpb.StreamAnswer) (*core.StreamAnswer, error) {
	service, err := d.name(in.Service)
	if err != nil {
		return nil, err
	}
	out := &core.StreamAnswer{Key: streams.Key(in.Key), Service: service, Vouches: in.Vouches}
	if in.Record != nil {
		record, err := d.streamRecord(in.Record)
		if err != nil {
			return nil, err
		}
		out.Record = &record
	}
	for _, id := range in.Versions {
		version, err := d.name(id)
		if err != nil {
			return nil, err
		}
		out.Versions = append(out.Versions, version)
	}
	return out, nil
}
