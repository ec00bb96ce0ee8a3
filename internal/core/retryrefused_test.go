package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// Guards against instances that together retry more than the allowance, because each retries once in advance what one of many
// refusing servers with room has refused.
func TestManyRefusalsStayWithinTheAllowance(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		for _, rate := range []int{30, 60} {
			t.Run(fmt.Sprintf("%s, %d requests a second", size, rate), func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					f := newSilentFleet(size, uint64(791+seed), silentRetryBurst)
					f.refuseAtMost(f.now.Add(5 * time.Second))
					f.callers(rate, 20*time.Second)
					f.run(25 * time.Second)
					for service, count := range f.attempts {
						most, allowed := 0, 0.0
						for _, from := range count.repeats {
							n, limit := countIn(count.repeats, from), count.maxRepeats(from)
							if most == 0 || float64(n)-limit > float64(most)-allowed {
								most, allowed = n, limit
							}
						}
						text := fmt.Sprintf("seed %d, %s: %d further attempts in a window with %.0f allowed", 791+seed, service, most, allowed)
						t.Log(text)
						assert.LessOrEqual(t, float64(most), allowed, text)
					}
				}
			})
		}
	}
}

// refuseAtMost lets two of three engines refuse each attempt from a time on.
func (f *silentFleet) refuseAtMost(from time.Time) {
	var refusing []func(*fakeInstance, core.SendAttempt)
	byName := make(map[string]int)
	for _, e := range f.engines {
		if e.index%3 != 0 {
			f.refuseAt(e.name, from)
			byName[e.name] = len(refusing)
			refusing = append(refusing, f.serve)
		}
	}
	f.serve = func(m *fakeInstance, a core.SendAttempt) {
		if n, ok := byName[a.Backend]; ok {
			refusing[n](m, a)
			return
		}
		f.runAttempt(m, a)
	}
}
