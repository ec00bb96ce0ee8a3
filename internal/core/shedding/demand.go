package shedding

import "time"

const (
	// maxTarget is the largest target. A longer queue delays responses and serves no more requests.
	maxTarget = 2.5
	// minTarget is the smallest target. Below it, slots would be idle on purpose.
	minTarget = 1
	// maxLimit is the largest limit. Servers refuse what they cannot queue, and queue a few times their slots.
	maxLimit = 5
	// MaxUtilization is the utilization above which a server gets no requests, whatever is admitted.
	MaxUtilization = maxLimit + 1
	// minRange is the minimum difference between the limit and the target.
	minRange = 0.5
	// targetShare is the part of the latency goal in which a request is expected to complete at the target.
	targetShare = 0.33
	// workWeight is the weight of one response in the average of the work.
	workWeight = 0.05
	// maxWorkSample bounds a sample, as a multiple of the average. A server that was paused answers late for no work of its own.
	maxWorkSample = 4
)

// Range returns the target and the limit of the utilization for a latency goal, and for the work: the time that a server takes for a
// request without a queue. A request that arrives at a utilization above 1 completes after about that multiple of the work. If the
// goal or the work is 0, Range returns the largest values.
func Range(goal, work time.Duration) (target, limit float64) {
	if goal <= 0 || work <= 0 {
		return maxTarget, maxLimit
	}
	goalUtilization := float64(goal) / float64(work)
	target = min(max(minTarget, targetShare*goalUtilization), maxTarget)
	return target, min(max(target+minRange, goalUtilization), maxLimit)
}

// Work is the average time that the servers of a service take for a request without a queue. The zero value knows none.
type Work struct{ mean time.Duration }

// Record records a response by its duration and the utilization of the server.
func (w *Work) Record(took time.Duration, utilization float64) {
	sample := time.Duration(float64(took) / max(1, utilization))
	if w.mean == 0 {
		w.mean = sample
	}
	sample = min(sample, maxWorkSample*w.mean)
	w.mean += time.Duration(workWeight * float64(sample-w.mean))
}

// Mean returns the average, 0 if nothing is known.
func (w *Work) Mean() time.Duration { return w.mean }
