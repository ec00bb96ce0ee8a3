// Package speed tracks how slow the machines of backend servers are at the moment, by their own reports.
//
// A server that shares its machine with others is slow for some hundred milliseconds at a time. Its report tells, but
// is old when the next request is placed, and may be wrong. A report therefore only repels requests: a server that
// claims to be faster than usual is taken as usual, and a claim loses its effect with age.
package speed

import "time"

const (
	// usualWorkTime is the work time of a machine without other load, in percent.
	usualWorkTime = 100
	// fullEffect is the age up to which a report has its full effect, and noEffect the age from which it has none.
	// Machines change their speed several times a second.
	fullEffect = 300 * time.Millisecond
	noEffect   = time.Second
	// maxSlowness bounds the effect of a report. A server that claims to be slower than that gets no fewer requests:
	// its answers show its speed if the claim is wrong.
	maxSlowness = 5
)

// Tracker holds the last report of each backend server. It is not safe for concurrent use.
type Tracker struct {
	reports map[string]report
}

type report struct {
	slowness float64
	at       time.Time
}

// New returns a tracker without reports.
func New() *Tracker { return &Tracker{reports: make(map[string]report)} }

// Reported records a server's work time in percent of the usual one, as received at a time. A value that is not
// positive is no report.
func (t *Tracker) Reported(server string, workTime int, at time.Time) {
	if workTime <= 0 {
		return
	}
	slowness := float64(workTime) / usualWorkTime
	t.reports[server] = report{slowness: min(max(1, slowness), maxSlowness), at: at}
}

// Slowness returns how long work takes at a server as a multiple of the usual time, at least 1.
func (t *Tracker) Slowness(server string, now time.Time) float64 {
	slowness, _ := t.Estimate(server, now)
	return slowness
}

// Estimate returns the server's slowness, and whether the report it rests on is so recent that it has its full effect.
func (t *Tracker) Estimate(server string, now time.Time) (slowness float64, full bool) {
	r, known := t.reports[server]
	if !known {
		return 1, false
	}
	age := now.Sub(r.at)
	effect := float64(noEffect-age) / float64(noEffect-fullEffect)
	return 1 + (r.slowness-1)*min(1, max(0, effect)), age <= fullEffect
}

// Keep drops the servers for which keep returns false.
func (t *Tracker) Keep(keep func(server string) bool) {
	for name := range t.reports {
		if !keep(name) {
			delete(t.reports, name)
		}
	}
}
