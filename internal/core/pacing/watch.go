// Package pacing limits how often an instance asks the platform's store and its peers, and decides when it
// tells its peers something at once.
package pacing

import "time"

const (
	// MinWatchPause is the minimum time between two results of one watch. The time doubles
	// while every watch returns changes. Changes during the pause arrive with a single call.
	// Callers are not affected, because a leaving server keeps working for seconds and other
	// followers pause at different times.
	MinWatchPause = 300 * time.Millisecond
	// MaxWatchPause is the limit of that doubling.
	MaxWatchPause = 1200 * time.Millisecond
	// watchQuietPeriod is the time without changes after which the next change resets the pause.
	watchQuietPeriod = 2 * MaxWatchPause
)

// Watch limits the rate of a watch's results.
type Watch struct {
	changedAt time.Time
	pause     time.Duration
}

// PauseAfterChange returns the pause before the next call when a watch has returned a change.
func (w *Watch) PauseAfterChange(now time.Time) time.Duration {
	if now.Sub(w.changedAt) > watchQuietPeriod {
		w.pause = 0
	}
	w.changedAt = now
	w.pause = min(max(MinWatchPause, 2*w.pause), MaxWatchPause)
	return w.pause
}

// PauseAfterRepeat returns the pause before the next call after a result that is rare at a sound
// store. There is none after the first one of a series.
func (w *Watch) PauseAfterRepeat(now time.Time) time.Duration {
	first := now.Sub(w.changedAt) > watchQuietPeriod
	pause := w.PauseAfterChange(now)
	if first {
		return 0
	}
	return pause
}
