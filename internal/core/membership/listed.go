package membership

import "time"

// When an instance that the platform's list leaves out counts as gone. The list
// lags and may come back in part after an outage of the platform.
const (
	// absentLists is the number of lists in a row that must leave it out.
	absentLists = 5
	// absentAfter is the least time since a list last showed it.
	absentAfter = 10 * time.Second
	// suspectAfter applies while a list leaves out more than half of the live
	// instances: rather a list that is not whole than the end of the fleet.
	suspectAfter = time.Minute
	// suspectFrom is the number of live instances from which halves are compared.
	suspectFrom = 4
)

// Listed takes a whole list of the platform and returns the names whose state
// changed. The caller passes only lists that were read with success: a cut from
// the platform freezes the view. An empty list is taken for a failed one.
//
// Absence is an inference of this instance from its own reading. It is never
// passed on, and a later list that shows the instance undoes it; the instance
// then comes back by steps if that happens often.
func (v *View) Listed(now time.Time, list []Instance) []string {
	if len(list) == 0 {
		return nil
	}
	var changed []string
	shown := make(map[string]bool, len(list))
	for _, in := range list {
		shown[in.Name] = true
		merged := v.Merge(now, in)
		if v.show(now, in.Name) || merged {
			changed = append(changed, in.Name)
		}
	}
	after := absentAfter
	if v.suspect(shown) {
		after = suspectAfter
	}
	for name, r := range v.records {
		if !shown[name] && r.miss(now, after) {
			v.changed(r)
			changed = append(changed, name)
		}
	}
	return changed
}

// show notes that a list has the instance, and undoes its absence.
func (v *View) show(now time.Time, name string) bool {
	r := v.records[name]
	r.present, r.missed, r.listed = now, 0, true
	if !r.absent {
		return false
	}
	r.absent = false
	in := r.in
	in.State = r.said
	return v.set(now, r, in)
}

// inList tells whether a list that leaves the instance out says anything of it.
// Backend servers that only the operators' text names, or that have an entry of
// their own, are in no list.
func (r *record) inList() bool {
	return r.in.Role == Entry || r.in.Role == Backend && r.listed && !r.registered
}

// miss notes that a list lacks the instance, and tells whether it counts as gone
// from now on.
func (r *record) miss(now time.Time, after time.Duration) bool {
	if !r.inList() || r.absent || r.in.State == Gone {
		return false
	}
	r.missed++
	if r.missed < absentLists || now.Sub(r.present) < after {
		return false
	}
	r.absent = true
	r.in.State = Gone
	return true
}

// suspect tells whether a list leaves out more than half of the live instances.
func (v *View) suspect(shown map[string]bool) bool {
	live, missing := 0, 0
	for name, r := range v.records {
		if !r.inList() || r.in.State != Live {
			continue
		}
		live++
		if !shown[name] {
			missing++
		}
	}
	return live >= suspectFrom && 2*missing > live
}
