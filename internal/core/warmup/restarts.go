package warmup

import (
	"maps"
	"slices"
	"time"
)

// maxRestarts is the maximum number of restarts in a message. The servers of the largest zones fit.
const maxRestarts = 256

// Restarts holds the servers of whose ends a peer is to be informed, with the time of the sign of each end. Its zero value is empty. It is not safe
// for concurrent use.
type Restarts struct{ at map[string]time.Time }

// Add records that a server has ended, with the time of the sign of it.
func (r *Restarts) Add(server string, at time.Time) {
	if r.at == nil {
		r.at = make(map[string]time.Time)
	}
	r.at[server] = at
}

// Clear forgets all ends.
func (r *Restarts) Clear() { clear(r.at) }

// Take removes the ends that fit into one message, ordered by the servers' names, and calls f for each with its age.
func (r *Restarts) Take(now time.Time, f func(server string, age time.Duration)) {
	servers := slices.Sorted(maps.Keys(r.at))
	for _, server := range servers[:min(maxRestarts, len(servers))] {
		f(server, now.Sub(r.at[server]))
		delete(r.at, server)
	}
}
