package poison

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// maxSuspects bounds the time of a decision, which grows with its square: those under which most servers ended count.
const maxSuspects = 512

// suspect is a content or a part under which enough servers ended to be blocked.
type suspect struct {
	key  Key
	ends []Server
	// position is the position of a part, 0 for a content.
	position int
	// proven is set for a part that was answered shortly before the ends.
	proven bool
	// weight is the weight of the ends, given the other suspects that are blamed, and unexplained the number of those that no other one
	// explains. ranked is the rank that the search has given the suspect.
	weight, unexplained, ranked int
	reachedAt                   time.Time
}

// Ranks of a weight. A server easily holds one of many requests with a part, so that an end tells more against a content.
const (
	contentRank = 3
	partRank    = 2
)

// rank returns how much speaks against the suspect. Of those against which too little does, the one with the lowest rank is acquitted.
func (s *suspect) rank() int {
	if s.position == 0 {
		return s.weight * contentRank
	}
	return s.weight * partRank
}

// isNeeded reports whether enough speaks against the suspect. A part takes one end more if fewer than MaxEnds are unexplained: it may have
// been beside one poison request first, and then beside another of which less is known yet.
func (s *suspect) isNeeded() bool {
	required := unexplainedWeight * MaxEnds
	if s.position > 0 && s.unexplained < MaxEnds {
		required += explainedWeight
	}
	return s.weight >= required
}

// reweigh changes the weight of an end, which is 0 before it is weighed first.
func (s *suspect) reweigh(before, after int) {
	s.weight += after - before
	if before != unexplainedWeight && after == unexplainedWeight {
		s.unexplained++
	}
}

// blame is the search for the contents and parts to blame among the suspects.
type blame struct {
	// undecided are the suspects that are blamed, but may be acquitted yet.
	undecided ranking
	// holders maps each server to the blamed suspects that it held when it ended.
	holders map[Server]*holders
}

// holders are the blamed suspects that a server held when it ended. unproven is the number of those that no answer proves.
type holders struct {
	suspects []*suspect
	unproven int
}

// solve determines the blocked contents and parts: the fewest that explain the ended servers.
//
// All requests that a server held when it ended are suspects, and so are all parts of their prompts, but few
// of them are to blame. At first all with enough ends are blamed. Then the one that explains least beyond the
// others is acquitted, again and again, until each of the rest is needed. What merely ran beside
// another suspect, or beside several, is therefore not blocked. If two explain about the same, the
// one that more requests share is acquitted: a part that was answered lately, the earlier one in the prompts, a part
// rather than a content; at last the one that reached MaxEnds last. If it is the one to blame, the next server
// that ends under it shows that.
func (t *Tracker) solve() {
	if t.blocked != nil {
		return
	}
	t.decisions++
	t.blocked = make(map[Key]bool)
	for _, s := range newBlame(t.suspects()).search() {
		t.blocked[s.key] = true
	}
}

// suspects returns the contents and parts with enough ends to be blocked, sorted, so that all instances
// decide alike. A part that was answered lately is not to blame for the ends that a part without an answer explains, even while too few
// servers have ended under the other one.
func (t *Tracker) suspects() []*suspect {
	list := make([]*suspect, 0, len(t.suspected))
	for key, r := range t.suspected {
		s := &suspect{key: key, position: r.position, proven: r.isProven, reachedAt: r.reachedAt}
		s.ends = r.counting
		if s.proven {
			s.ends = slices.DeleteFunc(slices.Clone(s.ends), func(server Server) bool { return t.unproven[server] > 0 })
		}
		if len(s.ends) >= MaxEnds {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(a.key, b.key))
	})
	return list[:min(len(list), maxSuspects)]
}

func newBlame(suspects []*suspect) *blame {
	b := &blame{undecided: suspects, holders: make(map[Server]*holders)}
	for _, s := range suspects {
		for _, server := range s.ends {
			b.hold(server, s)
		}
	}
	for _, s := range suspects {
		for _, server := range s.ends {
			s.reweigh(0, b.holders[server].weight(s.proven))
		}
		s.ranked = s.rank()
	}
	heap.Init(&b.undecided)
	return b
}

// hold records that a server held a suspect when it ended.
func (b *blame) hold(server Server, s *suspect) {
	h := b.holders[server]
	if h == nil {
		h = &holders{}
		b.holders[server] = h
	}
	h.suspects = append(h.suspects, s)
	if !s.proven {
		h.unproven++
	}
}

// weight returns the weight of the server's end for each of its suspects that an answer proves, or for each other one. A part that was
// answered lately explains nothing that one that was not explains as well, and takes nothing from it.
func (h *holders) weight(proven bool) int {
	alike := h.unproven
	if proven {
		alike = len(h.suspects) - h.unproven
	}
	switch {
	case proven && h.unproven > 0:
		return 0
	case alike > 1:
		return explainedWeight
	default:
		return unexplainedWeight
	}
}

// search acquits one suspect after the other and returns those that are needed. What speaks against a suspect only grows in a search, so
// one that is needed stays so, and one that has not moved since it was ranked has the lowest rank.
func (b *blame) search() []*suspect {
	var needed []*suspect
	for len(b.undecided) > 0 {
		lowest := b.undecided[0]
		if lowest.rank() > lowest.ranked {
			lowest.ranked = lowest.rank()
			heap.Fix(&b.undecided, 0)
			continue
		}
		heap.Pop(&b.undecided)
		if lowest.isNeeded() {
			needed = append(needed, lowest)
		} else {
			b.acquit(lowest)
		}
	}
	return needed
}

// ranking is a heap of suspects, the least needed one first.
type ranking []*suspect

// Len implements heap.Interface.
func (r ranking) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ranking) Less(i, j int) bool { return r[i].lessNeeded(r[j]) }

// Swap implements heap.Interface.
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ranking) Push(x any) { *r = append(*r, x.(*suspect)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// lessNeeded reports whether s is to be acquitted before another suspect.
func (s *suspect) lessNeeded(other *suspect) bool {
	return cmp.Or(
		cmp.Compare(s.ranked, other.ranked), compareBools(other.proven, s.proven), cmp.Compare(s.specificity(), other.specificity()),
		other.reachedAt.Compare(s.reachedAt), cmp.Compare(other.key, s.key),
	) < 0
}

// specificity tells how few requests share a content or a part at its place.
func (s *suspect) specificity() int {
	if s.position == 0 {
		return math.MaxInt
	}
	return s.position
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// acquit removes a suspect that is no longer blamed from what servers held. What only it explained beside others weighs more for them
// then.
func (b *blame) acquit(acquitted *suspect) {
	isAcquitted := func(s *suspect) bool { return s == acquitted }
	for _, server := range acquitted.ends {
		h := b.holders[server]
		provenBefore, unprovenBefore := h.weight(true), h.weight(false)
		h.suspects = slices.DeleteFunc(h.suspects, isAcquitted)
		if !acquitted.proven {
			h.unproven--
		}
		h.reweigh(provenBefore, unprovenBefore)
	}
}

// reweigh gives the suspects that an answer proves, and the others, the weight that the server's end has now in place of the former one.
func (h *holders) reweigh(provenBefore, unprovenBefore int) {
	proven, unproven := h.weight(true), h.weight(false)
	if proven == provenBefore && unproven == unprovenBefore {
		return
	}
	for _, s := range h.suspects {
		if s.proven {
			s.reweigh(provenBefore, proven)
		} else {
			s.reweigh(unprovenBefore, unproven)
		}
	}
}
