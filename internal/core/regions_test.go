package core_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// twoRegions are the regions of the drivers' zones. The instance under test is in zone-0. The region of zone-2 is not known.
var twoRegions = core.Settings{Region: "north", Zones: map[string]string{"zone-0": "north", "zone-1": "south"}}

// regionsOf are the regions that a test's routes and customer name, by path prefix and for the customer.
type regionsOf struct {
	routes   map[string][]string
	customer []string
}

// addRegions returns a configuration whose routes and customer name regions.
func addRegions(t *testing.T, text string, named regionsOf) string {
	t.Helper()
	list := func(names []string) string {
		if names == nil {
			return ""
		}
		encoded, err := json.Marshal(names)
		require.NoError(t, err)
		return fmt.Sprintf(`"regions": %s, `, encoded)
	}
	for prefix, names := range named.routes {
		old := fmt.Sprintf(`"prefix": %q, `, prefix)
		require.Contains(t, text, old)
		text = strings.Replace(text, old, old+list(names), 1)
	}
	const customer = `{"name": "bakery", `
	require.Contains(t, text, customer)
	return strings.Replace(text, customer, customer+list(named.customer), 1)
}

// newRegionDriver returns a driver with n servers of each service in three zones, and a configuration that names regions.
func newRegionDriver(t *testing.T, n int, named regionsOf) *nodeDriver {
	t.Helper()
	r := newNodeDriverWith(t, n, twoRegions)
	r.nameRegions(2, named)
	return r
}

// nameRegions puts a configuration into force whose routes and customer name regions.
func (r *nodeDriver) nameRegions(generation uint64, named regionsOf) []core.Effect {
	r.t.Helper()
	text := addRegions(r.t, routesConfig, named)
	effects := r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: generation, Edit: fmt.Sprint("regions-", generation), Text: text}})
	require.Empty(r.t, effectsOf[core.ConfigRefused](effects))
	return effects
}

// zoneOfServer returns the zone of a server by its name, as entry assigns it.
func zoneOfServer(name string) string {
	var i int
	if _, err := fmt.Sscanf(name[strings.LastIndexByte(name, '-')+1:], "%d", &i); err != nil {
		return ""
	}
	return fmt.Sprintf("zone-%d", i%3)
}

// onlyIn is a configuration whose streams and plain requests may be processed in one region.
func onlyIn(region string) regionsOf {
	list := []string{region}
	return regionsOf{routes: map[string][]string{"/question/": list, "/progress/": list, "/review/": list, "/record/": list}}
}

var regionCases = []struct {
	name  string
	named regionsOf
	// zone is the only one that is allowed, "" if none is.
	zone string
}{
	{"the route names the own region", onlyIn("north"), "zone-0"},
	{"the route names the other region", onlyIn("south"), "zone-1"},
	{"the customer names the other region", regionsOf{customer: []string{"south"}}, "zone-1"},
	{"route and customer have one in common", regionsOf{map[string][]string{
		"/question/": {"north", "south"}, "/progress/": {"south", "north"}, "/review/": {"north", "south"}, "/record/": {"north", "south"},
	}, []string{"south", "west"}}, "zone-1"},
	{"route and customer have none in common", regionsOf{onlyIn("north").routes, []string{"south"}}, ""},
	{"a region of no zone", onlyIn("west"), ""},
}

// Guards against first attempts, retries and hedges outside the regions that a route or its customer names, also when all servers
// there have failed.
func TestAttemptsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	for _, tt := range regionCases {
		for _, outcome := range []retry.Outcome{retry.Refused, retry.NotSent, retry.Unknown} {
			t.Run(fmt.Sprintf("%s, %s", tt.name, outcome), func(t *testing.T) {
				t.Parallel()
				r := newRegionDriver(t, 6, tt.named)
				for _, path := range []string{"/question/x", "/progress/x", "/review/x", "/record/x"} {
					effects := r.sendRequest(path, "key-1")
					if tt.zone == "" {
						requireRefused(t, effects, reason.NoRegion)
						continue
					}
					count := 0
					for sent := effectsOf[core.SendAttempt](effects); len(sent) > 0; sent = effectsOf[core.SendAttempt](effects) {
						require.Equal(t, tt.zone, sent[0].Zone)
						require.Equal(t, tt.zone, zoneOfServer(sent[0].Backend))
						effects = r.endAttempt(sent[0], outcome)
						count++
					}
					require.Positive(t, count)
				}
			})
		}
	}
}

// Guards against hedges, and streams that go on at another server, outside the regions.
func TestHedgesAndBrokenStreamsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	for _, region := range []string{"north", "south"} {
		zone := map[string]string{"north": "zone-0", "south": "zone-1"}[region]
		r := newRegionDriver(t, 12, onlyIn(region))
		for range 3 {
			first := r.begin()
			hedge := onlyEffect[core.SendAttempt](t, r.silent(first, "3"))
			require.True(t, hedge.Hedge)
			require.Equal(t, zone, hedge.Zone)
			r.endAttempt(hedge, retry.Answered)

			broken := r.begin()
			require.Equal(t, zone, broken.Zone)
			out := r.handle(core.AttemptEnded{Request: broken.Request, Attempt: broken.Attempt, Outcome: retry.Broken, LastEventID: "4"})
			next := onlyEffect[core.SendAttempt](t, out)
			require.Equal(t, "4", next.ResumeAfter)
			require.Equal(t, zone, next.Zone)
			r.endAttempt(next, retry.Answered)
		}
		// One server in the region: nothing is left beside it.
		alone := newRegionDriver(t, 3, onlyIn(region))
		first := alone.begin()
		require.Equal(t, zone, first.Zone)
		requireGoesOn(t, alone.silent(first, "3"))
	}
}

// Guards against a caller that continues its stream at a server outside the regions, of which the fleet knows the version there.
func TestContinuedStreamsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	r := newNodeDriverWith(t, 6, twoRegions)
	first := r.beginStream("a")
	r.nameRegions(2, onlyIn("south"))
	for range 10 {
		sent := onlyEffect[core.SendAttempt](t, r.sendStream("b", "key-1", after("a")))
		require.Equal(t, "zone-1", sent.Zone)
		r.endAttempt(sent, retry.Answered)
	}
	require.NotEmpty(t, first.Backend)

	// The version that began the stream runs in other zones only.
	mixed := newNodeDriverWith(t, 6, twoRegions)
	mixed.putEngine(1, 201, membership.Live, "v2")
	mixed.putEngine(4, 202, membership.Live, "v2")
	mixed.advance(6 * time.Second)
	old := mixed.beginStream("c")
	require.Equal(t, "v1", old.Version)
	mixed.nameRegions(2, onlyIn("south"))
	requireRefused(t, mixed.sendStream("d", "key-1", after("c")), reason.StreamVersionGone)
}

// Guards against a placement hint that leads outside the regions: the chat's earlier turn was on a route without any, or before a
// change.
func TestHintsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	r := newNodeDriverWith(t, 12, twoRegions)
	turn := func(hint string) core.SendAttempt {
		r.sent++
		return onlyEffect[core.SendAttempt](t, r.handle(core.RequestArrived{
			Request: core.RequestID(fmt.Sprint("turn-", r.sent)), Host: "h.example", Path: "/review/x", APIKey: "key-1", Chat: "chat", Hint: hint,
		}))
	}
	before := turn("")
	r.endAttempt(before, retry.Answered)
	again := turn(before.Placement)
	require.Equal(t, before.Backend, again.Backend, "the hint is valid")
	r.endAttempt(again, retry.Answered)
	other := map[string]string{"zone-0": "south", "zone-1": "north", "zone-2": "north"}[before.Zone]
	r.nameRegions(2, onlyIn(other))
	after := turn(before.Placement)
	require.NotEqual(t, before.Zone, after.Zone)
}

// Guards against a restriction of requests that name no region.
func TestRequestsThatNameNoRegionGoAnywhere(t *testing.T) {
	t.Parallel()
	for name, named := range map[string]regionsOf{
		"no list":       {},
		"another route": {routes: map[string][]string{"/question/": {"south"}}},
	} {
		r := newRegionDriver(t, 6, named)
		zones := make(map[string]bool)
		for i := range 60 {
			sent := r.sendReview(fmt.Sprint("dossier-", i))
			zones[sent.Zone] = true
			r.endAttempt(sent, retry.Answered)
		}
		require.Len(t, zones, 3, name)
	}
}

// Guards against requests that may go anywhere once the last region is taken out of a list, because an empty list is read as none.
func TestEmptyListOfRegionsAllowsNone(t *testing.T) {
	t.Parallel()
	for name, named := range map[string]regionsOf{
		"of the route":    {routes: map[string][]string{"/review/": {}}},
		"of the customer": {customer: []string{}},
		"of both":         {routes: map[string][]string{"/review/": {}}, customer: []string{}},
		"of one of both":  {routes: map[string][]string{"/review/": {"north"}}, customer: []string{}},
	} {
		r := newRegionDriver(t, 6, named)
		require.Equal(t, reason.NoRegion, onlyEffect[core.Finish](t, r.sendRequest("/review/x", "key-1")).Reason, name)
	}
}

// Guards against a region reason for a service that has no server at all, or one whose servers are full, and against a region without
// a server of the service that is served elsewhere.
func TestRefusalsNameTheRightReason(t *testing.T) {
	t.Parallel()
	r := newRegionDriver(t, 1, onlyIn("south")) // the only servers are in zone-0
	requireRefused(t, r.sendRequest("/progress/x", "key-1"), reason.NoRegion)
	requireRefused(t, r.sendRequest("/question/x", "key-1"), reason.NoRegion)
	none := newRegionDriver(t, 0, onlyIn("south"))
	requireRefused(t, none.sendRequest("/progress/x", "key-1"), reason.NoBackend)
	full := newRegionDriver(t, 2, onlyIn("south"))
	for range 500 {
		effects := full.sendRequest("/progress/x", "key-1")
		if ends := effectsOf[core.Finish](effects); len(ends) > 0 {
			require.Equal(t, reason.Saturated, ends[0].Reason)
			return
		}
		require.Equal(t, "zone-1", onlyEffect[core.SendAttempt](t, effects).Zone)
	}
	t.Fatal("the servers have no end of room")
}

// Guards against a restricted service that is refused although its servers have room, because the mean counts the idle servers
// elsewhere.
func TestRegionalLoadIsComparedWithinTheRegion(t *testing.T) {
	t.Parallel()
	r := newRegionDriver(t, 30, onlyIn("south")) // ten servers in zone-1, with room for 12 each
	for i := range 120 {
		require.Len(t, effectsOf[core.SendAttempt](r.sendRequest("/question/x", "key-1")), 1, "request %d", i)
	}
}

// Guards against a claim that is written, or a stream looked up, for a request that no region is left for.
func TestNoRegionIsFoundBeforeAnythingElse(t *testing.T) {
	t.Parallel()
	for servers, region := range map[int]string{6: "west", 1: "south"} {
		r := newRegionDriver(t, servers, onlyIn(region))
		effects := r.handle(core.RequestArrived{Request: "once", Host: "h.example", Path: "/record/x", APIKey: "key-1", NonIdempotent: true, Key: "k"})
		requireRefused(t, effects, reason.NoRegion)
		require.Empty(t, effectsOf[core.SendPeer](effects))
		require.Empty(t, effectsOf[core.StoreGet](effects))
	}
	r := newRegionDriver(t, 6, onlyIn("west"))
	r.listInstances(13)
	for i := range 12 {
		r.handle(core.PeerConnected{Peer: fmt.Sprintf("entry-%d", i+1), Incarnation: 1})
	}
	requireRefused(t, r.sendStream("b", "key-1", after("a")), reason.NoRegion)
}

// Guards against a request that leaves its regions because a server moved, or because the configuration changed while it ran.
func TestChangesBeneathARestrictedRequest(t *testing.T) {
	t.Parallel()
	r := newRegionDriver(t, 6, onlyIn("south"))
	sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/progress/x", "key-1"))
	require.Equal(t, "zone-1", sent.Zone)
	r.nameRegions(3, regionsOf{})
	again := onlyEffect[core.SendAttempt](t, r.endAttempt(sent, retry.Refused))
	require.Equal(t, "zone-1", again.Zone, "it keeps what it was admitted with")

	moved := newRegionDriver(t, 2, onlyIn("south"))
	e := entry("portal", "portal", 1, 200)
	e.Backend.Zone, e.Backend.Incarnation = "zone-0", 200
	moved.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{
		EntriesOffer: &core.EntriesOffer{From: 199, To: 200, Entries: []entries.Entry{e}},
	}})
	moved.advance(2 * time.Second)
	for _, sent := range effectsOf[core.SendAttempt](moved.sendRequest("/progress/x", "key-1")) {
		t.Fatalf("sent to %s", sent.Backend)
	}
}

// Guards against unknown names that are passed over in silence, or that flood the log.
func TestUnknownRegionsAreReportedOnce(t *testing.T) {
	t.Parallel()
	s := twoRegions
	s.Region = "south"
	r := newNodeDriverWith(t, 6, s)
	effects := r.nameRegions(2, regionsOf{routes: map[string][]string{"/question/": {"west", "north"}}, customer: []string{"east"}})
	var states []string
	for _, e := range effectsOf[core.StateChanged](effects) {
		states = append(states, fmt.Sprint(e.Subject, " ", e.Names, " ", e.State))
	}
	slices.Sort(states)
	require.Equal(t, []string{"region [east west] unknown", "zone [zone-0] region differs", "zone [zone-2] without region"}, states)
	counted := make(map[string]int)
	for _, e := range effectsOf[core.Counted](effects) {
		if e.Counter == "regions" {
			counted[e.Label] += e.N
		}
	}
	require.Equal(t, map[string]int{"unknown-region": 2, "unknown-zone": 1, "conflict": 1}, counted)
	effects = r.nameRegions(3, regionsOf{customer: []string{"east"}})
	late := entry("engine", "engines", 8, 201) // in zone-2
	effects = append(effects, r.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{
		EntriesOffer: &core.EntriesOffer{From: 200, To: 201, Entries: []entries.Entry{late}},
	}})...)
	for _, e := range effectsOf[core.StateChanged](append(effects, r.advance(2*time.Second)...)) {
		require.NotContains(t, []string{"unknown", "without region", "region differs"}, e.State)
	}
	require.Empty(t, reported(newNodeDriverWith(t, 6, twoRegions).nameRegions(2, regionsOf{})), "nothing names a region")
}

func reported(effects []core.Effect) []core.StateChanged {
	return slices.DeleteFunc(effectsOf[core.StateChanged](effects), func(e core.StateChanged) bool {
		return e.Subject != core.SubjectRegion && e.Subject != core.SubjectZone
	})
}

// Guards against a status page that names a server outside the customer's regions.
func TestExplainKeepsToRegions(t *testing.T) {
	t.Parallel()
	r := newRegionDriver(t, 6, regionsOf{customer: []string{"south"}})
	x := r.node.Explain(core.ExplainQuery{Service: "engines", Customer: "bakery", Chat: "c"})
	require.Equal(t, "zone-1", zoneOfServer(x.Chosen))
	outside := 0
	for _, b := range x.Ranking {
		if strings.Contains(b.Why, "outside the customer's regions") {
			outside++
			require.NotEqual(t, "zone-1", zoneOfServer(b.Name))
		}
	}
	require.Equal(t, 4, outside)
	require.NotEqual(t, membership.Gone, x.Refused)
}

// Guards against a trial of a blocked request outside the regions: it goes to the server with the lowest load.
func TestTrialsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	r := newRegionDriver(t, 12, onlyIn("south"))
	send := func() []core.Effect {
		r.sent++
		return r.handle(core.RequestArrived{
			Request: core.RequestID(fmt.Sprint("ends-", r.sent)), Host: "h.example", Path: "/question/x", APIKey: "key-1", Content: 77,
		})
	}
	for range 20 {
		require.Equal(t, "zone-1", r.begin().Zone, "the servers of the region have the highest loads")
	}
	blocked, tried := false, false
	for range 900 {
		effects := send()
		for sent := effectsOf[core.SendAttempt](effects); len(sent) > 0; sent = effectsOf[core.SendAttempt](effects) {
			require.Equal(t, "zone-1", sent[0].Zone)
			tried = tried || blocked
			effects = r.handle(core.AttemptEnded{Request: sent[0].Request, Attempt: sent[0].Attempt, Outcome: retry.Unknown, ServerEnded: true})
		}
		blocked = blocked || onlyEffect[core.Finish](t, effects).Reason == reason.PoisonRequest
		if tried {
			return
		}
		r.advance(time.Second)
	}
	require.True(t, tried, "blocked: %v", blocked)
}
