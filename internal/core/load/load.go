// Package load estimates how many requests each backend server has in progress, from this
// instance's own requests, the peers' digests and the servers' delayed reports.
//
// The basis of an estimate depends on how much of the fleet sends digests to this instance, and
// on how long the server's requests take:
//
//	FromCounts    the sum of this instance's requests in progress, which is exact; each
//	              peer's count from its last digest, reduced once the peer is silent; and
//	              unseen, the excess of the server's last report over the recent peak of
//	              these counts
//	FromReports   the same sum, but unseen is the difference between the report and the
//	              counts at the time the report arrives; it may be negative and stays until
//	              the next report
//	FromAverages  the mean of the server's reports of the last second or, without recent
//	              reports, the sum of the own and the peers' counts
//
// FromCounts suits a fleet in which all instances exchange digests. A report is delayed by an
// unknown time, so only the part that the counts cannot explain is unseen, which is nearly
// always zero. An instance that is cut off from its peers falls back on the last report plus
// the requests it has sent since.
//
// FromReports suits engines whose load comes partly from instances that send no digests to this
// one, or late ones: the peak of the counts would hide that load.
//
// FromAverages suits servers whose requests end before any count of them arrives. With the last
// report or the last counts, all instances would choose the same idle server and avoid the same
// busy one although both states are outdated.
package load

import (
	"math"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

const (
	// reportWindow is the maximum age of the load in a report when the report arrives. It covers
	// a lag of 2 s and the interval between digests.
	reportWindow = 3 * time.Second
	// reportTTL is the time for which a report counts if no newer one arrives.
	reportTTL = 10 * time.Second
	// peerSilentAfter is the time without digests after which a peer's counts begin to fade.
	peerSilentAfter = 3 * time.Second
	// peerFadeTime is the time in which the counts of a silent peer fade to zero. The requests of
	// a crashed instance end within about this time.
	peerFadeTime = 12 * time.Second
	// fadeSteps is the number of steps in which counts fade, so that a silent peer costs work
	// only at each step. A power of two keeps all sums exact.
	fadeSteps = 4
	// clockResetAfter is the time without accepted messages after which a sender's clock that was
	// set back is accepted.
	clockResetAfter = 10 * time.Second
	// sweepInterval is the interval at which reports and peers are aged.
	sweepInterval = 500 * time.Millisecond
	// averageWindow is the time constant of the moving average of reports and of its decay without
	// reports.
	averageWindow = time.Second
	// recentWindow is the time constant of the average that Recent returns.
	recentWindow = 200 * time.Millisecond
	// minAverage is the smallest average that does not count as zero.
	minAverage = 0.05
)

// Basis selects how the load of a backend server is estimated.
type Basis int

// The bases; see the package comment.
const (
	// FromCounts uses the own and peers' counts, plus the excess of the last report over their
	// peak.
	FromCounts Basis = iota
	// FromReports uses the last report plus the changes of the counts since.
	FromReports
	// FromAverages uses the mean of the recent reports.
	FromAverages
)

// Count is the number of requests of one instance at one backend server.
type Count struct {
	Backend  string `json:"backend"`
	InFlight int    `json:"in_flight"`
}

// Tracker tracks the loads of backend servers. Names of backend servers are unique in the fleet.
type Tracker struct {
	backends map[string]*backend
	// busy holds the records of the backend servers with requests of this instance.
	busy      map[string]*backend
	peers     map[string]*peer
	nextSweep time.Time
	changed   []string
}

// backend holds the counts and reports of one backend server.
type backend struct {
	own    int
	peers  float64
	unseen float64
	peak   peak
	report membership.Report
	// basis is the basis given with the last report, and average the moving average of reports.
	basis   Basis
	average float64
	// recent is the moving average of reports over recentWindow.
	recent float64
	// reportedAt is the time at which the report arrived; zero if there is none.
	reportedAt time.Time
}

// peer holds the counts received from one peer.
type peer struct {
	// sentAt is the time of the last digest by the peer's clock, receivedAt its arrival by the
	// clock of this instance.
	sentAt     time.Time
	receivedAt time.Time
	// weight is the factor applied to the peer's counts: 1 while digests arrive, 0 once they have
	// faded.
	weight float64
	loads  map[string]int
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{backends: make(map[string]*backend), busy: make(map[string]*backend), peers: make(map[string]*peer)}
}

// backend returns the record of a backend server and creates it if necessary.
func (t *Tracker) backend(name string) *backend {
	b := t.backends[name]
	if b == nil {
		b = &backend{}
		t.backends[name] = b
	}
	return b
}

// counted returns the sum of the own and the peers' counts.
func (b *backend) counted() float64 { return float64(b.own) + b.peers }

// unused reports whether the record holds neither counts nor a recent report.
func (b *backend) unused() bool { return b.own == 0 && b.peers == 0 && b.reportedAt.IsZero() }

// Sent counts a request that this instance sends to a backend server.
func (t *Tracker) Sent(name string, now time.Time) {
	b := t.backend(name)
	b.own++
	t.busy[name] = b
	b.peak.add(b.counted(), now)
}

// Ended counts the end of a request of this instance.
func (t *Tracker) Ended(name string, now time.Time) {
	b := t.backend(name)
	b.peak.add(b.counted(), now)
	b.own = max(0, b.own-1)
	if b.own == 0 {
		delete(t.busy, name)
	}
}

// Own returns this instance's requests in progress at a backend server.
func (t *Tracker) Own(name string) int {
	if b := t.backends[name]; b != nil {
		return b.own
	}
	return 0
}

// LastReport returns the time at which a backend server's last report arrived, and whether there
// is a recent one.
func (t *Tracker) LastReport(name string) (time.Time, bool) {
	b := t.backends[name]
	if b == nil || b.reportedAt.IsZero() {
		return time.Time{}, false
	}
	return b.reportedAt, true
}

// EachOwn calls f for every backend server with requests of this instance, in no particular order.
func (t *Tracker) EachOwn(f func(backend string, inFlight int)) {
	for name, b := range t.busy {
		f(name, b.own)
	}
}

// Parts holds the components of an estimate.
type Parts struct {
	// Own is the number of this instance's requests, and Peers the weighted count of the peers'
	// requests.
	Own   int     `json:"own,omitempty"`
	Peers float64 `json:"peers,omitempty"`
	// Unseen is the correction by the backend server's last report; it may be negative.
	Unseen float64 `json:"unseen,omitempty"`
	// Average is the mean of the server's recent reports; set only with the basis FromAverages.
	Average float64 `json:"average,omitempty"`
}

// Parts returns the components of the estimate of a backend server's load.
func (t *Tracker) Parts(name string) Parts {
	b := t.backends[name]
	switch {
	case b == nil:
		return Parts{}
	case b.basis == FromAverages:
		return Parts{Own: b.own, Peers: b.peers, Average: b.average}
	default:
		return Parts{Own: b.own, Peers: b.peers, Unseen: b.unseen}
	}
}

// Estimate returns the estimated number of requests in progress at a backend server.
func (t *Tracker) Estimate(name string) float64 {
	b := t.backends[name]
	if b == nil {
		return 0
	}
	if b.basis == FromAverages {
		return max(float64(b.own), b.average)
	}
	return max(0, b.counted()+b.unseen)
}

// Recent returns the moving average of a backend server's reports over recentWindow, but at least this instance's requests there. It
// varies more than the estimate and lags less: it is meant for decisions that add up many servers. It does not decay without reports.
func (t *Tracker) Recent(name string) float64 {
	b := t.backends[name]
	if b == nil {
		return 0
	}
	return max(float64(b.own), b.recent)
}

// ApplyDigest applies the counts in a peer's digest: all of them if full is set, else those that
// changed. It returns the backend servers whose estimate changed; the slice is valid until the
// next call of the tracker.
//
// Digests may arrive late, twice or out of order. A digest that is older by the peer's own clock
// is dropped, unless the peer was silent for clockResetAfter, so that its clock must have been set
// back.
func (t *Tracker) ApplyDigest(name string, at time.Time, full bool, counts []Count, now time.Time) []string {
	t.changed = t.changed[:0]
	p := t.peers[name]
	if p == nil {
		p = &peer{loads: make(map[string]int), weight: 1}
		t.peers[name] = p
	} else if at.Before(p.sentAt) && now.Sub(p.receivedAt) < clockResetAfter {
		return nil
	}
	p.sentAt, p.receivedAt = at, now
	if p.weight != 1 {
		t.setWeight(p, 1, now)
	}
	if full {
		t.zeroMissing(p, counts, now)
	}
	for _, c := range counts {
		t.setLoad(p, c, now)
	}
	return t.sortedChanges()
}

// setLoad sets a peer's count at one backend server.
func (t *Tracker) setLoad(p *peer, c Count, now time.Time) {
	inFlight := max(0, c.InFlight)
	old := p.loads[c.Backend]
	if old == inFlight {
		return
	}
	b := t.backend(c.Backend)
	b.peak.add(b.counted(), now)
	b.peers += float64(inFlight-old) * p.weight
	b.peak.add(b.counted(), now)
	if inFlight > old && b.basis == FromCounts {
		// A report that arrived before this digest counted these requests as unseen. They
		// would count twice until the next report, which takes seconds at an idle server.
		b.unseen = max(0, b.unseen-float64(inFlight-old)*p.weight)
	}
	if inFlight == 0 {
		delete(p.loads, c.Backend)
	} else {
		p.loads[c.Backend] = inFlight
	}
	t.changed = append(t.changed, c.Backend)
}

// zeroMissing sets a peer's counts to zero at the backend servers that a full digest lacks.
func (t *Tracker) zeroMissing(p *peer, counts []Count, now time.Time) {
	listed := make(map[string]bool, len(counts))
	for _, c := range counts {
		listed[c.Backend] = true
	}
	for name := range p.loads {
		if !listed[name] {
			t.setLoad(p, Count{Backend: name}, now)
		}
	}
}

// setWeight changes the weight of a peer's counts.
func (t *Tracker) setWeight(p *peer, weight float64, now time.Time) {
	for name, inFlight := range p.loads {
		b := t.backend(name)
		b.peak.add(b.counted(), now)
		b.peers += float64(inFlight) * (weight - p.weight)
		t.changed = append(t.changed, name)
	}
	p.weight = weight
}

// ForgetPeer drops the counts of a peer that has left the fleet or restarted. It returns the
// backend servers whose estimate changed.
func (t *Tracker) ForgetPeer(name string, now time.Time) []string {
	t.changed = t.changed[:0]
	if p := t.peers[name]; p != nil {
		t.setWeight(p, 0, now)
		delete(t.peers, name)
	}
	return t.sortedChanges()
}

// ApplyReport applies a backend server's own report of its load and reports whether the estimate
// changed.
//
// The same report may arrive from a response header, a poll and several peers, in any order. A
// report that is not newer by the server's own clock or that is from an earlier incarnation is
// dropped. A clock that was set back is accepted after clockResetAfter without reports.
func (t *Tracker) ApplyReport(r membership.Report, basis Basis, now time.Time) bool {
	b := t.backend(r.Backend)
	if !b.reportedAt.IsZero() && !supersedes(r, b, now) {
		return false
	}
	old := t.Estimate(r.Backend)
	b.addToAverage(float64(r.InFlight), now)
	b.report, b.reportedAt, b.basis = r, now, basis
	b.peak.add(b.counted(), now)
	b.unseen = b.unseenIn(float64(r.InFlight))
	return t.Estimate(r.Backend) != old
}

// addToAverage adds a report to the moving average. A single report, including the first, never has
// most of the weight, since the load that it shows may have ended.
func (b *backend) addToAverage(reported float64, now time.Time) {
	since := now.Sub(b.reportedAt)
	b.average += reportWeight(since, averageWindow) * (reported - b.average)
	b.recent += reportWeight(since, recentWindow) * (reported - b.recent)
}

// reportWeight returns the weight of a report that arrives a time after the one before it, in an average with a time constant.
func reportWeight(since, window time.Duration) float64 {
	return 1 - math.Exp(-min(since, window/2).Seconds()/window.Seconds())
}

// decayAverage decays an average without recent reports, but not below the own and the peers'
// counts: a server that hangs sends no reports and would look idle while its queue grows. It
// reports whether the estimate changed.
func (b *backend) decayAverage(now time.Time) bool {
	if b.basis != FromAverages || now.Sub(b.reportedAt) < sweepInterval {
		return false
	}
	old := b.average
	b.average = max(b.counted(), b.average*math.Exp(-sweepInterval.Seconds()/averageWindow.Seconds()))
	if b.average < minAverage {
		b.average = 0
	}
	return b.average != old
}

// unseenIn returns the part of a reported load that the counts do not explain.
func (b *backend) unseenIn(reported float64) float64 {
	if b.basis == FromReports {
		return reported - b.counted()
	}
	return max(0, reported-b.peak.max())
}

// supersedes reports whether a report supersedes the last one of the backend server.
func supersedes(r membership.Report, b *backend, now time.Time) bool {
	if r.Incarnation != b.report.Incarnation {
		return r.Incarnation > b.report.Incarnation
	}
	return r.At.After(b.report.At) || now.Sub(b.reportedAt) >= clockResetAfter
}

// Tick ages silent peers and old reports. It returns the backend servers whose estimate changed.
func (t *Tracker) Tick(now time.Time) []string {
	if now.Before(t.nextSweep) {
		return nil
	}
	t.nextSweep = now.Add(sweepInterval)
	t.changed = t.changed[:0]
	for name, p := range t.peers {
		if weight := peerWeight(now.Sub(p.receivedAt)); weight != p.weight {
			t.setWeight(p, weight, now)
		}
		if p.weight == 0 {
			delete(t.peers, name)
		}
	}
	for name, b := range t.backends {
		if b.decayAverage(now) {
			t.changed = append(t.changed, name)
		}
		if !b.reportedAt.IsZero() && now.Sub(b.reportedAt) > reportTTL && b.unseen != 0 {
			b.unseen = 0
			t.changed = append(t.changed, name)
		}
		if now.Sub(b.reportedAt) > 2*reportTTL {
			b.reportedAt = time.Time{}
		}
		if b.unused() {
			delete(t.backends, name)
		}
	}
	return t.sortedChanges()
}

// peerWeight returns the weight of a peer's counts after a time without digests.
func peerWeight(silence time.Duration) float64 {
	if silence <= peerSilentAfter {
		return 1
	}
	step := 1 + fadeSteps*(silence-peerSilentAfter)/peerFadeTime
	return max(0, float64(fadeSteps-step)/fadeSteps)
}

// sortedChanges sorts t.changed, removes duplicates and returns it.
func (t *Tracker) sortedChanges() []string {
	slices.Sort(t.changed)
	t.changed = slices.Compact(t.changed)
	return t.changed
}

// peak tracks the highest value of the last one to two report windows.
type peak struct {
	since             time.Time
	current, previous float64
}

func (p *peak) add(v float64, now time.Time) {
	switch age := now.Sub(p.since); {
	case age >= 2*reportWindow:
		p.since, p.current, p.previous = now, v, v
	case age >= reportWindow:
		p.since, p.current, p.previous = now, v, p.current
	default:
		p.current = max(p.current, v)
	}
}

func (p *peak) max() float64 { return max(p.current, p.previous) }
