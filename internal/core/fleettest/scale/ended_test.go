package scale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/fleettest"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

const (
	// controlRate is the number of bytes per second, in both directions together, that an instance may spend on control.
	controlRate = 5000
	// maxDecisions is how often an instance may decide in a second which requests are blocked: once a tick.
	maxDecisions = int(time.Second / core.TickInterval)
	// calm and trouble are the times that are compared.
	calm, trouble = 4 * time.Second, 8 * time.Second
	// warmUp is the time after which the rounds of digests have the length that the traffic needs.
	warmUp = 10 * time.Second
)

// work is what all instances did in some time.
type work struct {
	messages, bytes, records, loads, decisions int
}

// measure runs a fleet for a time and returns what its instances did in it.
func (f *engineFleet) measure(lasts time.Duration) work {
	var w work
	decided := f.Counters["poison_requests/decided"]
	f.OnSend = func(_, _ *fleettest.FakeInstance, m core.PeerMessage) (core.PeerMessage, bool) {
		w.messages++
		w.bytes += m.WireEstimate()
		if d := m.Digest; d != nil {
			w.records += len(d.Poison)
			w.loads += len(d.Loads) + len(d.RowSums) + len(d.Totals)
		}
		return m, true
	}
	f.Run(lasts)
	f.OnSend = nil
	w.decisions = f.Counters["poison_requests/decided"] - decided
	return w
}

// perSecond returns the work of an instance in a second.
func (w work) perSecond(instances int, lasts time.Duration) work {
	share := func(n int) int { return int(float64(n) / float64(instances) / lasts.Seconds()) }
	return work{share(w.messages), share(w.bytes), share(w.records), share(w.loads), share(w.decisions)}
}

// Guards against instances that spend their processor time and their links on the records of requests that many servers held when
// they ended at once, so that requests wait for the core until their callers have left.
func TestManyEndedServersLeaveTimeForRequests(t *testing.T) {
	t.Parallel()
	for _, size := range []fleettest.FleetSize{{Instances: 20, Zones: 4}, {Instances: 300, Zones: 5}} {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			if !racedetector.RunsFleet(size.Instances) {
				return
			}
			f := newEngineFleet(size, 320, 1)
			f.requests(1500, warmUp+calm+trouble)
			f.Run(warmUp)
			before := f.measure(calm).perSecond(size.Instances, calm)
			served := f.served
			f.endShare(0.25)
			first := f.measure(time.Second).perSecond(size.Instances, time.Second)
			during := f.measure(trouble-time.Second).perSecond(size.Instances, trouble-time.Second)
			t.Logf("an instance in a second, calm: %+v", before)
			t.Logf("in the first second: %+v, later: %+v, served %d", first, during, f.served-served)

			added := (first.bytes-before.bytes)/int(trouble/time.Second) + (during.bytes - before.bytes)
			require.LessOrEqual(t, 2*added, controlRate, "bytes a second that the trouble adds, sent and received")
			require.LessOrEqual(t, max(first.decisions, during.decisions), maxDecisions, "decisions a second")
			require.GreaterOrEqual(t, during.loads, before.loads/2, "loads told a second")
		})
	}
}
