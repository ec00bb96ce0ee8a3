package streams

import (
	"maps"
	"time"
)

// RegistrationLag is the time within which a backend server that has started writes its entry.
const RegistrationLag = time.Second

// Ended holds when the processes of backend servers were last seen to end. Another one may run under the same name since. Its
// zero value is empty. It is not safe for concurrent use.
type Ended struct{ at map[string]time.Time }

// Add records that a server's process was seen to end.
func (e *Ended) Add(server string, now time.Time) {
	if e.at == nil {
		e.at = make(map[string]time.Time)
	}
	e.at[server] = now
}

// Forget forgets a server whose present process is known.
func (e *Ended) Forget(server string) { delete(e.at, server) }

// Unverified returns the servers that may run another version under the same name since, if the store is known as of knownAsOf. Their
// order is not defined.
func (e *Ended) Unverified(knownAsOf time.Time) []string {
	var names []string
	for name, at := range e.at {
		if knownAsOf.Before(at.Add(RegistrationLag)) {
			names = append(names, name)
		}
	}
	return names
}

// Expire forgets the ends that are older than Retention.
func (e *Ended) Expire(now time.Time) {
	maps.DeleteFunc(e.at, func(_ string, at time.Time) bool { return now.Sub(at) > Retention })
}
