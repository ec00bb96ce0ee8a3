package shedding

import (
	"math"
	"time"
)

const (
	// minFraction is the smallest admitted fraction. Without requests, an instance would get no reports that show the end of the
	// overload.
	minFraction = 0.05
	// measureTime is the time constant with which arrivals and completions decay.
	measureTime = 600 * time.Millisecond
	// recentTime is the time constant of the recent arrivals, which show the end of an overload.
	recentTime = 200 * time.Millisecond
	// averageTime is the time constant of the average utilization from which the expected fraction follows. recoveryTime replaces it
	// while the utilization is below idleBelow, so that the fraction recovers within a second.
	averageTime  = 1500 * time.Millisecond
	recoveryTime = 400 * time.Millisecond
	idleBelow    = 0.7
	// drainTime is the time in which an excess of the queue over its target is to be drained. A report is some hundred milliseconds
	// old. A shorter drainTime makes all instances admit and refuse in turn.
	drainTime = 280 * time.Millisecond
	// minCorrection and maxCorrection bound the effect of the length of the queue on the fraction.
	minCorrection, maxCorrection = 0.5, 1.5
	// expectedRequests is the number of arrivals as which the expected fraction counts beside the measured ones. Without it, an
	// instance that admits less than its part of what the servers can finish would go on doing so.
	expectedRequests = 1
	// rampStart and rampEnd are the average utilizations between which the measured fraction gains its effect; if the target is
	// below rampStart, the range starts at the target. A burst of some hundred milliseconds is left to the servers' queues.
	rampStart, rampEnd = 1.2, 1.7
	// minUsed is the smallest part of the slots in use from which the servers' capacity is inferred. It bounds the error of a
	// division by a small number.
	minUsed = 0.1
	// maxElapsed limits the time between two updates, so that an instance that was frozen behaves like one that was idle.
	maxElapsed = 4 * time.Second
)

// Demand is the state of a service on which the admitted fraction is based. Utilizations are multiples of the requests that its
// servers run concurrently.
type Demand struct {
	// Utilization is the load at the moment.
	Utilization float64
	// Target is the utilization at which queues have the right length, and Limit the one at which responses are late.
	Target, Limit float64
	// Work is the time that a server takes for a request without a queue, 0 if it is not known.
	Work time.Duration
}

// valid reports whether the figures can be used.
func (d Demand) valid() bool {
	return d.Utilization >= 0 && d.Target > 0 && d.Limit > d.Target && !math.IsInf(d.Utilization, 1) && !math.IsInf(d.Limit, 1)
}

// fraction is the admitted fraction of a service.
type fraction struct {
	value float64
	// arrived and completed are the decayed numbers of requests that arrived here and that servers completed, and used is the
	// average part of the servers' slots that were in use meanwhile.
	arrived, completed, used float64
	// recentArrivals is the number of arrivals, decayed with recentTime.
	recentArrivals float64
	// average is the average utilization.
	average   float64
	updatedAt time.Time
}

// update computes the fraction: what the servers can complete of the arrivals here, corrected by the length of their queues.
//
// While no slot is free, the completions do not depend on what is admitted, so their ratio to the arrivals is the right fraction at
// once, at any overload. The queues only need a small correction.
func (f *fraction) update(d Demand, now time.Time) {
	elapsed := min(max(0, now.Sub(f.updatedAt)), maxElapsed)
	f.updatedAt = now
	keep := math.Exp(-elapsed.Seconds() / measureTime.Seconds())
	f.arrived *= keep
	f.completed *= keep
	f.recentArrivals *= math.Exp(-elapsed.Seconds() / recentTime.Seconds())
	if !d.valid() {
		f.value, f.average, f.used = 1, 0, 0
		return
	}
	f.used = keep*f.used + (1-keep)*min(1, d.Utilization)
	constant := averageTime
	if d.Utilization < idleBelow {
		constant = recoveryTime
	}
	keepAverage := math.Exp(-elapsed.Seconds() / constant.Seconds())
	f.average = keepAverage*f.average + (1-keepAverage)*min(d.Utilization, d.Limit)
	over := max(0, (f.average-min(1, d.Target))/(d.Limit-min(1, d.Target)))
	expected := math.Pow(minFraction, over)
	possible := f.completed/max(f.used, minUsed) + expectedRequests*expected
	measured := min(max(minFraction, possible/(f.arrivals()+expectedRequests)*correction(d)), 1)
	from := min(rampStart, d.Target)
	overloaded := min(max(0, (f.average-from)/(rampEnd-rampStart)), 1)
	f.value = 1 - overloaded*(1-measured)
}

// arrivals returns the number of arrivals within measureTime. It is limited to what the recent arrivals explain, plus three standard
// deviations: otherwise the end of an overload would show only when the arrivals before it are forgotten.
func (f *fraction) arrivals() float64 {
	projected := f.recentArrivals * measureTime.Seconds() / recentTime.Seconds()
	return min(f.arrived, projected+3*math.Sqrt(projected)+1)
}

// correction returns the factor by which the fraction is changed to lengthen or shorten the queues to their target.
func correction(d Demand) float64 {
	work := d.Work
	if work <= 0 {
		// A small correction is safe for any work.
		work = drainTime / 10
	}
	factor := 1 - (d.Utilization-d.Target)*work.Seconds()/drainTime.Seconds()
	if d.Utilization < 1 {
		factor += 1 - d.Utilization
	}
	return min(max(minCorrection, factor), maxCorrection)
}
