package core_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Guards against overloaded servers in a fleet too large for a full mesh. An instance that
// ranked chats over all zones filled servers whose load it received late: the busiest one
// reached 1.32 times the mean. Chats must stay in the instance's zone while it has servers,
// and go to other zones when it has none. In a small fleet all zones form one pool.
func TestChatsStayInZoneInMultiHopFleet(t *testing.T) {
	for _, c := range []struct {
		entries  int
		multiHop bool
	}{{10, false}, {12, true}} {
		list := liveEngines(6)
		for i := range list {
			list[i].Zone = []string{"z", "other"}[i%2]
		}
		for i := range c.entries {
			list = append(list, membership.Member{
				Name: fmt.Sprintf("entry-%d", i), Role: membership.RoleInstance, Zone: []string{"z", "other"}[i%2],
				Address: "127.0.0.1:1", Incarnation: 1, State: membership.Live,
			})
		}
		s := newNodeHarness(t, list)
		s.advance(time.Second)
		near, far := 0, 0
		for backend, n := range s.countByBackend("underwriting") {
			if backend == "engine-0" || backend == "engine-2" || backend == "engine-4" {
				near += n
			} else {
				far += n
			}
		}
		require.Positive(t, near)
		require.Equal(t, c.multiHop, far == 0, "%d instances: %d chats in the own zone, %d in the other", c.entries, near, far)

		for i := range 3 {
			s.handle(core.BackendReported{Report: membership.Report{
				Backend: fmt.Sprint("engine-", 2*i), Incarnation: 1, State: membership.Leaving,
			}})
		}
		_, backend := s.send("underwriting")
		require.NotEmpty(t, backend, "the other zone still serves")
	}
}

// Guards against refusals that are based on an outdated report. Each server of the plain
// service reported for a while that it was full, but its requests take only milliseconds. An
// instance that receives a third of the fleet's loads kept that report as the load of the
// other zones and refused every request for seconds.
func TestPlainServiceRecoversFromStaleFullReport(t *testing.T) {
	r := newNodeDriver(t, 3)
	r.listInstances(12)
	for range 8 {
		r.advance(200 * time.Millisecond)
		for i := range 3 {
			r.handle(core.BackendReported{Report: membership.Report{
				Backend: fmt.Sprint("portal-", i), Incarnation: 1, InFlight: 16, At: r.now, State: membership.Live,
			}})
		}
	}
	refused := onlyEffect[core.Finish](t, r.sendRequest("/record/7", "key-1"))
	require.Equal(t, reason.Saturated, refused.Reason, "all servers are full")
	// The route's timeout is 800 ms, and its answers are on time for 300 ms.
	require.Less(t, refused.RetryAfter, 310*time.Millisecond)

	r.advance(time.Second)
	onlyEffect[core.SendAttempt](t, r.sendRequest("/record/7", "key-1"))
}

// Guards against an infinite limit in JSON. Averaged loads of a plain service have no limits,
// so the log line of the attempt contained an error in place of the limit, and the explain
// command failed.
func TestAttemptWithoutLimitEncodesToJSON(t *testing.T) {
	r := newNodeDriver(t, 3)
	r.listInstances(12)
	r.handle(core.BackendReported{Report: membership.Report{
		Backend: "portal-0", Incarnation: 1, InFlight: 2, At: r.now, State: membership.Live,
	}})
	sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/record/7", "key-1"))
	_, err := json.Marshal(sent)
	require.NoError(t, err)
	_, err = json.Marshal(r.node.Explain(core.ExplainQuery{Service: "portal", Customer: "bakery"}))
	require.NoError(t, err)
}

// Guards against a misleading log line. When requests concentrated on an engine, the attempt's
// line showed the mean over the engines of the own zone, on which no decision had been based,
// and did not show from which requests the load was computed.
func TestAttemptReportsLoadParts(t *testing.T) {
	r := newNodeDriver(t, 4)
	r.listInstances(12)
	preferred := r.sendReview("dossier").Backend
	for i := range 4 {
		r.handle(core.BackendReported{Report: membership.Report{
			Backend: fmt.Sprint("engine-", i), Incarnation: 1, InFlight: 4, At: r.now, State: membership.Live,
		}})
	}
	basis := r.sendReview("dossier").Selection
	require.Equal(t, preferred, r.sendReview("dossier").Backend)
	require.Equal(t, load.Parts{Own: 1, Unseen: 3}, basis.Parts)
	require.InDelta(t, 4, basis.Load, 0.01)
	require.InDelta(t, 4, basis.Mean, 0.01, "the mean over the engines of all zones")
}

// listInstances replies to the next read of the platform's list with n instances in two zones.
func (r *nodeDriver) listInstances(n int) {
	r.t.Helper()
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{
			Name: fmt.Sprint("entry-", i), Role: membership.RoleInstance, Zone: fmt.Sprint("zone-", i%2),
			Address: "127.0.0.1:1", Incarnation: 1, State: membership.Live,
		})
	}
	for range 600 {
		for _, asked := range effectsOf[core.ListInstances](r.tick()) {
			r.handle(core.InstancesListed{Op: asked.Op, Members: list})
			r.advance(2 * time.Second)
			return
		}
	}
	r.t.Fatal("the node did not read the list of instances")
}
