package soak

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

func newZoneWorld() (*World, *instance) {
	w := &World{
		options: Options{Faults: FaultsZones, Callers: 8}, recorder: newRecorder(), lost: newLostRecorder(), ended: newEndedRecorder(),
		store: fakeplatform.New(),
	}
	return w, &instance{world: w, name: "entry-0"}
}

// Guards against a check that misses a request which an instance in contact sends to an evacuated zone too late, or that blames
// an instance out of contact, or a pause of the server.
func TestLateRequestsToEvacuatedZonesAreReported(t *testing.T) {
	const acknowledgedAt, second = 100 * time.Second, time.Second
	for _, c := range []struct {
		name     string
		after    time.Duration
		prepare  func(w *World, i *instance, b *backend)
		violated bool
	}{
		{name: "within the bound", after: evacuateBound},
		{name: "late", after: 6 * second, violated: true},
		{name: "disturbed a while ago", after: 10 * second, violated: true, prepare: func(w *World, i *instance, _ *backend) {
			w.zones.recordDisturbance(i, acknowledgedAt+5*second)
		}},
		{name: "disturbed lately", after: 10 * second, prepare: func(w *World, i *instance, _ *backend) {
			w.zones.recordDisturbance(i, acknowledgedAt+7*second)
		}},
		{name: "another instance disturbed", after: 10 * second, violated: true, prepare: func(w *World, _ *instance, _ *backend) {
			w.zones.recordDisturbance(&instance{}, acknowledgedAt+7*second)
		}},
		{name: "paused now", after: 10 * second, prepare: func(w *World, i *instance, _ *backend) {
			w.lost.faults = []unplannedFault{{subject: i, startedAt: acknowledgedAt + second}}
		}},
		{name: "store lately away", after: 10 * second, prepare: func(w *World, _ *instance, _ *backend) {
			w.lost.faults = []unplannedFault{{startedAt: acknowledgedAt, endedAt: acknowledgedAt + 7*second}, {startedAt: 0, endedAt: second}}
		}},
		{name: "store lately away, too late all the same", after: 12 * second, violated: true, prepare: func(w *World, _ *instance, _ *backend) {
			w.lost.faults = []unplannedFault{{startedAt: acknowledgedAt + 7*second, endedAt: acknowledgedAt + 9*second}}
		}},
		{name: "server paused since before the bound", after: 6 * second, prepare: func(w *World, _ *instance, b *backend) {
			w.zones.holds = []*serverHold{{server: b, startedAt: acknowledgedAt + 4*second, endedAt: acknowledgedAt + 6*second}}
		}},
		{name: "server paused after the bound", after: 8 * second, violated: true, prepare: func(w *World, _ *instance, b *backend) {
			w.zones.holds = []*serverHold{{server: b, startedAt: acknowledgedAt + 6*second, endedAt: acknowledgedAt + 8*second}}
		}},
		{name: "soak stood still", after: 6 * second, prepare: func(w *World, _ *instance, _ *backend) {
			w.standstills.record(standstill{from: acknowledgedAt + 4*second, to: acknowledgedAt + 6*second})
		}},
	} {
		w, i := newZoneWorld()
		b := &backend{world: w, name: "i-1", zone: "zone-1"}
		if c.prepare != nil {
			c.prepare(w, i, b)
		}
		w.zones.recordSender("r", i)
		w.zones.arrivals = []zoneArrival{{id: "r", server: b, acknowledgedAt: acknowledgedAt, at: acknowledgedAt + c.after}}
		w.checkEvacuated()
		require.Equal(t, c.violated, len(w.recorder.violations) > 0, "%s: %v", c.name, w.recorder.counts)
	}
}

// Guards against arrivals that are recorded for other zones or after the restore only.
func TestArrivalsAtEvacuatedZonesAreRecorded(t *testing.T) {
	w, _ := newZoneWorld()
	b, other := &backend{world: w, zone: "zone-1"}, &backend{world: w, zone: "zone-2"}
	e := w.zones.beginEvacuation("zone-1")
	w.recordArrival(b, "before")
	w.zones.acknowledge(e, w.recorder.elapsed())
	w.recordArrival(b, "meanwhile")
	w.recordArrival(other, "elsewhere")
	require.True(t, w.zones.isEvacuated("zone-1"))
	w.zones.end(e, w.recorder.elapsed())
	w.recordArrival(b, "after")
	require.False(t, w.zones.isEvacuated("zone-1"))
	require.Len(t, w.zones.arrivals, 1)
	require.Equal(t, "meanwhile", w.zones.arrivals[0].id)
}

// Guards against a cold server that gets more than its bound and neither ends nor is reported, and against one that is
// reported for requests that came while its process was paused.
func TestColdServersOverTheBoundAreReported(t *testing.T) {
	// The bound is no whole number.
	allowed := int(math.Floor(coldBound))
	for _, c := range []struct {
		requests     int
		warm, paused bool
		violated     bool
	}{
		{requests: allowed},
		{requests: allowed + 1, violated: true},
		{requests: allowed + 1, warm: true},
		{requests: allowed + 1, paused: true},
		{requests: 2*allowed + 2, paused: true, violated: true},
	} {
		w, i := newZoneWorld()
		w.recorder.startedAt = time.Now().Add(-time.Minute)
		b, err := w.newBackend("i-1", "zone-1", "v1", freePort)
		require.NoError(t, err)
		if !c.warm {
			b.turnCold(coldDuration)
		}
		if c.paused {
			now := w.recorder.elapsed()
			w.zones.holds = []*serverHold{{server: b, startedAt: now - 2*time.Second, endedAt: now}}
		}
		for n := range c.requests {
			w.zones.recordSender(fmt.Sprint("r", n), i)
			b.countCold(fmt.Sprint("r", n))
		}
		w.checkColdBound()
		require.Equal(t, c.violated, len(w.recorder.violations) > 0, "%+v: %v", c, w.recorder.violations)
		require.Equal(t, c.violated, b.leavingAt.Load() < 0, "%+v: the server ends", c)
		w.replacing.finish()
		w.stop()
		b.close()
	}
}

// Guards against a zone that stays without load after its evacuation, or gets almost none, and is not reported.
func TestZoneWithoutLoadIsReported(t *testing.T) {
	w, _ := newZoneWorld()
	own, first, second := &backend{zone: "zone-0"}, &backend{zone: "zone-1"}, &backend{zone: "zone-2"}
	counts := func(n int64) map[*backend]int64 { return map[*backend]int64{own: n, first: 20, second: 30} }
	none := map[*backend]int64{}
	require.False(t, w.hasLoadAgain("zone-0", none, counts(0)))
	require.False(t, w.hasLoadAgain("zone-0", none, counts(6)))
	require.True(t, w.hasLoadAgain("zone-0", none, counts(7)))
	require.False(t, w.hasLoadAgain("zone-0", none, map[*backend]int64{own: 0}))
	w.options.Faults = FaultsAll
	require.True(t, w.hasLoadAgain("zone-0", none, counts(1)))

	require.False(t, w.checkReturn("zone-0", false, false, maxZoneReturn), "not decided")
	require.True(t, w.checkReturn("zone-0", false, true, maxZoneReturn+time.Second))
	require.True(t, w.checkReturn("zone-0", true, false, time.Second))
	require.Empty(t, w.recorder.violations)
	require.True(t, w.checkReturn("zone-0", false, false, maxZoneReturn+time.Second))
	require.Len(t, w.recorder.violations, 1)
}

// Guards against a refusal during an evacuation that is not reported although other zones have room, and against one that is
// reported where they have none or the instance is out of contact.
func TestRefusalsBesideRoomAreReported(t *testing.T) {
	const sentAt, second = 100 * time.Second, time.Second
	for _, c := range []struct {
		name               string
		servers            int
		withoutEvacuation  bool
		refusal            string
		disturbed, stopped time.Duration
		violated           bool
	}{
		{name: "room", servers: 3, violated: true},
		{name: "no room", servers: 0},
		{name: "no evacuation", servers: 3, withoutEvacuation: true},
		{name: "disturbed lately", servers: 3, disturbed: sentAt - 3*second},
		{name: "disturbed a while ago", servers: 3, disturbed: sentAt - 5*second, violated: true},
		{name: "stops", servers: 3, stopped: sentAt - 7*second},
		{name: "poison", servers: 3, refusal: "not-run: poison-request"},
	} {
		w, i := newZoneWorld()
		i.settings = t.TempDir()
		for at := sentAt - 2*second; at < sentAt+second; at += roomInterval {
			w.zones.room = append(w.zones.room, roomSample{at: at, servers: c.servers, evacuated: !c.withoutEvacuation})
		}
		w.zones.recordDisturbance(i, c.disturbed)
		w.lost.stops = []plannedStop{{instance: i, at: c.stopped}}
		w.zones.refusals = []refusedRequest{{id: "r", detail: "503 " + c.refusal, instance: i, sentAt: sentAt, at: sentAt + second/2}}
		w.checkRefusedBesideRoom()
		require.Equal(t, c.violated, len(w.recorder.violations) > 0, "%s: %v", c.name, w.recorder.counts)
	}
}
