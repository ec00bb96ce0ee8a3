// Package separation tells an availability zone from which an instance is cut off from a zone whose backend servers have ended.
//
// A device on the path may reset connections and refuse new ones, which looks like servers that have ended. So the failure of a
// server is in doubt until an instance of its zone confirms it or something else is heard from the zone. Two independent signs
// together tell a cut: no link to an instance of the zone works, although one did before, and servers of the zone fail
// while none answers. A zone that loses power gives the same signs; its servers start anew, which their entries tell.
package separation

import (
	"maps"
	"slices"
	"time"
)

const (
	// linkSilence is the time without a message from any instance of a zone from which its links count as lost although they
	// are open: a cut that drops packets resets nothing. It exceeds the longest interval between digests.
	linkSilence = 2500 * time.Millisecond
	// doubtfulSilence is the same time while servers of the zone fail and none answers. It exceeds the usual interval
	// between digests.
	doubtfulSilence = time.Second
	// minFailures is the number of servers of a zone that must fail before the zone counts as separated at once: one may have
	// ended beside a lost link. If no server answers for a while, one is enough.
	minFailures = 2
	// inFlightTime is the age of a failure from which something that arrives shows that the zone is in contact: what arrives
	// earlier may have been on its way already.
	inFlightTime = 20 * time.Millisecond
	// failureWindow is the time for which a failure counts.
	failureWindow = 2 * time.Second
)

// Tracker holds what one instance knows of its contact with other zones. It is not safe for concurrent use.
type Tracker struct{ zones map[string]*zone }

// zone is the state of one zone.
type zone struct {
	// heardAt is the time of the last message from an instance of the zone, and linked is set while a link to one is up.
	heardAt time.Time
	linked  bool
	// answeredAt is the time of the last response from a server of the zone.
	answeredAt time.Time
	// regainedAt is the time at which contact was last regained.
	regainedAt time.Time
	// failed holds the times of the last failures of the zone's servers since one of them answered.
	failed map[string]time.Time
	// doubted holds the times of the failures that are in doubt.
	doubted map[string]time.Time
	// separatedAt is the time since which the zone is separated, zero if it is not.
	separatedAt time.Time
}

// New returns a tracker that knows of no cut.
func New() *Tracker { return &Tracker{zones: make(map[string]*zone)} }

func (t *Tracker) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{failed: make(map[string]time.Time), doubted: make(map[string]time.Time)}
		t.zones[name] = z
	}
	return z
}

// Heard records a message from an instance of a zone over its link, and reports whether that ends a separation. ended are the
// servers whose failure is no longer in doubt: they have failed by themselves.
func (t *Tracker) Heard(name string, now time.Time) (rejoined bool, ended []string) {
	z := t.zone(name)
	if t.ContactLost(name, now) {
		z.regainedAt = now
	}
	z.heardAt, z.linked = now, true
	return z.rejoin(), z.takeDoubted(now)
}

// takeDoubted removes and returns the servers whose failure was in doubt long enough before a sign of contact, sorted by name.
func (z *zone) takeDoubted(now time.Time) []string {
	var list []string
	for server, at := range z.doubted {
		if now.Sub(at) >= inFlightTime {
			list = append(list, server)
			delete(z.doubted, server)
		}
	}
	slices.Sort(list)
	return list
}

// Linked records whether a link to an instance of a zone is up.
func (t *Tracker) Linked(name string, linked bool) { t.zone(name).linked = linked }

// ContactLost reports whether no link to an instance of a zone works, although one did before. Of a zone from which nothing was ever
// heard this is not known.
func (t *Tracker) ContactLost(name string, now time.Time) bool {
	z := t.zones[name]
	if z == nil || z.heardAt.IsZero() {
		return false
	}
	limit := linkSilence
	if len(z.failed) > 0 {
		limit = doubtfulSilence
	}
	return !z.linked || now.Sub(z.heardAt) > limit
}

// Verdict says what the failure of a server may mean.
type Verdict int

// The verdicts.
const (
	// InContact means that the zone is in contact, so that the server itself has failed.
	InContact Verdict = iota
	// Doubtful means that the server may have ended or be cut off.
	Doubtful
	// Separated means that this instance is cut off from the zone.
	Separated
	// Outdated means that the attempt was sent before contact with the zone was regained, and may have failed at the cut.
	Outdated
)

// ServerFailed records that a server of a zone closed the connection of an attempt that was sent at a time, or took none. confirmed is
// set if an instance of the zone has found the same.
func (t *Tracker) ServerFailed(name, server string, confirmed bool, sentAt, now time.Time) Verdict {
	z := t.zone(name)
	switch {
	case confirmed:
		return InContact
	case sentAt.Before(z.regainedAt):
		return Outdated
	}
	z.failed[server] = now
	if z.separatedAt.IsZero() && !t.separates(name, now) {
		z.doubted[server] = now
		return Doubtful
	}
	return Separated
}

// separates makes a zone separated if the signs suffice, and reports whether they do.
func (t *Tracker) separates(name string, now time.Time) bool {
	z := t.zones[name]
	maps.DeleteFunc(z.failed, func(_ string, at time.Time) bool { return now.Sub(at) > failureWindow })
	if len(z.failed) == 0 || !t.ContactLost(name, now) {
		return false
	}
	if len(z.failed) < minFailures && now.Sub(z.answeredAt) < doubtfulSilence {
		return false
	}
	z.separatedAt = now
	clear(z.doubted)
	return true
}

// Tick returns the zones that have become separated without a further failure, sorted by name: contact was lost after their servers had
// failed.
func (t *Tracker) Tick(now time.Time) []string {
	var list []string
	for name, z := range t.zones {
		if len(z.failed) > 0 && z.separatedAt.IsZero() && t.separates(name, now) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// ServerAnswered records a response from a server of a zone, with the results of Heard.
func (t *Tracker) ServerAnswered(name string, now time.Time) (rejoined bool, ended []string) {
	z := t.zone(name)
	z.answeredAt = now
	clear(z.failed)
	return z.rejoin(), z.takeDoubted(now)
}

// rejoin ends a separation, and reports whether there was one.
func (z *zone) rejoin() bool {
	separated := !z.separatedAt.IsZero()
	z.separatedAt = time.Time{}
	return separated
}

// Separated reports whether a zone is separated, and since when.
func (t *Tracker) Separated(name string) (since time.Time, separated bool) {
	z := t.zones[name]
	if z == nil {
		return time.Time{}, false
	}
	return z.separatedAt, !z.separatedAt.IsZero()
}

// Failed returns the servers of a zone that have failed lately, since one of them answered, sorted by name.
func (t *Tracker) Failed(name string) []string {
	z := t.zones[name]
	if z == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(z.failed))
}

// Zones returns the separated zones, sorted by name.
func (t *Tracker) Zones() []string {
	var list []string
	for name, z := range t.zones {
		if !z.separatedAt.IsZero() {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
