package claims

import (
	"fmt"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

const (
	// ownerSuspectTimeout is how long no claim is forwarded to an owner that did not answer.
	ownerSuspectTimeout = 10 * time.Second
	// ownerLinkInterval is the interval at which links to all owners are requested while there are claims.
	ownerLinkInterval = time.Second
)

// Owners holds which instance normally writes to each partition, and which of them did not answer recently. Its zero value is ready to use.
// It is not safe for concurrent use.
type Owners struct {
	// owners caches the owner of each partition, computed from instances.
	owners    [Partitions]string
	instances []string
	suspects  peerask.Pauses[string]
	// linksRequestedAt is when links to the owners were last requested.
	linksRequestedAt time.Time
}

// Of returns the owner of a partition among the live instances, of which there is at least one. The result is cached by the identity
// of the slice: a changed list must be a new slice. Instances may temporarily disagree about the owner; several then write, and
// compare-and-swap decides.
func (o *Owners) Of(partition int, instances []string) string {
	if len(o.instances) != len(instances) || &o.instances[0] != &instances[0] {
		o.instances = instances
		for i := range o.owners {
			o.owners[i] = rendezvous.Top(rendezvous.Hash(fmt.Sprintf("claims/%d", i)), instances, 1)[0]
		}
	}
	return o.owners[partition]
}

// Suspect records that an owner did not answer.
func (o *Owners) Suspect(owner string, now time.Time) {
	o.suspects.Set(owner, now.Add(ownerSuspectTimeout))
}

// Suspected reports whether an owner recently failed to answer.
func (o *Owners) Suspected(owner string, now time.Time) bool { return o.suspects.Active(owner, now) }

// Expire forgets the owners that may be forwarded to again.
func (o *Owners) Expire(now time.Time) { o.suspects.Expire(now) }

// LinksDue reports whether links to the owners are to be requested again, and records that they are.
func (o *Owners) LinksDue(now time.Time) bool {
	if now.Before(o.linksRequestedAt.Add(ownerLinkInterval)) {
		return false
	}
	o.linksRequestedAt = now
	return true
}
