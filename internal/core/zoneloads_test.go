package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// Guards against an instance that knows the loads of its own zone only and takes an engine
// that other zones have filled for idle.
func TestInstancesReceiveLoadsOfAllZones(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones int }{{11, 3}, {24, 5}, {80, 4}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		f := newPeerFleet(t, size.instances, size.zones)
		f.exchangeZoneLoads()
		f.requireExactAfterTraffic()
	}
}

// Guards against missing loads of other zones. An instance that had restarted and had no
// session yet sent its row no loads of other zones, although it aggregates a part of the
// engines' loads for the row.
func TestSessionsInOneZoneMakeAllZonesExchangeLoads(t *testing.T) {
	t.Parallel()
	f := newPeerFleet(t, 24, 5)
	for _, n := range f.nodes {
		n.peers.crossZoneLoads = n.settings.Zone == "zone-0"
	}
	f.requireExactAfterTraffic()
}

// coldFleetText configures engines for requests that describe their prompts, and a plain service.
const coldFleetText = `{
  "services": [{"name": "engines", "kind": "model", "from_platform": true, "skew_bound": 2, "skew_slack": 3, "capacity": 128},
    {"name": "portal", "kind": "plain", "from_platform": true, "skew_bound": 2, "skew_slack": 3}],
  "customers": [{"name": "farm"}],
}`

const coldEngineCount, portalCount = 60, 4

// newColdEngineFleet returns a fleet in several zones whose engines have not reported any
// load yet.
func newColdEngineFleet(t *testing.T, instances, zones int) *peerFleet {
	f := newPeerFleet(t, instances, zones)
	for i := range coldEngineCount {
		f.listed = append(f.listed, membership.Member{
			Name: fmt.Sprint("engine-", i), Role: membership.RoleBackend, Version: "v1", Service: "engines", Zone: fmt.Sprint("zone-", i%zones),
			Address: "127.0.0.1:9", Incarnation: 1, State: membership.Live,
		})
	}
	for i := range portalCount {
		f.listed = append(f.listed, membership.Member{
			Name: fmt.Sprint("portal-", i), Role: membership.RoleBackend, Version: "v1", Service: "portal", Zone: fmt.Sprint("zone-", i%zones),
			Address: "127.0.0.1:9", Incarnation: 1, State: membership.Live, Slots: 6,
		})
	}
	for _, name := range f.names() {
		f.nodes[name].settings.NoPolls = true
		f.handle(name, ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "first", Text: coldFleetText}})
	}
	f.exchangeZoneLoads()
	f.run(3 * time.Second)
	return f
}

// reportToAll delivers a backend server's load report to all instances.
func (f *peerFleet) reportToAll(backend string, inFlight int) {
	for _, name := range f.names() {
		f.handle(name, BackendReported{Report: membership.Report{
			Backend: backend, Incarnation: 1, InFlight: inFlight, At: f.now, State: membership.Live,
		}})
	}
}

// sessionPreferring returns a session for which the engine ranks first.
func sessionPreferring(engine string) string {
	var names []string
	for i := range coldEngineCount {
		names = append(names, fmt.Sprint("engine-", i))
	}
	for i := 0; ; i++ {
		session := fmt.Sprint("digester-", i)
		if rendezvous.Top(rendezvous.HashPair("farm", session), names, 1)[0] == engine {
			return session
		}
	}
}

// Guards against an overloaded engine in a fleet that has just started. Requests went to
// engines with over twice the mean load: an engine that prefills one prompt after the other
// sends no answers, and so reports no load.
func TestSilentEngineStaysWithinLoadBound(t *testing.T) {
	t.Parallel()
	const mean, overload = 4, 16
	f := newColdEngineFleet(t, 80, 4)
	names := f.names()
	r := rand.New(rand.NewPCG(1, 1))
	for i := range coldEngineCount {
		requests := mean
		if i == 0 {
			requests = overload
		}
		for range requests {
			f.nodes[names[r.IntN(len(names))]].countRequestSent(fmt.Sprint("engine-", i))
		}
	}
	f.run(2 * time.Second)
	session := sessionPreferring("engine-0")
	for i := 1; i < coldEngineCount; i++ {
		f.reportToAll(fmt.Sprint("engine-", i), mean)
	}
	for _, name := range names {
		sent := f.attemptOf(name, RequestArrived{
			Request: RequestID(name), Customer: "farm", Service: "engines", Chat: session,
			Prompt: &Prompt{Tokens: 9000, Parts: []PromptPart{{ID: session, Tokens: 8500}, {ID: name, Tokens: 500}}},
		})
		require.NotEqual(t, "engine-0", sent.Backend, "%d requests there, %d at each other engine; %s estimates %.1f", overload, mean, name, sent.Selection.Load)
	}
}

// Guards against overloading a server of a plain service that hangs. It reports no load, so
// it looked idle, and all instances of a large fleet sent it requests until each of them
// alone had filled it.
func TestHungPlainServerIsFilledOnce(t *testing.T) {
	t.Parallel()
	const hung = "portal-0"
	f := newColdEngineFleet(t, 80, 4)
	names := f.names()
	for i := range portalCount {
		f.reportToAll(fmt.Sprint("portal-", i), 2)
	}
	// Four seconds at 60 requests per second. The other servers answer within a tick.
	hungRequests := 0
	for i := range 240 {
		name := names[i*37%len(names)]
		id := RequestID(fmt.Sprint("record-", i))
		sent := f.attemptOf(name, RequestArrived{Request: id, Customer: "farm", Service: "portal"})
		if sent.Backend == hung {
			hungRequests++
		} else {
			report := membership.Report{Backend: sent.Backend, Incarnation: 1, InFlight: 2, At: f.now, State: membership.Live}
			f.handle(name, AttemptEnded{Request: id, Attempt: sent.Attempt, Outcome: retry.Answered, Load: &report})
		}
		if i%3 == 2 {
			f.run(TickInterval)
		}
	}
	// Its capacity is twelve requests. Its part of half a second's requests arrives before
	// the loads do.
	require.LessOrEqual(t, hungRequests, 12+60/portalCount/2)
}
