package membership

import "time"

// These constants define when a member that is missing from the platform's list counts as
// gone. The list lags, and it may be incomplete after an outage of the platform.
const (
	// absentAfterLists is the number of consecutive lists from which the member must be missing.
	absentAfterLists = 5
	// absentAfter is the minimum time since the member was last in a list.
	absentAfter = 10 * time.Second
	// incompleteAbsentAfter replaces absentAfter while more than half of the live members are
	// missing from a list: an incomplete list is then more likely than the loss of so many
	// members.
	incompleteAbsentAfter = time.Minute
	// incompleteMinLive is the minimum number of live members at which incompleteAbsentAfter can
	// apply.
	incompleteMinLive = 4
)

// ApplyList applies a complete list of the platform and returns the names of the members that
// changed. The caller passes only lists that were read successfully, so the view does not
// change while the platform is unreachable. An empty list is treated as a failed read.
//
// Absence is inferred by this instance from its own reads. It is never sent to peers, and a
// later list that contains the member undoes it. If this happens often, the member's share of
// the load is ramped up in steps.
func (v *View) ApplyList(now time.Time, list []Member) []string {
	if len(list) == 0 {
		return nil
	}
	var changed []string
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
		merged := v.Merge(now, m)
		if v.markPresent(now, m.Name) || merged {
			changed = append(changed, m.Name)
		}
	}
	after := absentAfter
	if v.looksIncomplete(listed) {
		after = incompleteAbsentAfter
	}
	for name, r := range v.records {
		if !listed[name] && r.recordMissing(now, after) {
			v.logChange(r)
			changed = append(changed, name)
		}
	}
	return changed
}

// markPresent records that a list or an entry contains the member, undoes its absence, and reports
// whether that changed the view.
func (v *View) markPresent(now time.Time, name string) bool {
	r := v.records[name]
	r.presentAt, r.missedLists, r.listed = now, 0, true
	if !r.absent {
		return false
	}
	r.absent = false
	m := r.member
	m.State = r.reported
	return v.update(now, r, m)
}

// expectedInLists reports whether the member is expected in the platform's list, so that its
// absence from a list is meaningful. Backend servers that only the operators' configuration names,
// or that have an entry of their own in the store, are in no list.
func (r *record) expectedInLists() bool {
	return r.member.Role == RoleInstance || r.member.Role == RoleBackend && r.listed && !r.registered
}

// recordMissing records that a list lacks the member, and reports whether the member counts as gone
// from now on.
func (r *record) recordMissing(now time.Time, after time.Duration) bool {
	if !r.expectedInLists() || r.absent || r.member.State == Gone {
		return false
	}
	r.missedLists++
	if r.missedLists < absentAfterLists || now.Sub(r.presentAt) < after {
		return false
	}
	r.absent = true
	r.member.State = Gone
	return true
}

// looksIncomplete reports whether more than half of the live members are missing from a list.
func (v *View) looksIncomplete(listed map[string]bool) bool {
	live, missing := 0, 0
	for name, r := range v.records {
		if !r.expectedInLists() || r.member.State != Live {
			continue
		}
		live++
		if !listed[name] {
			missing++
		}
	}
	return live >= incompleteMinLive && 2*missing > live
}
