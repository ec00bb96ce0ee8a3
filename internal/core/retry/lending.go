package retry

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

const (
	// roundingTurn is the time after which each instance has had all roundings. It is long against the period of the
	// allowance, since a second instance may round up within it.
	roundingTurn = 10 * time.Minute
	// silentPause is the time for which an instance that did not answer is not asked. It may be of an earlier build.
	silentPause = Period
	// minDeniedPause is the shortest time for which an instance that has no retry is not asked.
	minDeniedPause = slotTime
	// emptyPause is the time after which an instance that has no retry and has spent none may have one: its requests in
	// progress change its part.
	emptyPause = 2 * time.Second
)

// Rounding returns a number above 0 and up to 1 that decides whether an instance may spend the fraction of a retry that its part
// leaves. The numbers of all instances are spread evenly, and move on from one to the next. An instance that joins or leaves
// moves them by one place at most. The rank is the instance's position in the sorted list of instances.
func Rounding(service string, rank, instances int, now time.Time) float64 {
	turned := float64(now.UnixMilli()%roundingTurn.Milliseconds()) / float64(roundingTurn.Milliseconds())
	offset := rendezvous.Unit(rendezvous.Hash(service)) + turned
	place := (rank + int(offset*float64(instances))) % instances
	return 1 - float64(place)/float64(instances)
}

// Fleet is what an instance that lacks a retry of a service knows of the others.
type Fleet struct {
	Service string
	// Names are the live instances, sorted, and Self is the one that asks.
	Names []string
	Self  string
	// EqualPart is the part of the allowance that each instance has whatever its requests, in retries.
	EqualPart float64
	// Linked reports whether a question can be sent to an instance now.
	Linked func(name string) bool
	// Random returns a random number from 0 to n-1.
	Random func(n int) int
}

// Lenders chooses the instances that one without a retry asks for theirs. An instance spends a retry of its own to lend it, so
// the sum of all that is spent stays within the fleet's allowance. It is not safe for concurrent use.
//
// Where an instance's part is less than a retry, few instances have one, and the roundings tell which. Those are asked first.
type Lenders struct {
	// silent holds the instances that did not answer, and denied those that had no retry of a service.
	silent peerask.Pauses[string]
	denied peerask.Pauses[lenderKey]
}

type lenderKey struct{ instance, service string }

// NewLenders returns the state of an instance that has asked no other.
func NewLenders() *Lenders { return &Lenders{} }

// Choose returns the instance to ask now, and none if there is none. If instances that are likely to have a retry have no link
// and no linked one is likely to, it returns up to maxLinks of them to link first.
func (l *Lenders) Choose(f *Fleet, maxLinks int, now time.Time) (ask string, link []string) {
	var likely, other, unlinked []string
	for rank, name := range f.Names {
		if name == f.Self || !l.asks(name, f.Service, now) {
			continue
		}
		holds := f.EqualPart+Rounding(f.Service, rank, len(f.Names), now) >= 1
		switch linked := f.Linked(name); {
		case linked && holds:
			likely = append(likely, name)
		case linked:
			other = append(other, name)
		case holds:
			unlinked = append(unlinked, name)
		}
	}
	switch {
	case len(likely) > 0:
		return likely[f.Random(len(likely))], nil
	case len(unlinked) > 0:
		return "", pick(unlinked, maxLinks, f.Random)
	case len(other) > 0:
		return other[f.Random(len(other))], nil
	default:
		return "", nil
	}
}

// pick returns up to count random names of a list, whose order it changes.
func pick(names []string, count int, random func(int) int) []string {
	count = min(count, len(names))
	for i := range count {
		j := i + random(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:count]
}

func (l *Lenders) asks(name, service string, now time.Time) bool {
	return !l.silent.Active(name, now) && !l.denied.Active(lenderKey{name, service}, now)
}

// Denied records that an instance has no retry of a service, and may have one after a wait.
func (l *Lenders) Denied(name, service string, wait time.Duration, now time.Time) {
	l.denied.Set(lenderKey{name, service}, now.Add(min(max(wait, minDeniedPause), Period)))
}

// Silent records that an instance did not answer in time, or could not be linked.
func (l *Lenders) Silent(name string, now time.Time) { l.silent.Set(name, now.Add(silentPause)) }

// Expire forgets the instances that may be asked again.
func (l *Lenders) Expire(now time.Time) {
	l.silent.Expire(now)
	l.denied.Expire(now)
}

// Lend spends a retry for another instance and reports whether there was one. If there was none, it returns the time after
// which there may be one. An instance whose retries are no part of a fleet's allowance lends none.
func (b *Budget) Lend() (lent bool, wait time.Duration) {
	if !b.limited {
		return false, Period
	}
	if b.Take() {
		return true, 0
	}
	return false, b.recent.untilOldestEnds()
}
