package membership

import (
	"slices"
	"time"
)

// Bounds on the memory of a view.
const (
	// tombstoneTTL is the time for which a gone member is kept after a source last mentioned
	// it. No source that repeats an older state may lag by more than this. The platform's list
	// lags by seconds, a peer at most by the time for which it was frozen.
	tombstoneTTL = 24 * time.Hour
	// maxTombstones bounds the number of gone members that are kept; the oldest are dropped
	// first. About 300 replacements on an ordinary day never reach it.
	maxTombstones = 20_000
	// changeLogSize is the number of past changes that Changes can return.
	changeLogSize = 256
)

// View is the merged state of all members.
//
// Two inputs decide whether a member may get new requests. The first is the state reported by
// any source, which within one incarnation only moves towards gone. The second is absence from
// the platform's list, which is only an inference and is undone by a later list.
type View struct {
	records   map[string]*record
	byService map[string]map[string]*record
	// ramping holds, for each member whose load is ramped up, the share at the last check.
	ramping map[string]float64
	// log holds the names of changed members, oldest first; its last entry has number seq.
	log []string
	seq uint64
}

// record holds the state of one member.
type record struct {
	// member is the member as other packages see it: its state is gone while absent is set.
	member Member
	// reported is the reported state, regardless of absence from lists.
	reported State
	// mentionedAt is the time of the last information on the member from any source.
	mentionedAt time.Time
	// presentAt is the time at which the member was last in a list, or at which its incarnation
	// became known.
	presentAt time.Time
	// missedLists is the number of consecutive lists without the member. absent is set once the
	// member counts as gone for that reason or because its entry in the store is missing.
	missedLists int
	absent      bool
	// leavesByEntry is set while the member's entry says that it leaves, and names a process that started earlier than the known
	// one. Its clock may have been set back, or another writer may have left the entry, so a later entry undoes it.
	leavesByEntry bool
	// listed is set once the member was in a list, registered once it had an entry of its own
	// in the store.
	listed, registered bool
	// seq is the sequence number of the member's last change.
	seq     uint64
	returns returnHistory
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		records:   make(map[string]*record),
		byService: make(map[string]map[string]*record),
		ramping:   make(map[string]float64),
	}
}

// Merge applies one entry of a list from the platform or a peer, and reports whether the view
// changed.
//
// A lagging source may repeat an outdated state. Therefore a state never replaces one of higher
// rank within the same incarnation, and an older incarnation never replaces a newer one.
func (v *View) Merge(now time.Time, m Member) bool {
	r := v.records[m.Name]
	if r == nil {
		r = &record{}
		v.records[m.Name] = r
	}
	r.mentionedAt = now
	if r.presentAt.IsZero() {
		r.presentAt = now
	}
	if r.member.Name != "" && isOutdated(m.Incarnation, m.State, r) {
		return false
	}
	if m.Incarnation > r.member.Incarnation {
		r.absent, r.missedLists, r.presentAt = false, 0, now
	}
	return v.update(now, r, m)
}

// MergeFromPeer applies an entry that a peer forwards. If the incarnation is already known, it
// applies only the state. The other fields come from this instance's own list: two instances
// whose lists differ would otherwise overwrite each other's fields forever.
func (v *View) MergeFromPeer(now time.Time, m Member) bool {
	if r := v.records[m.Name]; r != nil && r.member.Role != "" && r.member.Incarnation == m.Incarnation {
		return v.ApplyFact(now, m.Fact())
	}
	return v.Merge(now, m)
}

// ApplyFact applies one fact and reports whether the view changed. A fact about an unknown member
// is kept unless its state is live, so that an older entry that arrives later does not make the
// member live.
func (v *View) ApplyFact(now time.Time, f Fact) bool {
	r := v.records[f.Name]
	if r == nil {
		if f.State == Live {
			return false
		}
		return v.Merge(now, Member{Name: f.Name, Incarnation: f.Incarnation, State: f.State})
	}
	m := r.member
	m.Incarnation, m.State = f.Incarnation, f.State
	return v.Merge(now, m)
}

// UpdateIncarnation records a newer incarnation of a live member that has restarted under the same
// name and address. It does not count as a change and is not sent to peers, since they already have
// the member as live.
func (v *View) UpdateIncarnation(name string, incarnation uint64) {
	if r := v.records[name]; r != nil && incarnation > r.member.Incarnation {
		r.member.Incarnation = incarnation
	}
}

// Register applies a member's own entry in the platform's store and reports whether the view
// changed. The entry undoes an absence.
func (v *View) Register(now time.Time, m Member) bool {
	changed := v.Merge(now, m)
	r := v.records[m.Name]
	r.registered = true
	if r.member.Incarnation == m.Incarnation {
		changed = v.markPresent(now, m.Name) || changed
	}
	return v.markLeaving(now, r, m.State == Leaving && m.Incarnation < r.member.Incarnation) || changed
}

// markLeaving records whether the entry of an earlier process says that the member leaves, and reports whether that changed the view.
func (v *View) markLeaving(now time.Time, r *record, leaves bool) bool {
	if r.leavesByEntry == leaves {
		return false
	}
	r.leavesByEntry = leaves
	m := r.member
	m.State = r.reported
	return v.update(now, r, m)
}

// visible returns the state of the member as other packages see it.
func (r *record) visible() State {
	switch {
	case r.absent:
		return Gone
	case r.leavesByEntry && r.reported == Live:
		return Leaving
	default:
		return r.reported
	}
}

// Unregister records that a member no longer has an entry in the store and reports whether the
// view changed. The member counts as absent, which a later entry undoes: entries also expire
// during an outage of the store.
func (v *View) Unregister(name string) bool {
	r := v.records[name]
	if r == nil || r.absent || r.member.State == Gone {
		return false
	}
	r.absent = true
	r.member.State = Gone
	v.logChange(r)
	return true
}

// ApplyReport applies a backend server's own report of its state and reports whether the view
// changed. A report without an incarnation refers to the incarnation in the platform's list.
// fresh is set if the server was asked just now, so that the report cannot be outdated.
//
// A server that only the operators' configuration names and that reports no incarnation is
// ordered by its own clock: a report with a later time counts as a later incarnation, so that a
// restarted server can become live again. For this a live state counts only in a fresh report,
// because the header of a long response is as old as the response's first byte.
func (v *View) ApplyReport(now time.Time, rep Report, fresh bool) bool {
	if rep.State.rank() == 0 || rep.Backend == "" {
		return false
	}
	r := v.records[rep.Backend]
	f := Fact{Name: rep.Backend, Incarnation: rep.Incarnation, State: rep.State}
	listed := r != nil && r.member.Role != ""
	switch {
	case rep.Incarnation != 0:
	case listed && rep.State == Live, r != nil && r.reported == rep.State:
		return false
	case listed:
		f.Incarnation = r.member.Incarnation
	case rep.State == Live && (r == nil || !fresh):
		return false
	case rep.At.IsZero():
		f.Incarnation = uint64(now.UnixNano())
	default:
		f.Incarnation = uint64(rep.At.UnixNano())
	}
	if r == nil {
		return v.Merge(now, Member{Name: f.Name, Incarnation: f.Incarnation, State: f.State})
	}
	return v.ApplyFact(now, f)
}

// isOutdated reports whether an incarnation and state are outdated compared with a record.
func isOutdated(incarnation uint64, state State, r *record) bool {
	if incarnation != r.member.Incarnation {
		return incarnation < r.member.Incarnation
	}
	return state.rank() < r.reported.rank()
}

// update stores a reported member in its record and reports whether that changed the view.
func (v *View) update(now time.Time, r *record, m Member) bool {
	old := r.member
	r.reported = m.State
	m.State = r.visible()
	if old == m {
		return false
	}
	v.reindex(r, old.Service, m)
	if old.Name != "" && old.State != Live && m.State == Live {
		r.returns.add(now)
		v.ramping[m.Name] = r.returns.share(now)
	}
	v.logChange(r)
	return true
}

// reindex stores a member in its record and updates the index by service.
func (v *View) reindex(r *record, oldService string, m Member) {
	r.member = m
	if oldService != m.Service {
		delete(v.byService[oldService], m.Name)
	}
	if m.Service == "" {
		return
	}
	if v.byService[m.Service] == nil {
		v.byService[m.Service] = make(map[string]*record)
	}
	v.byService[m.Service][m.Name] = r
}

// logChange assigns the next sequence number to a record and appends it to the change log.
func (v *View) logChange(r *record) {
	v.seq++
	r.seq = v.seq
	v.log = append(v.log, r.member.Name)
	if len(v.log) >= 2*changeLogSize {
		v.log = slices.Clone(v.log[len(v.log)-changeLogSize:])
	}
}

// Seq returns the sequence number of the last change.
func (v *View) Seq() uint64 { return v.seq }

// Changes returns the members that changed after the sequence number since, newest first and at
// most limit of them. complete is false if more have changed or if the change log does not reach
// back to since.
func (v *View) Changes(since uint64, limit int) (members []Member, complete bool) {
	for i := len(v.log) - 1; i >= 0; i-- {
		seq := v.seq - uint64(len(v.log)-1-i)
		if seq <= since {
			return members, true
		}
		r := v.records[v.log[i]]
		if r == nil || r.seq != seq {
			continue
		}
		if len(members) == limit {
			return members, false
		}
		members = append(members, r.asReported())
	}
	return members, since >= v.seq-uint64(len(v.log))
}

// asReported returns the member in the form that may be sent to peers: with its reported state, not
// the absence that this instance inferred from its own reads.
func (r *record) asReported() Member {
	m := r.member
	m.State = r.reported
	return m
}

// Get returns a member, or nil if it is unknown.
func (v *View) Get(name string) *Member {
	r := v.records[name]
	if r == nil {
		return nil
	}
	return &r.member
}

// Each calls f for every member, in no particular order.
func (v *View) Each(f func(*Member)) {
	for _, r := range v.records {
		f(&r.member)
	}
}

// EachOfService calls f for every backend server of a service, in no particular order.
func (v *View) EachOfService(service string, f func(*Member)) {
	for _, r := range v.byService[service] {
		f(&r.member)
	}
}

// Expire removes gone members that no source has mentioned for tombstoneTTL, and the oldest
// ones beyond maxTombstones. Backend servers that only the operators' configuration names are
// also removed while they are leaving, so that they are tried again.
//
// After the removal an outdated entry can make the member live again, so tombstoneTTL is far
// above the lag of any source. A process that was frozen for longer can still send such an
// entry; the next lists lack the member, and it counts as gone again.
func (v *View) Expire(now time.Time) {
	var tombstones []*record
	for name, r := range v.records {
		if r.member.State == Live || r.member.State == Leaving && r.member.Role != "" {
			continue
		}
		if now.Sub(r.mentionedAt) > tombstoneTTL {
			v.forget(name, r)
			continue
		}
		tombstones = append(tombstones, r)
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b *record) int { return a.mentionedAt.Compare(b.mentionedAt) })
	for _, r := range tombstones[:len(tombstones)-maxTombstones] {
		v.forget(r.member.Name, r)
	}
}

// forget removes a record from the view and its indexes.
func (v *View) forget(name string, r *record) {
	delete(v.records, name)
	delete(v.byService[r.member.Service], name)
	delete(v.ramping, name)
}
