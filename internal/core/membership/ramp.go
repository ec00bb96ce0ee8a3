package membership

import (
	"slices"
	"time"
)

// These constants define how the load of a flapping backend server is ramped up.
const (
	// flapWindow is the time for which a return is remembered. A single return within it counts
	// as a restart, and the server gets its full load at once; more count as flapping.
	flapWindow = 10 * time.Minute
	// firstRampStep is the length of each ramp step after the second return. It doubles with each
	// further return, up to maxRampStep.
	firstRampStep = 10 * time.Second
	maxRampStep   = 2 * time.Minute
)

// rampShares holds the successive shares of its normal load that a flapping backend server gets
// before it gets its full load.
var rampShares = [...]float64{0.25, 0.5}

// returnHistory counts how often a member became live again.
type returnHistory struct {
	count int
	last  time.Time
}

// add counts a return. It starts a new count if the last return is older than flapWindow.
func (r *returnHistory) add(now time.Time) {
	if now.Sub(r.last) > flapWindow {
		r.count = 0
	}
	r.count++
	r.last = now
}

// share returns the fraction of its normal load that the member may get now.
func (r *returnHistory) share(now time.Time) float64 {
	if r.count < 2 {
		return 1
	}
	length := maxRampStep
	if shift := r.count - 2; shift < 8 {
		length = min(maxRampStep, firstRampStep<<shift)
	}
	step := int(now.Sub(r.last) / length)
	if step >= len(rampShares) {
		return 1
	}
	return rampShares[max(0, step)]
}

// LoadShare returns the fraction of its normal load that a member may get, in (0, 1]. It is below 1
// only while the load of a flapping member is ramped up.
func (v *View) LoadShare(name string, now time.Time) float64 {
	r := v.records[name]
	if r == nil {
		return 1
	}
	return r.returns.share(now)
}

// ChangedShares returns the names of the members whose share has changed since its last call,
// sorted.
func (v *View) ChangedShares(now time.Time) []string {
	var names []string
	for name, old := range v.ramping {
		share := v.records[name].returns.share(now)
		if share != old {
			names = append(names, name)
		}
		v.ramping[name] = share
		if share == 1 {
			delete(v.ramping, name)
		}
	}
	slices.Sort(names)
	return names
}
