package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// manyFailures are failures of so many engines that more attempts are to be retried than the allowance permits.
var manyFailures = []struct {
	name string
	fail func(f *silentFleet)
}{
	{"half silent", func(f *silentFleet) { f.pause(0.5, 1900*time.Millisecond) }},
	{"half ended", func(f *silentFleet) {
		for i, e := range f.engines {
			if i%2 == 0 && !e.ended {
				f.endEngine(e)
			}
		}
	}},
}

// Guards against instances that together retry more than the operators allow, since each sees only few failures of many.
func TestManyFailuresStayWithinTheAllowance(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		for _, failure := range manyFailures {
			t.Run(size.String()+", "+failure.name, func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					f := newSilentFleet(size, uint64(441+seed), silentRetryBurst)
					f.callers(4*streamRate(size), 20*time.Second)
					for _, at := range []time.Duration{6, 9, 14} {
						f.schedule(at*time.Second, func() { failure.fail(f) })
					}
					f.run(45 * time.Second)
					for service, count := range f.attempts {
						most, allowed := 0, 0.0
						for _, from := range count.repeats {
							n := countIn(count.repeats, from)
							assert.LessOrEqual(t, float64(n), count.maxRepeats(from), "seed %d, %s", 441+seed, service)
							if n > most {
								most, allowed = n, count.maxRepeats(from)
							}
						}
						t.Logf("seed %d, %s: at most %d further attempts in a window with %.0f allowed", 441+seed, service, most, allowed)
					}
				}
			})
		}
	}
}

// Guards against parts of the allowance so small that an instance cannot retry at all after one engine of many has ended.
func TestEachInstanceMayRetryAfterOneEngineEnds(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				f := newSilentFleet(size, uint64(361+seed), silentRetryBurst)
				f.callers(4*streamRate(size), 20*time.Second)
				f.run(8 * time.Second)
				lostAt, lost := f.now, f.busiest("engines")
				f.endEngine(lost)
				f.run(40 * time.Second)
				attempts, _ := f.waits(lost, lostAt)
				refused := 0
				all, without := make(map[*fakeInstance]int), make(map[*fakeInstance]int)
				for _, r := range attempts {
					all[r.by]++
					if r.call.reason == reason.RetryBudget {
						refused++
						without[r.by]++
					}
				}
				t.Logf("seed %d: %d attempts of %d instances at the engine, %d not retried", 361+seed, len(attempts), len(all), refused)
				require.Greater(t, len(attempts), 10)
				for m, n := range without {
					assert.Less(t, n, all[m], "seed %d: %s retried none of its attempts", 361+seed, m.name)
				}
			}
		})
	}
}
