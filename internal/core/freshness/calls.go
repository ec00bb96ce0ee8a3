package freshness

import "time"

const (
	// minWatchHold is the hold of a watch that only has to show the state of this moment.
	minWatchHold = 10 * time.Millisecond
	// minPatience and maxPatience limit the time that a call may take beyond its hold. A connection whose answers are lost must be
	// given up well within the bound.
	minPatience, maxPatience = 500 * time.Millisecond, 2 * time.Second
	// patienceFactor is the patience as a multiple of the recent duration of a call.
	patienceFactor = 4
	// settleMargin is the time left at the end of StoreSettle for a call and its result.
	settleMargin = 500 * time.Millisecond
)

// Call is a read or watch by which an instance follows the store.
type Call struct {
	SentAt time.Time
	// Hold is how long the store holds a watch without a change; 0 for a read.
	Hold time.Duration
}

// AsOf returns the time as of which the result of the call shows the state of the store. A watch that was held to its end without
// a change shows the state at that end.
func (c Call) AsOf(now time.Time, changed bool) time.Time {
	end := c.SentAt.Add(c.Hold)
	if changed || now.Before(end) {
		return c.SentAt
	}
	return end
}

// watchHold is the longest hold of a watch. Followers prove their knowledge anew at the end of each.
func (t *Tracker) watchHold() time.Duration { return t.limits.ChangeBound / 2 }

// HoldFor returns the hold of the next watch, so that at its end the knowledge as of the given time is no older than watchHold.
func (t *Tracker) HoldFor(asOf, now time.Time) time.Duration {
	return max(minWatchHold, t.watchHold()-now.Sub(asOf))
}

// PauseFor limits the pause before the next call, so that the knowledge does not get older than watchHold meanwhile.
func (t *Tracker) PauseFor(pause time.Duration, asOf, now time.Time) time.Duration {
	return max(0, min(pause, t.watchHold()-now.Sub(asOf)))
}

// Patience returns how long a call may take beyond its hold. It follows from the recent duration of calls and the number of failures
// since the last success.
func (t *Tracker) Patience(failures int) time.Duration {
	patience := max(minPatience, patienceFactor*t.callTime) << min(failures, 2)
	return min(patience, maxPatience)
}

// Answered records a successful read or watch, and the time that the store took for it beyond its hold. The longest time counts,
// and is forgotten slowly.
func (t *Tracker) Answered(c Call, changed bool, now time.Time) {
	t.answeredAt = now
	took := now.Sub(c.SentAt)
	if !changed {
		took -= c.Hold
	}
	t.callTime = max(took, t.callTime*9/10)
}

// Failed records a failed read or watch.
func (t *Tracker) Failed(now time.Time) { t.failedAt = now }

// Failing reports whether the last call to the store failed. A single call then probes the store, and all others wait for its
// result.
func (t *Tracker) Failing() bool { return t.failedAt.After(t.answeredAt) }

// FailedWithin reports whether a call has failed within the given time.
func (t *Tracker) FailedWithin(d time.Duration, now time.Time) bool {
	return !t.failedAt.IsZero() && now.Sub(t.failedAt) < d
}

// SeldomDelay returns the maximum delay before a failed call is repeated, and reports whether it applies. It applies to instances that
// are not followers, from the second failure on: the first retry is early, in case only the connection is dead. Later retries are rare
// enough that an outage costs few calls, but come within StoreSettle after the outage.
func (t *Tracker) SeldomDelay(failures int) (time.Duration, bool) {
	if t.cause != WhileStale || failures <= 1 {
		return 0, false
	}
	return min(t.limits.StoreSettle-settleMargin-t.Patience(failures), t.limits.MaxRetryDelay), true
}
