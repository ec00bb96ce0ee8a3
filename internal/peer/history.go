package peer

import (
	"maps"
	"slices"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

func encodeHistory(h *streams.History) *peerpb.SoftwareHistory {
	out := &peerpb.SoftwareHistory{RouteTables: h.RouteTables}
	for _, service := range slices.Sorted(maps.Keys(h.Services)) {
		out.Services = append(out.Services, &peerpb.ServiceVersions{Service: service, Versions: h.Services[service]})
	}
	return out
}

func decodeHistory(in *peerpb.SoftwareHistory) *streams.History {
	h := &streams.History{Services: make(map[string][]string, len(in.Services)), RouteTables: in.RouteTables}
	for _, s := range in.Services {
		h.Services[s.Service] = s.Versions
	}
	return h
}
