package core_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Guards against a service that refuses all requests because the slots of one entry overflow its capacity.
func TestHugeSlotsOfOneServerLeaveTheOthers(t *testing.T) {
	for _, slots := range []int{1 << 31, 1 << 53, 1 << 62, 9e18, math.MaxInt} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			r := newNodeDriver(t, 3)
			engine, portal := entry("engine", "engines", 9, 200), entry("portal", "portal", 9, 201)
			engine.Backend.Slots, portal.Backend.Slots = slots, slots
			r.replyToWatch(core.BackendsRead{Status: core.StoreOK, Entries: []entries.Entry{engine, portal}, Revision: 201})
			for _, path := range []string{"/review/", "/record/"} {
				for range 60 {
					sent := onlyEffect[core.SendAttempt](t, r.sendRequest(path, "key-1"))
					r.endAttempt(sent, retry.Answered)
				}
			}
		})
	}
}

// Guards against one server's impossible load in the reply to a poll, which is added to the loads of the others.
func TestHugeLoadInAPollLeavesTheOthers(t *testing.T) {
	s := newNodeHarness(t, liveEngines(3))
	s.handle(core.BackendReported{Report: membership.Report{
		Backend: "engine-0", Incarnation: 1, State: membership.Live, InFlight: 9e18, At: s.now,
	}})
	require.NotContains(t, s.countByBackend("underwriting"), "", "no request is refused")
}
