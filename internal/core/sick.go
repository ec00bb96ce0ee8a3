package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/health"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// judgeInterval is the interval at which the failure rates of each service's
	// servers are compared.
	judgeInterval = 250 * time.Millisecond
	// suspectWithheld is the fraction of its share of the load that an outlier does not get
	// while other servers have capacity. If all servers are outliers, they still serve.
	suspectWithheld = 0.95
	// lateGoals is the time to the first byte, as a multiple of the latency goal,
	// after which an attempt counts as a failure of its server. A healthy engine under a
	// burst exceeds the goal by one or two times the goal.
	lateGoals = 3
	// leastLate is the minimum of that time.
	leastLate = time.Second
)

// sickState is the state of the outlier detection: it finds backend servers that fail more
// often than the others of their service.
type sickState struct {
	tracker  *health.Tracker
	judgedAt time.Time
}

// lateAfter returns the time after which an attempt without a first byte counts as a failure
// of its server; 0 means never.
func (r *request) lateAfter() time.Duration {
	if r.route == nil {
		return 0
	}
	return max(leastLate, lateGoals*time.Duration(r.route.Goal))
}

// countLate counts an attempt whose response has not begun in time as a failure, once. A
// later response does not count as a success.
func (n *Node) countLate(r *request, attempt int) {
	if r.running && r.attempt == attempt && !r.started && !r.judged {
		r.judged = true
		n.countAnswer(r.backend, health.Count{Answers: 1, Failures: 1})
	}
}

// judgeEnd counts the outcome of an attempt as a success or a failure of its server. It
// ignores attempts that did not reach the server and those whose caller disconnected.
func (n *Node) judgeEnd(r *request, outcome retry.Outcome) {
	if r.judged || r.gone || outcome == retry.NotSent {
		return
	}
	r.judged = true
	c := health.Count{Answers: 1}
	if outcome != retry.Answered {
		c.Failures = 1
	}
	n.countAnswer(r.backend, c)
}

// countAnswer adds counts of responses to the tracker and to the counts for the peers.
func (n *Node) countAnswer(backend string, c health.Count) {
	n.sick.tracker.Add(backend, c, n.now)
	for _, p := range n.peers.byName {
		if p.connected {
			sum := p.answers[backend]
			sum.Answers += c.Answers
			sum.Failures += c.Failures
			p.answers[backend] = sum
		}
	}
}

// tickSick runs the outlier detection and updates the withheld share of each server.
func (n *Node) tickSick() {
	if n.now.Sub(n.sick.judgedAt) < judgeInterval {
		return
	}
	n.sick.judgedAt = n.now
	for _, p := range n.pools {
		names := make([]string, 0, len(p.candidates))
		for i := range p.candidates {
			names = append(names, p.candidates[i].Name)
		}
		for _, name := range n.sick.tracker.Judge(names, n.now) {
			n.emit(Learned{Subject: OfBackend, Name: name, State: "suspect", Cause: "its failure rate is higher than that of the other servers"})
		}
		for i := range p.candidates {
			c := &p.candidates[i]
			c.Withheld = 1 - n.view.Share(c.Name, n.now)
			if n.sick.tracker.Suspect(c.Name, n.now) {
				c.Withheld = max(c.Withheld, suspectWithheld)
			}
		}
	}
	n.sick.tracker.Keep(func(name string) bool { return n.poolOf[name] != nil })
}

// addAnswers adds the response counts since the last digest, for servers with failures.
// Servers without failures are left out: their counts would only make the others look
// worse.
func (n *Node) addAnswers(p *peerState, d *Digest) {
	for _, backend := range sortedKeys(p.answers) {
		if c := p.answers[backend]; c.Failures > 0 {
			d.Answers = append(d.Answers, BackendAnswers{Backend: backend, Answers: c.Answers, Failures: c.Failures})
			delete(p.answers, backend)
		}
	}
	if len(p.answers) > maxPeerAnswers {
		clear(p.answers)
	}
}

// peerAnswers adds a peer's response counts to the tracker.
func (n *Node) peerAnswers(d *Digest) {
	for _, a := range d.Answers {
		if n.poolOf[a.Backend] != nil && a.Answers >= 0 && a.Failures >= 0 {
			n.sick.tracker.Add(a.Backend, health.Count{Answers: a.Answers, Failures: a.Failures}, n.now)
		}
	}
}
