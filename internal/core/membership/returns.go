package membership

import (
	"slices"
	"time"
)

// How a flapping backend server comes back.
const (
	// flapWindow is how long a return is remembered. One return within it is a
	// restart and gets its full share at once; more are flapping.
	flapWindow = 10 * time.Minute
	// firstStep is the length of each step of the second return; it doubles with
	// each further one up to maxStep.
	firstStep = 10 * time.Second
	maxStep   = 2 * time.Minute
)

// steps are the shares of a returning backend server, one after another, before
// it gets its whole share.
var steps = [...]float64{0.25, 0.5}

// returns remembers when an instance came back to life.
type returns struct {
	count int
	last  time.Time
}

func (r *returns) add(now time.Time) {
	if now.Sub(r.last) > flapWindow {
		r.count = 0
	}
	r.count++
	r.last = now
}

// share is the part of its normal load that the instance may get now.
func (r *returns) share(now time.Time) float64 {
	if r.count < 2 {
		return 1
	}
	length := maxStep
	if shift := r.count - 2; shift < 8 {
		length = min(maxStep, firstStep<<shift)
	}
	step := int(now.Sub(r.last) / length)
	if step >= len(steps) {
		return 1
	}
	return steps[max(0, step)]
}

// Share is the part of its normal load that an instance may get, in (0, 1]. It is
// under 1 only while a flapping one comes back.
func (v *View) Share(name string, now time.Time) float64 {
	r := v.records[name]
	if r == nil {
		return 1
	}
	return r.returns.share(now)
}

// Stepped returns the instances whose share has changed since it was last called,
// sorted by name.
func (v *View) Stepped(now time.Time) []string {
	var names []string
	for name, before := range v.returning {
		share := v.records[name].returns.share(now)
		if share != before {
			names = append(names, name)
		}
		v.returning[name] = share
		if share == 1 {
			delete(v.returning, name)
		}
	}
	slices.Sort(names)
	return names
}
