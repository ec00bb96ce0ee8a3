package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Timing of the lease that keeps this instance's own entry in the platform's store, by which
// its peers find it.
const (
	// registrationTTL is how long the entry outlives its instance. Failure detection does not
	// depend on it: peers detect a dead instance by its links. An instance that restarts
	// within that time finds its entry and needs no new one.
	registrationTTL = time.Minute
	// registrationRenewInterval is the interval at which the lease is renewed. Three renewals in a
	// row may fail.
	registrationRenewInterval = registrationTTL / 4
)

// registrationState is this instance's lease and entry.
type registrationState struct {
	call OpID
	// lease is 0 while there is none, and attached is set once the entry is attached to it.
	lease    uint64
	attached bool
	failures int
	nextCall time.Time
}

// tickRegistration obtains the lease, writes the entry under it, and renews it. It waits for
// the first list of instances, which shows whether an entry exists already. An instance that
// peers cannot reach has no entry.
func (n *Node) tickRegistration() {
	s := &n.registration
	if n.settings.PeerAddress == "" || s.call != 0 || n.now.Before(s.nextCall) || !n.members.readAttempted() {
		return
	}
	s.call = n.nextOp()
	if s.attached {
		n.emit(RenewLease{Op: s.call, Lease: s.lease})
		return
	}
	n.emit(Register{Op: s.call, Lease: s.lease, TTL: registrationTTL, Instance: n.ownEntry()})
}

// ownEntry returns the entry that this instance writes to the store.
func (n *Node) ownEntry() membership.Member {
	return membership.Member{
		Name: n.settings.Name, Role: membership.RoleInstance, Zone: n.settings.Zone,
		Address: n.settings.PeerAddress, Incarnation: n.settings.Incarnation, State: membership.Live,
	}
}

// adoptOwnEntry adopts the entry of an earlier process of the same name if it differs from
// this one's only by the incarnation. A renewal costs a tenth of a call, but a new lease and
// entry cost two. The earlier incarnation in the entry does no harm, because peers learn the
// new one over their links.
func (n *Node) adoptOwnEntry(e InstancesListed) {
	s := &n.registration
	if s.attached || s.call != 0 || e.OwnLease == 0 {
		return
	}
	for _, member := range e.Members {
		member.Incarnation = n.settings.Incarnation
		if member == n.ownEntry() {
			s.lease, s.attached = e.OwnLease, true
		}
	}
}

// leaseReplied handles the result of a registration or a renewal. An expired lease has
// removed the entry with it, so both are created again.
func (n *Node) leaseReplied(e LeaseReplied) {
	s := &n.registration
	if e.Op != s.call {
		return
	}
	s.call = 0
	switch e.Status {
	case StoreOK:
		s.failures = 0
		s.lease, s.attached = e.Lease, true
		s.nextCall = n.now.Add(n.jitter(registrationRenewInterval))
	case StoreAbsent:
		s.lease, s.attached = 0, false
	default:
		s.failures++
		// A lease that was granted is kept even if the entry was not written.
		s.lease = max(s.lease, e.Lease)
		s.nextCall = n.now.Add(n.backoffDelay(time.Second, registrationRenewInterval, s.failures))
	}
}
