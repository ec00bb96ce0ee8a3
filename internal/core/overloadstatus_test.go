package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/overloadstats"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// sendThirty sends requests of two customers, and returns the attempts and the refusals by reason.
func sendThirty(t *testing.T, node *core.Node) ([]*core.SendAttempt, map[reason.Reason]int) {
	t.Helper()
	counts := make(map[reason.Reason]int)
	var attempts []*core.SendAttempt
	for i := range 30 {
		customer := "branch"
		if i%5 == 0 {
			customer = "limited"
		}
		attempt, refused := sendRequest(t, node, start, core.RequestArrived{Request: core.RequestID(fmt.Sprint(i)), Customer: customer})
		if refused != nil {
			counts[refused.Reason]++
			continue
		}
		attempts = append(attempts, attempt)
	}
	return attempts, counts
}

// Guards against an operator who cannot tell from the log, the metrics and the status that a service refuses requests, which and why.
func TestRefusalsForLackOfRoomAreShown(t *testing.T) {
	node := newPlacementNode(t, 2, 4, config.Customer{Name: "branch"}, config.Customer{Name: "limited", MaxInFlight: 1})
	attempts, counts := sendThirty(t, node)
	now := start
	require.Positive(t, counts[reason.Saturated]+counts[reason.CustomerShare])
	require.Positive(t, counts[reason.CustomerLimit])

	lines := effectsOf[core.StateChanged](node.Handle(now, core.Ticked{}))
	require.Len(t, lines, 1)
	require.Equal(t, core.SubjectService, lines[0].Subject)
	require.Equal(t, "underwriting", lines[0].Name)
	require.Equal(t, "overloaded", lines[0].State)
	require.Contains(t, lines[0].Cause, fmt.Sprintf("load %d.0 of 8 at 2 servers", len(attempts)))
	require.Contains(t, lines[0].Cause, fmt.Sprintf("level -1: %d sent, %d refused", len(attempts), 30-len(attempts)))

	shown := node.Status().Services[0].Overload
	require.True(t, shown.Overloaded)
	require.Equal(t, []status.Level{{Level: -1, Admitted: len(attempts), Refused: 30 - len(attempts)}}, shown.Levels)
	metrics := node.OverloadMetrics()
	for why, count := range counts {
		require.Contains(t, lines[0].Cause, fmt.Sprintf(" %d %s", count, why))
		require.Contains(t, shown.Refused, status.Refused{Reason: why, Count: count})
		key := overloadstats.RefusalKey{Service: "underwriting", Level: overloadstats.NoLevel, Reason: why}
		require.EqualValues(t, count, metrics.Refused[key])
	}
	require.Equal(t, overloadstats.Counts{Admitted: 1, Refused: 5}, metrics.Customers["limited"])
	require.True(t, metrics.Overloaded["underwriting"])

	for _, a := range attempts {
		node.Handle(now, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: retry.Answered})
	}
	lines = nil
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		lines = append(lines, effectsOf[core.StateChanged](node.Handle(now, core.Ticked{}))...)
	}
	lines = slices.DeleteFunc(lines, func(e core.StateChanged) bool { return e.Subject != core.SubjectService })
	require.Len(t, lines, 1)
	require.Equal(t, "overload ended", lines[0].State)
	require.Contains(t, lines[0].Cause, "load 0.0 of 8 at 2 servers, without a report")
	require.Contains(t, lines[0].Cause, "the state before lasted 3s")
}

// Guards against the names of callers that are not in the configuration in the metrics, of which there can be any number.
func TestUnknownCustomersHaveNoRows(t *testing.T) {
	node := newPlacementNode(t, 2, 4)
	for i := range 50 {
		_, refused := sendRequest(t, node, start, core.RequestArrived{Request: core.RequestID(fmt.Sprint(i)), Customer: fmt.Sprint("stranger-", i)})
		require.Equal(t, reason.UnknownCustomer, refused.Reason)
	}
	require.Equal(t, map[string]overloadstats.Counts{"": {Refused: 50}}, node.OverloadMetrics().Customers)
}

// Guards against waits in the engines' queues that are seen only once requests are refused for them.
func TestWaitsAreShownByLevel(t *testing.T) {
	r := newNodeDriver(t, 6)
	sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/review/1", "key-1"))
	r.advance(700 * time.Millisecond)
	r.handle(core.AnswerStarted{Request: sent.Request, Attempt: sent.Attempt})
	key := overloadstats.LevelKey{Service: "engines", Level: overloadstats.Level(sent.Priority)}
	wait := r.node.OverloadMetrics().Waits[key]
	require.Greater(t, wait, 200*time.Millisecond)
	for _, s := range r.node.Status().Services {
		if s.Name == "engines" {
			require.Equal(t, []status.Level{{Level: sent.Priority, Wait: wait, Admitted: 1}}, s.Overload.Levels)
		}
	}
	r.advance(2 * time.Second)
	require.Empty(t, r.node.OverloadMetrics().Waits, "an old wait says nothing")
}

// leaveZone lets all servers of a zone report that they leave.
func (r *nodeDriver) leaveZone(zone string) {
	for _, s := range r.node.Status().Services {
		for _, b := range s.Backends {
			if b.Zone == zone {
				r.handle(core.BackendReported{Report: membership.Report{Backend: b.Name, Incarnation: 1, At: r.now, State: membership.Leaving}})
			}
		}
	}
}

// Guards against traffic between zones of which an operator cannot tell whether servers in the zone would avoid it.
func TestPlacementsOutsideTheZoneHaveReasons(t *testing.T) {
	progress := func(r *nodeDriver) { r.sendRequest("/progress/x", "key-1") }
	tests := []struct {
		name string
		want overloadstats.OutOfZone
		run  func(t *testing.T) *nodeDriver
	}{
		{"region", overloadstats.RegionOnly, func(t *testing.T) *nodeDriver {
			r := newRegionDriver(t, 6, onlyIn("south"))
			progress(r)
			return r
		}},
		{"evacuated", overloadstats.ZoneEvacuated, func(t *testing.T) *nodeDriver {
			r := newNodeDriver(t, 6)
			r.evacuate(1, "zone-0")
			progress(r)
			return r
		}},
		{"no server", overloadstats.NoServer, func(t *testing.T) *nodeDriver {
			r := newNodeDriver(t, 6)
			r.leaveZone("zone-0")
			progress(r)
			return r
		}},
		{"next attempt", overloadstats.NextAttempt, func(t *testing.T) *nodeDriver {
			r := newNodeDriver(t, 3)
			first := onlyEffect[core.SendAttempt](t, r.sendRequest("/progress/x", "key-1"))
			require.Equal(t, "zone-0", first.Zone)
			r.endAttempt(first, retry.Refused)
			return r
		}},
		{"session", overloadstats.Session, func(t *testing.T) *nodeDriver {
			r := newNodeDriver(t, 6)
			for i := range 20 {
				r.sendReview(fmt.Sprint("dossier-", i))
			}
			return r
		}},
		{"zone full", overloadstats.ZoneFull, func(t *testing.T) *nodeDriver {
			r := newNodeDriver(t, 3)
			for range 60 {
				progress(r)
			}
			return r
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := tt.run(t)
			placements := r.node.OverloadMetrics().Placements
			require.Len(t, placements, 1)
			for key, count := range placements {
				require.Equal(t, tt.want, key.Why)
				require.Positive(t, count)
			}
		})
	}
}

// Guards against metrics that grow with the servers, and against a slow server that an operator does not find.
func TestSlowestServersAreShown(t *testing.T) {
	node := newPlacementNode(t, 890, 4)
	for i := range 890 {
		report := membership.Report{Backend: fmt.Sprintf("engine-%03d", i), Incarnation: 1, At: start, State: membership.Live, WorkTime: 80 + i%200}
		if i == 500 {
			report.WorkTime = 420
		}
		node.Handle(start, core.AnswerStarted{Load: &report})
	}
	slow := node.OverloadMetrics().Slow
	require.Len(t, slow, overloadstats.MaxSlowServers)
	require.Equal(t, core.SlowServer{Service: "underwriting", Server: "engine-500", Slowness: 4.2, Basis: status.SlownessReported}, slow[0])
	for _, b := range node.Status().Services[0].Backends {
		switch b.Name {
		case "engine-500":
			require.InDelta(t, 4.2, b.Slowness, 1e-9)
		case "engine-000":
			require.Zero(t, b.Slowness, "a server that claims to be fast is taken as usual")
		}
	}
	node.Handle(start.Add(500*time.Millisecond), core.Ticked{})
	require.Equal(t, status.SlownessFading, node.OverloadMetrics().Slow[0].Basis)
}

// Guards against a log that is flooded when a service of a whole fleet is overloaded for seconds: twelve instances before a plain
// service with 3.5 times the traffic.
func TestOverloadedFleetLogsFewLines(t *testing.T) {
	const length = 8 * time.Second
	f := newUnevenFleet(77, 12, 3)
	type line struct{ instance, state string }
	at := make(map[line][]time.Time)
	f.onChange = func(m *fakeInstance, e core.StateChanged) {
		if e.Subject == core.SubjectService {
			key := line{m.name, e.State}
			at[key] = append(at[key], f.now)
		}
	}
	f.send(unevenRate*7/2, length, []float64{0.34, 0.33, 0.33})
	f.run(length + 5*time.Second)
	for _, m := range f.instances {
		begun, ended := at[line{m.name, "overloaded"}], at[line{m.name, "overload ended"}]
		require.NotEmpty(t, begun, m.name)
		require.Len(t, ended, len(begun), m.name)
		for i := range begun {
			require.GreaterOrEqual(t, ended[i].Sub(begun[i]), 3*time.Second, m.name)
			if i > 0 {
				require.GreaterOrEqual(t, begun[i].Sub(begun[i-1]), time.Second, m.name)
			}
		}
	}
}
