package peer

import (
	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
)

func (e *Encoder) evacuations(set *core.Evacuations) *peerpb.Evacuations {
	if set == nil {
		return nil
	}
	out := &peerpb.Evacuations{}
	for _, z := range set.Zones {
		out.Zones = append(out.Zones, &peerpb.Evacuation{Zone: e.id(z.Name), Revision: z.Revision})
	}
	return out
}

func (d *Decoder) evacuations(out *core.Digest, in *peerpb.Digest) error {
	if in.Evacuations == nil {
		return nil
	}
	out.Evacuations = &core.Evacuations{}
	for _, z := range in.Evacuations.Zones {
		name, err := d.name(z.Zone)
		if err != nil {
			return err
		}
		out.Evacuations.Zones = append(out.Evacuations.Zones, evacuation.Zone{Name: name, Revision: z.Revision})
	}
	return nil
}
