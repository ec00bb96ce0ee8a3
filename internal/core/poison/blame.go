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
	// weight is the weight of the ends, given the other suspects that are blamed, and ranked the weight by which the search has ranked
	// the suspect.
	weight, ranked int
	reachedAt      time.Time
}

// blame is the search for the contents and parts to blame among the suspects.
type blame struct {
	blamed ranking
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
// another suspect, or beside several, is therefore not blocked. If two explain the same servers, the
// one that more requests share is acquitted: a part that was answered lately, the earlier one in the prompts, a part
// rather than a content; at last the one that reached MaxEnds last. If it is the one to blame, the next server
// that ends under it shows that.
func (t *Tracker) solve() {
	if t.blocked != nil {
		return
	}
	t.decisions++
	t.blocked = make(map[Key]bool)
	b := newBlame(t.suspects())
	for least := b.leastNeeded(); least != nil; least = b.leastNeeded() {
		b.acquit(least)
	}
	for _, s := range b.blamed {
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
	b := &blame{blamed: suspects, holders: make(map[Server]*holders)}
	for _, s := range suspects {
		for _, server := range s.ends {
			b.hold(server, s)
		}
	}
	for _, s := range suspects {
		for _, server := range s.ends {
			s.weight += b.holders[server].weight(s.proven)
		}
		s.ranked = s.weight
	}
	heap.Init(&b.blamed)
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

// leastNeeded removes the blamed suspect whose ends weigh least and returns it, or returns nil if all of them weigh enough to be
// blocked. Weights only grow in a search, so a suspect that weighs what it is ranked by is the least one.
func (b *blame) leastNeeded() *suspect {
	for len(b.blamed) > 0 {
		least := b.blamed[0]
		switch {
		case least.weight > least.ranked:
			least.ranked = least.weight
			heap.Fix(&b.blamed, 0)
		case least.weight >= unexplainedWeight*MaxEnds:
			return nil
		default:
			heap.Pop(&b.blamed)
			return least
		}
	}
	return nil
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
		h.reweigh(h.weight(true)-provenBefore, h.weight(false)-unprovenBefore)
	}
}

// reweigh changes the weights of the suspects that an answer proves, and those of the others.
func (h *holders) reweigh(proven, unproven int) {
	if proven == 0 && unproven == 0 {
		return
	}
	for _, s := range h.suspects {
		if s.proven {
			s.weight += proven
		} else {
			s.weight += unproven
		}
	}
}
