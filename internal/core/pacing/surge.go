package pacing

import "time"

// Instances announce a load surge at once. Where loads are aggregated over several hops, they
// take several rounds to propagate, which means seconds when the byte budget is tight. If
// traffic starts or doubles, every instance would in the meantime send the sessions of the
// whole fleet to servers that still look idle.
const (
	// A load is a surge if it exceeds the baseline times surgeFactor by more than surgeMargin
	// requests. Ordinary traffic fluctuates by less: by the square root of some hundred
	// requests, or by a few requests when there is almost no traffic.
	surgeFactor = 1.1
	surgeMargin = 4
	// surgeMinInterval is the minimum interval between two announcements. The byte budget limits
	// them as well: loads that exceed it are left out of the digests.
	surgeMinInterval = 250 * time.Millisecond
	// surgeBaselineInterval is the time after which the current load becomes the new baseline.
	surgeBaselineInterval = time.Second
)

// Surge detects a rise of the load that an instance knows.
type Surge struct {
	// baseline is the load with which new loads are compared.
	baseline float64
	// nextAnnouncement is the earliest time of the next announcement, and nextBaseline the
	// time at which the baseline is next updated.
	nextAnnouncement, nextBaseline time.Time
}

// Detect reports whether the load must be announced to the peers now, and updates the
// baseline.
func (s *Surge) Detect(load float64, now time.Time) bool {
	rising := load > surgeFactor*s.baseline+surgeMargin && !now.Before(s.nextAnnouncement)
	if !rising && now.Before(s.nextBaseline) {
		return false
	}
	s.baseline = load
	s.nextAnnouncement = now.Add(surgeMinInterval)
	s.nextBaseline = now.Add(surgeBaselineInterval)
	return rising
}
