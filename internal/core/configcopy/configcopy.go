// Package configcopy decides when an instance writes a copy of the accepted configuration to the platform's store, and when an
// instance without a configuration reads it.
//
// The copy is needed only where the store holds a text that no instance can read: instances that have run keep the configuration
// before it, but those that have just started would have none. So there is no copy, and no call, before a text is refused. From
// then on the copy follows each accepted configuration, so that an older one is not taken after the next refusal.
package configcopy

import "time"

// Action is the call that is due.
type Action int

// The actions.
const (
	None Action = iota
	// Read means that the copy must be read: to take it, or to learn what a write would replace.
	Read
	// Write means that the configuration in force must be written over the version of the copy that was read.
	Write
)

// Keeper holds what an instance knows of the copy. It is not safe for concurrent use.
type Keeper struct {
	// refused is set while the store holds a text that was refused, and kept once this instance has seen a copy or written one.
	refused, kept bool
	// known is set while version is that of the copy; 0 means that there is none. generation is that of its configuration.
	known               bool
	version, generation uint64
	// nextAt is the earliest time of the next call.
	nextAt   time.Time
	failures int
}

// Refused records that the store holds a text that was refused. The next call is due at a time.
func (k *Keeper) Refused(nextAt time.Time) {
	if !k.refused {
		k.refused, k.known, k.nextAt = true, false, nextAt
	}
}

// Accepted records that the store holds a configuration that was accepted.
func (k *Keeper) Accepted() { k.refused = false }

// Next returns the call that is due. inForce is the generation of the configuration in force, and hasConfig is false if there is
// none. Only instances that follow the store write.
func (k *Keeper) Next(now time.Time, inForce uint64, hasConfig, follows bool) Action {
	switch {
	case now.Before(k.nextAt):
		return None
	case !hasConfig:
		if k.refused {
			return Read
		}
		return None
	case !follows || !k.refused && !k.kept:
		return None
	case !k.known:
		return Read
	case k.generation < inForce || k.version == 0:
		return Write
	default:
		return None
	}
}

// Found records the copy that was read. Version 0 means that there is none. The next read of an instance without a configuration
// is due at a time.
func (k *Keeper) Found(version, generation uint64, nextAt time.Time) {
	k.known, k.version, k.generation, k.failures = true, version, generation, 0
	k.kept = k.kept || version != 0
	k.nextAt = nextAt
}

// Written records that a configuration was written, and the version that it has in the store.
func (k *Keeper) Written(version, generation uint64) {
	k.known, k.kept, k.version, k.generation, k.failures = true, true, version, generation, 0
}

// Failed records that a call failed, or that the copy was replaced meanwhile. The copy must be read again, at a time.
func (k *Keeper) Failed(nextAt time.Time) {
	k.known, k.nextAt = false, nextAt
	k.failures++
}

// Version returns the version of the copy in the store, which a write replaces.
func (k *Keeper) Version() uint64 { return k.version }

// Failures returns the number of calls that have failed since the last that succeeded.
func (k *Keeper) Failures() int { return k.failures }
