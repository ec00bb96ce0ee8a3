package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// retryWindow is the window in which the operators count retries.
const retryWindow = 10 * time.Second

// maxRepeats returns the number of attempts beyond the first of each request that may reach a service's engines in a window:
// the allowance, and a share of the requests in the window, the one before it or the one half a window before it.
func (c *attemptCount) maxRepeats(from time.Time) float64 {
	requests := 0
	for _, start := range []time.Time{from, from.Add(-retryWindow / 2), from.Add(-retryWindow)} {
		requests = max(requests, countIn(c.requests, start))
	}
	return silentRetryBurst + silentRetryShare*float64(requests)
}

func countIn(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// Guards against a wave of attempts when all engines are silent: each request would start further ones that nobody answers.
func TestSilenceOfAllEnginesStartsNoWave(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				f := newSilentFleet(size, uint64(391+seed), silentRetryBurst)
				f.callers(4*streamRate(size), 20*time.Second)
				for _, at := range []time.Duration{6, 9, 14} {
					f.schedule(at*time.Second, func() { f.pause(1, 1900*time.Millisecond) })
				}
				f.run(45 * time.Second)
				for _, service := range []string{"engines", "others", "portal"} {
					count := f.attempts[service]
					most, allowed := 0, 0.0
					for _, from := range count.repeats {
						n := countIn(count.repeats, from)
						assert.LessOrEqual(t, float64(n), count.maxRepeats(from), "seed %d, %s", 391+seed, service)
						if n > most {
							most, allowed = n, count.maxRepeats(from)
						}
					}
					t.Logf("seed %d, %s: %d requests, %d further attempts, at most %d in a window with %.0f allowed", 391+seed, service, len(count.requests), len(count.repeats), most, allowed)
				}
			}
		})
	}
}
