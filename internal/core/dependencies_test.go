package core_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// TestLayeredDependencies uses a configuration in which every service of a layer depends on
// every service of the next one.
//
// It guards against a dependency check that hangs the instance: following each path to its
// end visits 3 to the power of 40 services, although there are only 121. The configuration
// has no cycle and is valid.
func TestLayeredDependencies(t *testing.T) {
	const layers, width = 40, 3
	text := config.Text{Customers: []config.Customer{{Name: "c1"}}}
	add := func(name string, needs []string) {
		address := fmt.Sprintf("10.0.0.1:%d", 8000+len(text.Services))
		text.Services = append(text.Services, config.Service{
			Name: name, Kind: config.Plain, DependsOn: needs,
			BackendServers: []config.BackendServer{{Name: "b-" + name, Address: address, Zone: "a"}},
		})
	}
	var below []string
	for layer := range layers {
		var names []string
		for i := range width {
			names = append(names, fmt.Sprintf("s-%d-%d", layer, i))
			add(names[i], below)
		}
		below = names
	}
	add("top", below)
	encoded, err := json.Marshal(text)
	require.NoError(t, err)

	n := core.New(core.Settings{Name: "entry-1", Zone: "a"})
	now := time.Unix(1_700_000_000, 0)
	n.Handle(now, core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "e", Text: string(encoded)}})
	effects := n.Handle(now, core.RequestArrived{Request: "r1", Customer: "c1", Service: "top"})
	require.IsType(t, core.SendAttempt{}, effects[len(effects)-1])

	// Without a backend server in the bottom layer, every service above it is refused at
	// once.
	text.Services[0].BackendServers, text.Services[0].FromPlatform = nil, true
	encoded, err = json.Marshal(text)
	require.NoError(t, err)
	n.Handle(now, core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "e", Text: string(encoded)}})
	require.Equal(t, reason.DependencyUnavailable, n.Explain(core.ExplainQuery{Service: "top", Customer: "c1"}).Refused)
}
