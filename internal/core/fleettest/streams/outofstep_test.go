package streams_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/fleettest"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

const (
	// outOfStepAt is when an instance gets out of step.
	outOfStepAt = 5 * time.Second
	// takeUpAfter is how long after that fault callers continue streams there, each takeUpInterval.
	takeUpAfter, takeUpInterval = time.Second, 10 * time.Millisecond
)

// outOfStep is a fault of one instance during a release.
type outOfStep struct {
	name string
	// apply begins the fault, and ends it after a time.
	apply func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration)
	// inLargeFleet is set if CI runs it with many instances.
	inLargeFleet bool
}

// during adds an instance to a set for a time.
func (f *streamFleet) during(set map[*fleettest.FakeInstance]bool, m *fleettest.FakeInstance, lasts time.Duration) {
	set[m] = true
	f.Schedule(lasts, func() { delete(set, m) })
}

// loseLinks closes the links of an instance, which it and the others notice after a time.
func (f *streamFleet) loseLinks(m *fleettest.FakeInstance, after time.Duration) {
	for _, other := range f.Instances {
		if m.Peers[other.Name] {
			delete(m.Peers, other.Name)
			delete(other.Peers, m.Name)
			f.Reply(m, after, core.PeerLost{Peer: other.Name})
			f.Reply(other, after, core.PeerLost{Peer: m.Name})
		}
	}
}

var outOfSteps = []outOfStep{
	{"frozen", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) { f.freeze(odd, lasts) }, false},
	{"cut off", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) { f.isolate(odd, lasts) }, true},
	{"cut from peers", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.during(f.cutPeers, odd, lasts)
		f.loseLinks(odd, time.Second)
	}, false},
	{"cut from the store", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.during(f.cutStore, odd, lasts)
	}, false},
	{"hears nothing of peers", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) { f.during(f.deaf, odd, lasts) }, false},
	{"hears nothing of peers, without the store", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.during(f.deaf, odd, lasts)
		f.during(f.cutStore, odd, lasts)
	}, false},
	{"is not heard by peers", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) { f.during(f.mute, odd, lasts) }, false},
	{"is not heard by peers, without the store", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.during(f.mute, odd, lasts)
		f.during(f.cutStore, odd, lasts)
	}, false},
	{"restarted", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) { f.kill(odd, lasts) }, false},
	{"restarted, then frozen", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.kill(odd, f.betweenMs(100, 300))
		f.Schedule(f.betweenMs(400, 1200), func() { odd.FrozenUntil = f.Now.Add(lasts) })
	}, false},
	{"frozen and cut off", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.freeze(odd, lasts)
		f.Schedule(f.betweenMs(0, 3000), func() { f.isolate(odd, 2*lasts) })
	}, false},
	{"frozen and cut off after peers restarted", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.restartSome(odd)
		f.Schedule(f.betweenMs(300, 1600), func() { f.freeze(odd, lasts) })
		f.Schedule(f.betweenMs(1600, 3000), func() { f.isolate(odd, 2*lasts) })
	}, false},
	{"hears peers and the store late", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		odd.HearsFrom = f.Now.Add(lasts)
	}, true},
	{"hears peers and the store late, after peers restarted", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.restartSome(odd)
		f.Schedule(f.betweenMs(0, 400), func() { odd.HearsFrom = f.Now.Add(lasts) })
	}, false},
	{"frozen while links to peers come up", func(f *streamFleet, odd *fleettest.FakeInstance, lasts time.Duration) {
		f.restartSome(odd)
		f.Schedule(f.betweenMs(0, 400), func() { f.freeze(odd, lasts) })
	}, false},
}

// restartSome restarts about half of the instances but one.
func (f *streamFleet) restartSome(but *fleettest.FakeInstance) {
	for _, m := range f.Instances {
		if m != but && f.Random.IntN(2) == 0 {
			f.kill(m, f.betweenMs(100, 300))
		}
	}
}

// takeUp breaks a stream that began at a version, of which the caller continues it at once.
func (f *streamFleet) takeUp(version string) {
	var list []*streamRun
	for _, name := range slices.Sorted(maps.Keys(f.engines)) {
		for _, id := range fleettest.SortedRequests(f.engines[name].running) {
			r := f.engines[name].running[id]
			if r.stream.origin.version == version && !r.firstAt.IsZero() && r.stream.current == id {
				list = append(list, r)
			}
		}
	}
	if len(list) == 0 {
		return
	}
	r := list[f.Random.IntN(len(list))]
	f.settle(r)
	f.leave(r.stream, r.by, r.attempt.Request)
	f.returnLater(r.stream, f.betweenMs(1, 4))
}

// joining is a way in which servers of another version join.
type joining struct {
	name string
	join func(f *streamFleet, odd *fleettest.FakeInstance)
}

var joinings = []joining{
	{"six join", func(f *streamFleet, _ *fleettest.FakeInstance) {
		for range 6 {
			f.startEngine("engines", "v1.1")
		}
	}},
	{"all are replaced", func(f *streamFleet, _ *fleettest.FakeInstance) {
		for _, e := range f.live(software{service: "engines"}) {
			f.startEngine("engines", "v1.1")
			f.drain(e)
		}
	}},
	{"two versions join while others restart", func(f *streamFleet, odd *fleettest.FakeInstance) {
		for range 6 {
			f.startEngine("engines", "v1.1")
			f.startEngine("engines", "v1.2")
		}
		f.Schedule(300*time.Millisecond, func() { f.restartSome(odd) })
	}},
}

// playOutOfStep runs a release during which an instance is out of step, and returns how many streams were continued there.
func (f *streamFleet) playOutOfStep(c outOfStepCase) (asked int) {
	odd := f.Instances[f.Random.IntN(len(f.Instances))]
	f.steer = func(s *callerStream) *fleettest.FakeInstance {
		if s.origin.version == "v1.1" && f.Random.IntN(4) > 0 {
			asked++
			return odd
		}
		return nil
	}
	f.callers(2*fleettest.StreamRate(c.size), 14*time.Second)
	f.Schedule(outOfStepAt, func() { c.fault.apply(f, odd, c.lasts) })
	f.Schedule(outOfStepAt+f.betweenMs(0, 300), func() { c.joining.join(f, odd) })
	for at := outOfStepAt; at < outOfStepAt+c.lasts+takeUpAfter; at += takeUpInterval {
		f.Schedule(at+f.betweenMs(0, 10), func() { f.takeUp("v1.1") })
	}
	f.Run(20 * time.Second)
	return asked
}

// outOfStepCase is an instance that is out of step for a time while servers join.
type outOfStepCase struct {
	size    fleettest.FleetSize
	fault   outOfStep
	joining joining
	lasts   time.Duration
}

// outOfStepCases returns all cases of the smallest fleet, and of the next one those of one duration; in long runs by hand all.
func outOfStepCases() []outOfStepCase {
	var list []outOfStepCase
	for n, size := range fleettest.StreamSizes[:2] {
		for _, fault := range outOfSteps {
			for _, j := range joinings {
				for _, lasts := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
					inCI := n == 0 || fault.inLargeFleet && j.name == "all are replaced" && lasts == 2500*time.Millisecond
					if racedetector.RunsFleet(size.Instances) && (inCI || *fleettest.BoundSeeds > 1) {
						list = append(list, outOfStepCase{size, fault, j, lasts})
					}
				}
			}
		}
	}
	return list
}

// Guards against a stream that goes on at another version, because it is continued at an instance that was out of step while
// servers of the version joined.
func TestStreamsKeepTheirVersionAtAnInstanceOutOfStep(t *testing.T) {
	t.Parallel()
	for _, c := range outOfStepCases() {
		t.Run(fmt.Sprintf("%v, %s for %v, %s", c.size, c.fault.name, c.lasts, c.joining.name), func(t *testing.T) {
			t.Parallel()
			for seed := range *fleettest.BoundSeeds {
				f := newStreamFleet(c.size, uint64(701+seed), "v1")
				asked := f.playOutOfStep(c)
				t.Logf("seed %d: asked %d, refusals %v", 701+seed, asked, f.refusals)
				require.Empty(t, describeStreams(f.joined), "seed %d: %d joined", 701+seed, len(f.joined))
			}
		})
	}
}
