package core_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// maxRetryTime is the time of a retry in the fleet: to connect, and to the first event of another engine.
	maxRetryTime = 100 * time.Millisecond
	// The timeouts of an attempt that may be repeated, by the goals of the fleet's routes: for the first event of a
	// stream, between events, and for a plain answer.
	streamFirstTimeout, streamStallTimeout, plainFirstTimeout = 1200 * time.Millisecond, 750 * time.Millisecond, 600 * time.Millisecond
	// lossRate is the number of requests per second, of which some are in progress at any engine.
	lossRate = 120
	// engineAway is the time for which an engine is cut off.
	engineAway = 10 * time.Second
)

// engineLoss is a way to lose an engine.
type engineLoss struct {
	name string
	lose func(f *silentFleet, e *silentEngine)
	// known is set if the connections tell that the engine is lost.
	known bool
}

var engineLosses = []engineLoss{
	{name: "process ended", known: true, lose: func(f *silentFleet, e *silentEngine) { f.endEngine(e) }},
	{name: "cut off", lose: func(f *silentFleet, e *silentEngine) { f.cut(e, engineAway) }},
}

// maxWait returns the longest time that an attempt at a lost engine may cost its caller, from the loss or from the attempt.
func (l *engineLoss) maxWait(r *silentAttempt) time.Duration {
	switch {
	case l.known:
		return maxRetryTime
	case !r.call.kind.stream:
		return plainFirstTimeout + maxRetryTime
	case r.heardAt.IsZero():
		return streamFirstTimeout + maxRetryTime
	default:
		return streamStallTimeout + maxRetryTime
	}
}

// cut lets nothing come from an engine or to it for a time.
func (f *silentFleet) cut(e *silentEngine, lasts time.Duration) {
	e.silentUntil, e.cutOff = f.now.Add(lasts), true
	f.schedule(lasts, func() { e.cutOff = false })
}

// endEngine ends an engine's process: its connections are reset, and new ones refused.
func (f *silentFleet) endEngine(e *silentEngine) {
	e.ended = true
	for _, r := range slices.Clone(e.running) {
		r.call.serverEnded = true
		end := core.AttemptEnded{Outcome: retry.Unknown, ServerEnded: true}
		if !r.heardAt.IsZero() {
			end.Outcome, end.LastEventID = retry.Broken, strconv.Itoa(r.call.received)
		}
		f.endAttempt(r, end, 2*time.Millisecond)
	}
}

// waits returns the attempts at an engine that was lost at a time whose callers waited for another engine, and the waits
// from the loss or from the attempt; zero if no event came. Attempts that may not be repeated are left out.
func (f *silentFleet) waits(e *silentEngine, lostAt time.Time) (attempts []*silentAttempt, waits []time.Duration) {
	for _, c := range f.sent {
		for _, r := range c.attempts {
			over := r.over && r.endedAt.Before(lostAt) || c.end == endAnswered && !c.endedAt.After(lostAt)
			if r.engine != e || c.kind.once || over || r.sentAt.After(lostAt.Add(engineAway/2)) {
				continue
			}
			from := r.sentAt
			if from.Before(lostAt) {
				from = lostAt
			}
			wait := time.Duration(0)
			next := slices.IndexFunc(c.heard, func(h heardEvent) bool { return h.from != e && h.at.After(from) })
			if next >= 0 {
				wait = c.heard[next].at.Sub(from)
			}
			attempts, waits = append(attempts, r), append(waits, wait)
		}
	}
	return attempts, waits
}

// busiest returns the engine of a service with the most attempts in progress.
func (f *silentFleet) busiest(service string) *silentEngine {
	var busiest *silentEngine
	for _, e := range f.engines {
		if e.service == service && (busiest == nil || len(e.running) > len(busiest.running)) {
			busiest = e
		}
	}
	return busiest
}

// Guards against callers who wait longer for a lost engine because silence alone ends nothing: the bound is the timeout after
// which an attempt at a silent engine was ended, plus the time of a retry.
func TestLostEnginesAreLeftInTime(t *testing.T) {
	t.Parallel()
	for _, size := range silentSizes() {
		for _, loss := range engineLosses {
			t.Run(size.String()+", "+loss.name, func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					requireLeftInTime(t, size, uint64(361+seed), &loss)
				}
			})
		}
	}
}

func requireLeftInTime(t *testing.T, size fleetSize, seed uint64, loss *engineLoss) {
	t.Helper()
	f := newSilentFleet(size, seed, ampleRetryBurst)
	f.callers(lossRate, 20*time.Second)
	f.run(8 * time.Second)
	lostAt, lost := f.now, []*silentEngine{f.busiest("engines"), f.busiest("portal")}
	for _, e := range lost {
		loss.lose(f, e)
	}
	f.run(40 * time.Second)
	count := 0
	for _, e := range lost {
		attempts, waits := f.waits(e, lostAt)
		count += len(attempts)
		for i, r := range attempts {
			if assert.NotZero(t, waits[i], "seed %d: no other engine: %v", seed, r.call) {
				assert.LessOrEqual(t, waits[i], loss.maxWait(r), "seed %d: %v", seed, r.call)
			}
		}
		slices.Sort(waits)
		if len(waits) > 0 {
			t.Logf("seed %d: %s lost: %d attempts, median wait %v, longest %v", seed, e.name, len(waits), waits[len(waits)/2], waits[len(waits)-1])
		}
	}
	require.Greater(t, count, 10, "seed %d", seed)
}
