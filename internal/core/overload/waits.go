// Package overload decides which requests are refused because their responses would most likely not begin before their
// callers' deadlines.
//
// It answers the load of more requests than a service's engines can finish, for seconds and of several urgencies. Engines admit the
// more urgent first, so the least urgent wait in the engines' queues until their callers leave, although a refusal at once would have let them
// return when there is room. An instance learns how long its requests of each level wait, from those that began and
// from those that were given up, which needs no message: a balancer spreads the callers of all levels over the instances.
//
// While requests wait for much less than their callers would, everything is admitted.
package overload

import (
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

const (
	// waitWeight is the weight of one request in the average of the waits of its level.
	waitWeight = 0.1
	// freshFor is the time for which an average counts without a new wait. Then a few requests show whether it still holds.
	freshFor = time.Second
	// admitAll and admitLeast are the expected wait, as a part of the time that the caller has left, up to which all requests are
	// admitted, and from which only leastAdmitted of them are: a wait varies about its average.
	admitAll, admitLeast = 0.4, 0.9
	// leastAdmitted is the part that is admitted in any case, which shows when the wait gets shorter.
	leastAdmitted = 0.1
	// returnShare is the part of the time that they have left for which callers wait at most before they return.
	returnShare = 1.0 / 3
)

// Waits holds how long the requests of one service wait for the first bytes of their responses, by level of urgency. The zero value
// has no waits. It is not safe for concurrent use.
type Waits struct {
	levels [config.MaxUrgencyLevel + 1]wait
}

type wait struct {
	mean time.Duration
	at   time.Time
}

// Record records how long a request waited until its response began or it was given up.
func (w *Waits) Record(level int, waited time.Duration, now time.Time) {
	l := w.level(level)
	if !l.fresh(now) {
		l.mean = waited
	}
	l.mean += time.Duration(waitWeight * float64(waited-l.mean))
	l.at = now
}

// Expected returns how long a request of a level is expected to wait, 0 if nothing is known.
func (w *Waits) Expected(level int, now time.Time) time.Duration {
	if l := w.level(level); l.fresh(now) {
		return l.mean
	}
	return 0
}

// Admit reports whether a request is to be sent whose caller has a time left.
func (w *Waits) Admit(level int, left time.Duration, now time.Time, random *rand.Rand) bool {
	expected := w.Expected(level, now)
	if expected == 0 || left <= 0 {
		return true
	}
	part := (admitLeast - float64(expected)/float64(left)) / (admitLeast - admitAll)
	return part >= 1 || random.Float64() < max(leastAdmitted, part)
}

// ReturnAfter returns the time after which the caller of a refused request is to return: late in the time that it waits at most, since
// the queues need time to drain, and spread, so that not all return at once.
func ReturnAfter(left time.Duration, random *rand.Rand) time.Duration {
	longest := returnShare * float64(left)
	return time.Duration(longest * (1 + random.Float64()) / 2)
}

func (w *Waits) level(level int) *wait { return &w.levels[min(max(0, level), config.MaxUrgencyLevel)] }

func (l *wait) fresh(now time.Time) bool { return !l.at.IsZero() && now.Sub(l.at) <= freshFor }
