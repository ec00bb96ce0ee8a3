package core_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// silentSizes returns the sizes of the fleets, larger ones too in long runs by hand.
func silentSizes() []fleetSize {
	sizes := streamSizes[:2]
	if *boundSeeds > 1 {
		sizes = streamSizes
	}
	return slices.DeleteFunc(slices.Clone(sizes), func(s fleetSize) bool { return !racedetector.RunsFleet(s.instances) })
}

// playSilences lets engines fall silent beside changes of the configuration, stops and reloads of instances.
func playSilences(size fleetSize, seed uint64) *silentFleet {
	f := newSilentFleet(size, seed, silentRetryBurst)
	f.callers(2*streamRate(size), 36*time.Second)
	at := func(ms int, action func()) { f.schedule(time.Duration(ms)*time.Millisecond, action) }
	wave := func(ms int, change configChange, share float64) {
		at(ms, func() { f.change(change) })
		at(ms+600, func() {
			lasts := f.betweenMs(1000, 1900)
			f.pause(share, lasts)
			f.schedule(lasts+f.betweenMs(100, 600), func() { f.pause(share, f.betweenMs(1000, 1900)) })
		})
	}
	wave(4000, changeTimeouts, 1)
	wave(10000, changeRoutes, 0.6)
	wave(16000, changeWeights, 0.5)
	wave(21000, changeNothing, 0.1)
	at(25500, func() { f.stopSome(1 + size.instances/10) })
	at(26500, func() { f.pause(1, f.betweenMs(1000, 1900)) })
	at(31000, func() { f.reload(f.instances[f.random.IntN(len(f.instances))]) })
	wave(31000, changeTimeouts, 0.6)
	f.run(62 * time.Second)
	return f
}

// stopSome asks random instances to stop.
func (f *silentFleet) stopSome(count int) {
	for _, i := range f.random.Perm(len(f.instances))[:count] {
		f.stop(f.instances[i])
	}
}

// count returns the number of calls by what ended them, and the lost ones.
func (f *silentFleet) count() (ends map[callEnd]int, lost []*silentCall) {
	ends = make(map[callEnd]int)
	for _, c := range f.sent {
		ends[c.end]++
		if c.end == endLost {
			lost = append(lost, c)
		}
	}
	return ends, lost
}

// describe returns the counts of the calls by what ended them, and of the lost ones by route and reason.
func describe(ends map[callEnd]int, lost []*silentCall) string {
	var parts []string
	for _, end := range slices.Sorted(maps.Keys(ends)) {
		parts = append(parts, fmt.Sprintf("%s: %d", end, ends[end]))
	}
	reasons := make(map[string]int)
	for _, c := range lost {
		reasons[c.kind.path+" "+string(c.reason)]++
	}
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("lost %s: %d", name, reasons[name]))
	}
	return strings.Join(parts, ", ")
}

func ids(calls []*silentCall) []core.RequestID {
	var list []core.RequestID
	for _, c := range calls {
		list = append(list, c.id)
	}
	return list
}

// Guards against requests that were passed on and end without a whole answer because their engine is silent for a second
// or two: it goes on, and neither a timeout was reached nor has the caller left.
func TestSilenceEndsNoRequest(t *testing.T) {
	t.Parallel()
	for _, size := range silentSizes() {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				f := playSilences(size, uint64(301+seed))
				ends, lost := f.count()
				t.Logf("seed %d: %s", 301+seed, describe(ends, lost))
				require.Zero(t, ends[""], "all calls must have ended")
				for i, c := range lost {
					if i < 5 {
						t.Log(c)
					}
				}
				assert.Empty(t, ids(lost), "seed %d: calls that were passed on ended without a whole answer", 301+seed)
				assert.Greater(t, ends[endAnswered], len(f.sent)*9/10)
				assert.Zero(t, f.rollbacks)
			}
		})
	}
}

// Guards against requests that are given up because an attempt has failed, while another one is in progress at an engine that
// is only silent.
func TestEndedEnginesEndNoSilentAttempt(t *testing.T) {
	t.Parallel()
	for _, size := range silentSizes() {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				f := playLosses(size, uint64(421+seed))
				ends, lost := f.count()
				t.Logf("seed %d: %s", 421+seed, describe(ends, lost))
				require.Zero(t, ends[""], "all calls must have ended")
				for i, c := range lost {
					if i < 5 {
						t.Log(c)
					}
				}
				assert.Empty(t, ids(lost), "seed %d: calls ended though a sound engine had them", 421+seed)
				assert.Greater(t, ends[endAnswered], len(f.sent)*9/10)
				f.requireRunsOnce(t)
			}
		})
	}
}

// playLosses lets engines end, and be cut off, while others are silent and hedges are in progress.
func playLosses(size fleetSize, seed uint64) *silentFleet {
	f := newSilentFleet(size, seed, ampleRetryBurst)
	f.callers(2*streamRate(size), 30*time.Second)
	for wave := range 7 {
		f.schedule(time.Duration(4+4*wave)*time.Second, func() { f.pause(f.random.Float64(), f.betweenMs(1000, 1900)) })
		f.schedule(time.Duration(4+4*wave)*time.Second+f.betweenMs(300, 2000), func() { f.replace(f.engines[f.random.IntN(len(f.engines))]) })
		f.schedule(time.Duration(4+4*wave)*time.Second+f.betweenMs(300, 2000), func() { f.cut(f.engines[f.random.IntN(len(f.engines))], f.betweenMs(500, 1900)) })
	}
	f.run(60 * time.Second)
	return f
}

// replace ends an engine's process and starts another one under a new name.
func (f *silentFleet) replace(e *silentEngine) {
	if e.ended {
		return
	}
	f.endEngine(e)
	f.schedule(f.betweenMs(1000, 3000), func() { f.store.putEntry(e.name, nil) })
	f.schedule(engineRestart, func() { f.register(f.addEngine(e.service, len(f.engines))) })
}

// Guards against requests that run twice although they may run once, and against requests that run although they were
// refused as not run, while engines are silent and read them late.
func TestSilentServersRunNothingTwice(t *testing.T) {
	t.Parallel()
	for _, size := range silentSizes() {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				f := playSilences(size, uint64(331+seed))
				once := f.requireRunsOnce(t)
				t.Logf("seed %d: %d calls, %d of them may run once", 331+seed, len(f.sent), once)
				require.Greater(t, once, 100)
			}
		})
	}
}

// requireRunsOnce requires that no call ran twice that may run once, and that none ran that was refused as not run. It
// returns the number of those that may run once.
func (f *silentFleet) requireRunsOnce(t *testing.T) (once int) {
	t.Helper()
	for _, c := range f.sent {
		if c.kind.once {
			once++
			require.LessOrEqual(t, c.runs, 1, "%v", c)
		}
		if c.outcome == reason.NotRun {
			require.Zero(t, c.runs, "%v", c)
		}
	}
	return once
}
