package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// refuseAt lets an engine refuse each attempt from a time on.
func (f *silentFleet) refuseAt(name string, from time.Time) {
	f.serve = func(m *fakeInstance, a core.SendAttempt) {
		if a.Backend != name || f.now.Before(from) {
			f.runAttempt(m, a)
			return
		}
		c, e := f.calls[a.Request], f.engine(a.Backend)
		r := &silentAttempt{call: c, by: m, attempt: a, engine: e, sentAt: f.now}
		c.inProgress, c.attempts = append(c.inProgress, r), append(c.attempts, r)
		count := f.attempts[e.service]
		if c.arrived == 0 {
			c.service = e.service
			count.requests = append(count.requests, f.now)
		} else {
			count.repeats = append(count.repeats, f.now)
		}
		c.arrived++
		f.endAttempt(r, core.AttemptEnded{Outcome: retry.Refused, RetryAfter: 250 * time.Millisecond}, 2*time.Millisecond)
	}
}

// Guards against requests that end for want of retries at instances with few requests, while the fleet's allowance is hardly used.
func TestFewRequestsAreRetriedWithinTheAllowance(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range *boundSeeds {
				f := newSilentFleet(size, uint64(771+seed), silentRetryBurst)
				f.refuseAt("engines-0", f.now.Add(5*time.Second))
				f.callers(60, 20*time.Second)
				f.run(25 * time.Second)
				refused, ended := 0, 0
				for _, c := range f.sent {
					if c.reason == reason.RetryBudget {
						ended++
					}
					for _, a := range c.attempts {
						if a.engine.name == "engines-0" && a.sentAt.Sub(f.sent[0].sentAt) > 5*time.Second {
							refused++
						}
					}
				}
				most, allowed := 0, 0.0
				for _, from := range f.attempts["engines"].repeats {
					if n := countIn(f.attempts["engines"].repeats, from); n > most {
						most, allowed = n, f.attempts["engines"].maxRepeats(from)
					}
				}
				text := fmt.Sprintf("seed %d: %d attempts refused, %d requests ended for want of retries, at most %d retries in a window with %.0f allowed", 771+seed, refused, ended, most, allowed)
				t.Log(text)
				assert.True(t, ended == 0 || float64(most) > allowed/2, text)
			}
		})
	}
}
