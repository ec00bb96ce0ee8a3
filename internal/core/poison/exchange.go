package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// hopTime bounds how much younger a proof seems after its way to another instance.
const hopTime = 100 * time.Millisecond

// Keys returns the requests that have a record, sorted.
func (t *Tracker) Keys() []Key { return slices.Sorted(maps.Keys(t.records)) }

// ChangedSince returns the requests under which a server ended, or a trial began, since a time.
func (t *Tracker) ChangedSince(at time.Time) []Key {
	var keys []Key
	for key, r := range t.records {
		if !r.changedAt.Before(at) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Select returns up to limit of the given requests, those first under which most servers ended.
func (t *Tracker) Select(keys []Key, limit int) []Key {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(t.ends(b), t.ends(a)), cmp.Compare(a, b))
	})
	return keys[:min(limit, len(keys))]
}

// ends returns the number of ends that count for a request.
func (t *Tracker) ends(key Key) int {
	if r := t.records[key]; r != nil {
		return r.count()
	}
	return 0
}

// Position returns the position of a part, 0 for a content or without a record.
func (t *Tracker) Position(key Key) int {
	if r := t.records[key]; r != nil {
		return r.position
	}
	return 0
}

// widelyToldParts is the number of parts at the beginning of a prompt of whose ends all instances of a small fleet are told at once.
const widelyToldParts = 2

// Audience tells which instances can be told of a record, and which must be.
type Audience struct {
	// Large is set if the fleet is no full mesh, so that a record reaches all instances over several links.
	Large bool
	// Separated is set while instances may not hear each other, so that a home may be out of reach.
	Separated bool
}

// GathersAtHome reports whether the ends under a content or a part are gathered at one instance, its home, which tells all once it is
// blocked. Each server that ends leaves a record for every request that it held and for each part of their prompts, so what all are
// told at once costs every instance work in proportion to the servers that have ended. A small fleet is told at once of contents and of
// the first parts of a prompt; a long prompt has dozens of later ones. While instances may not hear each other, a small fleet is told of
// all, and a large one of what several servers have ended under.
func (t *Tracker) GathersAtHome(key Key, a Audience) bool {
	switch {
	case a.Large && a.Separated:
		return !t.Suspicious(key)
	case a.Large:
		return !t.Blocked(key)
	default:
		return !a.Separated && t.Position(key) > widelyToldParts && !t.Blocked(key)
	}
}

// Disproves reports whether this tracker knows answers that disprove what a record from another instance blames on a part. Whoever
// learned of the answers may have known of no end by then, and told nobody.
func (t *Tracker) Disproves(in Record, now time.Time) bool {
	return in.Position > 0 && in.Suspects(now) && !t.Suspected(in.Key)
}

// Suspicious reports whether more than one server ended under a content or a part.
func (t *Tracker) Suspicious(key Key) bool { return t.ends(key) > 1 }

// Suspected reports whether enough servers ended under a content or a part to block it.
func (t *Tracker) Suspected(key Key) bool { return t.ends(key) >= MaxEnds }

// Suspects reports whether enough servers ended under the content or the part to block it, as far as the record tells.
func (r Record) Suspects(now time.Time) bool {
	if len(r.Ends) < MaxEnds {
		return false
	}
	t := NewTracker()
	t.Merge(r, now)
	return t.Suspected(r.Key)
}

// CoveredBy reports whether another instance's record tells all that is known here, so that the other one need not be told.
func (t *Tracker) CoveredBy(in Record, now time.Time) bool {
	own, ok := t.Record(in.Key, now)
	if !ok || own.Position > in.Position || own.Trials > in.Trials {
		return false
	}
	told := make(map[Server]bool)
	for _, e := range in.Ends {
		told[e.Server] = true
	}
	for _, server := range in.Voided {
		told[server] = true
	}
	endUntold := func(e End) bool { return !told[e.Server] }
	voidUntold := func(server Server) bool { return !slices.Contains(in.Voided, server) }
	proofUntold := func(p Proof) bool { return !in.proves(p) }
	return !slices.ContainsFunc(own.Ends, endUntold) && !slices.ContainsFunc(own.Voided, voidUntold) && !slices.ContainsFunc(own.Proofs, proofUntold)
}

// proves reports whether the record has a proof or a later one.
func (r Record) proves(proof Proof) bool {
	return slices.ContainsFunc(r.Proofs, func(p Proof) bool {
		return p.Software == proof.Software && p.Age <= proof.Age+hopTime
	})
}

// LikelyEnds reports whether a part rather ends the next server that runs it than not: more than one ended under it, and
// no request with it was answered lately.
func (t *Tracker) LikelyEnds(part Key) bool {
	r := t.records[part]
	return r != nil && r.count() > 1 && !r.isProven
}

// Record returns the record of a request for other instances, and whether there is one.
func (t *Tracker) Record(key Key, now time.Time) (Record, bool) {
	r := t.records[key]
	if r == nil {
		return Record{}, false
	}
	out := Record{Key: key, Position: r.position, Trials: r.trials, ChangeAge: now.Sub(r.changedAt), UseAge: now.Sub(r.lastUse())}
	for _, server := range sortedServers(r.ends) {
		if e := r.ends[server]; e.voided {
			out.Voided = append(out.Voided, server)
		} else {
			out.Ends = append(out.Ends, r.endFor(server, e, now))
		}
	}
	for _, software := range slices.Sorted(maps.Keys(r.proofs)) {
		out.Proofs = append(out.Proofs, Proof{Software: software, Age: now.Sub(r.proofs[software])})
	}
	return out, true
}

// endFor returns an end for other instances. The time of an end matters only for a part, which answers may prove.
func (r *record) endFor(server Server, e *end, now time.Time) End {
	if r.position == 0 {
		return End{Server: server}
	}
	return End{Server: server, Software: e.software, Age: now.Sub(e.at)}
}

// Extent tells how much of a request is known. Two records of a request, of which one has all of the
// other, have the same extent only if they are equal.
type Extent struct{ ends, voided, trials int }

// Extent returns the extent of a record.
func (r Record) Extent() Extent { return Extent{len(r.Ends), len(r.Voided), r.Trials} }

// Extent returns the extent of a request's record, and whether there is one.
func (t *Tracker) Extent(key Key) (Extent, bool) {
	r := t.records[key]
	if r == nil {
		return Extent{}, false
	}
	voided := 0
	for _, e := range r.ends {
		if e.voided {
			voided++
		}
	}
	return Extent{len(r.ends) - voided, voided, r.trials}, true
}

// Limits of the numbers in a record from outside.
const (
	// MaxCount is the highest position, and the highest number of trials.
	MaxCount = 1_000_000
	// maxAge is the longest age. All that is older is forgotten.
	maxAge = 2 * blockedRetention
)

// Bounded returns the record with each number within its range. The key and the ends hold whatever their ages are, and an age
// in the future would keep them for ever.
func (r Record) Bounded() Record {
	r.Position, r.Trials = boundedCount(r.Position), boundedCount(r.Trials)
	r.ChangeAge, r.UseAge = boundedAge(r.ChangeAge), boundedAge(r.UseAge)
	r.Ends, r.Proofs = slices.Clone(r.Ends), slices.Clone(r.Proofs)
	for i := range r.Ends {
		r.Ends[i].Age = boundedAge(r.Ends[i].Age)
	}
	for i := range r.Proofs {
		r.Proofs[i].Age = boundedAge(r.Proofs[i].Age)
	}
	return r
}

func boundedCount(n int) int { return max(0, min(n, MaxCount)) }

func boundedAge(age time.Duration) time.Duration { return max(0, min(age, maxAge)) }

// Merge merges a record of another instance and reports whether it brought anything new. A record
// that this instance would have forgotten is ignored.
func (t *Tracker) Merge(in Record, now time.Time) bool {
	if in.Key == 0 || in.ChangeAge > blockedRetention && in.UseAge > blockedRetention {
		return false
	}
	changed := false
	if r := t.records[in.Key]; r != nil && r.position > 0 && in.Position == 0 {
		// An earlier version passes the ends under a part on without their times and software, also those that an
		// answer has covered.
		in.Ends = nil
	}
	for _, e := range in.Ends {
		// Earlier versions tell no age of an end. None is younger than the record's last change.
		known := &end{at: now.Add(-max(e.Age, in.ChangeAge)), software: e.Software}
		changed = t.add(in.Key, in.Position, e.Server, known, now) || changed
	}
	for _, server := range in.Voided {
		changed = t.merge(in.Key, server) || changed
	}
	r := t.records[in.Key]
	if r == nil {
		return changed
	}
	for _, proof := range in.Proofs {
		if t.prove(in.Key, r, proof.Software, now.Add(-proof.Age)) {
			changed = true
		}
	}
	r.usedAt = later(r.usedAt, now.Add(-in.UseAge))
	if in.Trials > r.trials {
		r.trials, changed = in.Trials, true
		r.changedAt = later(r.changedAt, now.Add(-in.ChangeAge))
	}
	return changed
}

// merge merges a voided end and reports whether it is new. A voided end is recorded even if the end
// itself is not known yet, because the two may arrive in any order.
func (t *Tracker) merge(key Key, server Server) bool {
	r := t.record(key)
	known := r.ends[server]
	if known != nil && known.voided || known == nil && len(r.ends) >= maxServers {
		return false
	}
	if known == nil {
		known = &end{}
		r.ends[server] = known
	}
	known.voided = true
	t.changed(key, r)
	t.evict(key)
	return true
}
