package peer

import (
	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
)

func (e *Encoder) permit(m *core.PermitMessage) *peerpb.Permit {
	return &peerpb.Permit{Action: peerpb.PermitAction(m.Action), Server: e.id(m.Server), Token: m.Token}
}

// permit decodes a message about a permit. An unknown action is passed on, and ignored by the core.
func (d *Decoder) permit(in *peerpb.Permit) (*core.PermitMessage, error) {
	server, err := d.name(in.Server)
	if err != nil {
		return nil, err
	}
	return &core.PermitMessage{Action: core.PermitAction(in.Action), Server: server, Token: in.Token}, nil
}

func (e *Encoder) restarts(list []core.Restart) []*peerpb.Restart {
	var out []*peerpb.Restart
	for _, r := range list {
		out = append(out, &peerpb.Restart{Backend: e.id(r.Backend), Age: millis(r.Age)})
	}
	return out
}

func (d *Decoder) restarts(out *core.Digest, in *peerpb.Digest) error {
	for _, r := range in.Restarts {
		backend, err := d.name(r.Backend)
		if err != nil {
			return err
		}
		out.Restarts = append(out.Restarts, core.Restart{Backend: backend, Age: duration(r.Age)})
	}
	return nil
}
