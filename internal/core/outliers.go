package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/outlier"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/routing"
)

const (
	// outlierCheckInterval is the interval at which the failure rates of each service's
	// servers are compared.
	outlierCheckInterval = 250 * time.Millisecond
	// outlierWithheld is the fraction of its share of the load that an outlier does not get
	// while other servers have capacity. If all servers are outliers, they still serve.
	outlierWithheld = 0.95
	// lateGoalFactor is the time to the first byte, as a multiple of the latency goal,
	// after which an attempt counts as a failure of its server. A healthy engine under a
	// burst exceeds the goal by one or two times the goal.
	lateGoalFactor = 3
	// minLateAfter is the minimum of that time.
	minLateAfter = time.Second
)

// outlierState is the state of the outlier detection: it finds backend servers that fail more
// often than the others of their service.
type outlierState struct {
	tracker   *outlier.Tracker
	checkedAt time.Time
}

// lateAfter returns the time after which an attempt without a first byte counts as a failure
// of its server; 0 means never.
func (r *request) lateAfter() time.Duration {
	if r.route == nil {
		return 0
	}
	return max(minLateAfter, lateGoalFactor*time.Duration(r.route.Goal))
}

// countLate counts an attempt whose response has not begun in time as a failure, once. A
// later response does not count as a success.
func (n *Node) countLate(r *request, number int) {
	if r.selectAttempt(number) && !r.responseStarted && !r.outcomeCounted {
		r.outcomeCounted = true
		n.countAnswer(r.backend, outlier.Count{Answers: 1, Failures: 1})
	}
}

// countOutcome counts the outcome of an attempt as a success or a failure of its server. It
// ignores attempts that did not reach the server, those whose caller disconnected and those that may
// have failed on the way: peers would take this instance's lost path for a failing server. It also ignores
// the failure response of a second server: the request itself may be the cause, and servers that
// get many retries would seem to fail more often than those that get the first attempts.
func (n *Node) countOutcome(r *request, outcome retry.Outcome) {
	failsAnywhere := outcome == retry.Failed && r.hasFailureResponse
	if !failsAnywhere && !n.pathIsSuspect(r, outcome) {
		n.countOutcomeAtServer(r, outcome)
	}
}

// countOutcomeAtServer is countOutcome for an outcome that is not due to the path.
func (n *Node) countOutcomeAtServer(r *request, outcome retry.Outcome) {
	if r.outcomeCounted || r.callerGone || outcome == retry.NotSent {
		return
	}
	r.outcomeCounted = true
	c := outlier.Count{Answers: 1}
	if outcome != retry.Answered {
		c.Failures = 1
	}
	n.countAnswer(r.backend, c)
}

// countAnswer adds counts of responses to the tracker and to the counts for the peers.
func (n *Node) countAnswer(backend string, c outlier.Count) {
	n.outliers.tracker.Add(backend, c, n.now)
	for _, p := range n.peers.byName {
		if p.connected {
			sum := p.pendingAnswers[backend]
			sum.Answers += c.Answers
			sum.Failures += c.Failures
			p.pendingAnswers[backend] = sum
		}
	}
}

// tickOutliers runs the outlier detection and updates the withheld share of each server.
func (n *Node) tickOutliers() {
	if n.now.Sub(n.outliers.checkedAt) < outlierCheckInterval {
		return
	}
	n.outliers.checkedAt = n.now
	for _, p := range n.pools {
		names := make([]string, 0, len(p.candidates))
		for i := range p.candidates {
			names = append(names, p.candidates[i].Name)
		}
		for _, name := range n.outliers.tracker.DetectOutliers(names, n.now) {
			n.emit(StateChanged{Subject: SubjectBackend, Name: name, State: "suspect", Cause: "its failure rate is higher than that of the other servers"})
		}
		for i := range p.candidates {
			if c := &p.candidates[i]; c.WithheldShare > 0 || n.outliers.tracker.IsOutlier(c.Name, n.now) {
				n.updateWithheldShare(c)
			}
		}
	}
	n.outliers.tracker.Keep(func(name string) bool { return n.poolByBackend[name] != nil })
	n.speed.Keep(func(name string) bool { return n.poolByBackend[name] != nil })
}

// updateWithheldShare updates the share of requests that a backend server does not get because it has just returned or fails often.
func (n *Node) updateWithheldShare(c *routing.Candidate) {
	c.WithheldShare = 1 - n.view.LoadShare(c.Name, n.now)
	if n.outliers.tracker.IsOutlier(c.Name, n.now) {
		c.WithheldShare = max(c.WithheldShare, outlierWithheld)
	}
}

// addAnswers adds the response counts since the last digest, for servers with failures.
// Servers without failures are left out: their counts would only make the others look
// worse.
func (n *Node) addAnswers(p *peerState, d *Digest) {
	for backend, c := range p.pendingAnswers {
		if c.Failures > 0 {
			d.Answers = append(d.Answers, BackendAnswers{Backend: backend, Answers: c.Answers, Failures: c.Failures})
			delete(p.pendingAnswers, backend)
		}
	}
	slices.SortFunc(d.Answers, func(a, b BackendAnswers) int { return cmp.Compare(a.Backend, b.Backend) })
	if len(p.pendingAnswers) > maxPendingAnswers {
		clear(p.pendingAnswers)
	}
}

// peerAnswers adds a peer's response counts to the tracker.
func (n *Node) peerAnswers(d *Digest) {
	for _, a := range d.Answers {
		if n.poolByBackend[a.Backend] != nil && a.Answers >= 0 && a.Failures >= 0 {
			n.outliers.tracker.Add(a.Backend, outlier.Count{Answers: a.Answers, Failures: a.Failures}, n.now)
		}
	}
}
