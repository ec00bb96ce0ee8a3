package core_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

const statusConfig = `{
"services": [{"name": "llm", "kind": "model", "backend_servers": [
{"name": "e1", "address": "10.0.0.1:80", "zone": "a"}, {"name": "e2", "address": "10.0.0.2:80", "zone": "a"}]}],
"customers": [{"name": "c1"}]}`

// TestStatusDuringPlatformOutage checks the status when calls to the platform succeed, then
// fail, then succeed again. Since must be the start of the outage, not the time of the last
// failed call, and the configuration must stay in force.
func TestStatusDuringPlatformOutage(t *testing.T) {
	n := core.New(core.Settings{Name: "entry-1", Zone: "a"})
	start := time.Unix(1_700_000_000, 0).UTC()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	require.False(t, n.Status().Platform.Known)

	n.Handle(at(0), core.ConfigOffered{Envelope: config.Envelope{Generation: 4, Edit: "e", Text: statusConfig}})
	n.Handle(at(1), core.StoreReplied{Op: 1, Status: core.StoreOK})
	require.Equal(t, status.Platform{Known: true, Reachable: true, Since: at(1), LastCall: at(1)}, n.Status().Platform)
	n.Handle(at(2), core.StoreReplied{Op: 2, Status: core.StoreUnknown})
	n.Handle(at(9), core.InstancesListed{Op: 3, Failed: true})
	s := n.Status()
	require.Equal(t, status.Platform{Known: true, Since: at(2), LastCall: at(9)}, s.Platform)
	require.Equal(t, uint64(4), s.Generation)
	n.Handle(at(10), core.StoreReplied{Op: 4, Status: core.StoreUnchanged})
	require.Equal(t, at(10), n.Status().Platform.Since)
}

// TestExplainAgreesWithPlacement checks that Explain and the placement of the same request
// select the same backend server.
func TestExplainAgreesWithPlacement(t *testing.T) {
	n := core.New(core.Settings{Name: "entry-1", Zone: "a"})
	now := time.Unix(1_700_000_000, 0)
	require.Equal(t, reason.NoConfiguration, n.Explain(core.ExplainQuery{Service: "llm"}).Refused)
	n.Handle(now, core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "e", Text: statusConfig}})
	require.Equal(t, reason.UnknownService, n.Explain(core.ExplainQuery{Service: "x"}).Refused)
	require.Equal(t, reason.UnknownCustomer, n.Explain(core.ExplainQuery{Service: "llm", Customer: "x"}).Refused)

	for _, chat := range []string{"one", "two", "three", "four"} {
		x := n.Explain(core.ExplainQuery{Service: "llm", Customer: "c1", Chat: chat})
		require.Len(t, x.Ranking, 2)
		effects := n.Handle(now, core.RequestArrived{Request: core.RequestID(chat), Customer: "c1", Service: "llm", Chat: chat})
		require.Equal(t, x.Chosen, effects[0].(core.SendAttempt).Backend)
	}
	require.Equal(t, 4, n.Status().InFlight)
	require.InDelta(t, 2, n.Status().Services[0].Mean, 0)
}

// BenchmarkStatus measures Status at the fleet size expected in two years. Status runs on
// the core's goroutine and delays decisions.
func BenchmarkStatus(b *testing.B) {
	const backends, entries = 890, 350
	now := time.Unix(1_700_000_000, 0)
	text := config.Text{
		Services:  []config.Service{{Name: "llm", Kind: config.Model}},
		Customers: []config.Customer{{Name: "c1"}},
	}
	for i := range backends {
		text.Services[0].BackendServers = append(text.Services[0].BackendServers, config.BackendServer{
			Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, 1+i%250), Zone: "a",
		})
	}
	encoded, err := json.Marshal(text)
	require.NoError(b, err)
	n := core.New(core.Settings{Name: "entry-1", Zone: "a"})
	n.Handle(now, core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "e", Text: string(encoded)}})
	for i := range entries {
		digest := &core.Digest{Generation: 1}
		n.Handle(now, core.PeerReceived{From: fmt.Sprintf("entry-%d", i+2), Message: core.PeerMessage{Digest: digest}})
	}
	for b.Loop() {
		if s := n.Status(); len(s.Services[0].Backends) != backends {
			b.Fatal(len(s.Services[0].Backends))
		}
	}
}
