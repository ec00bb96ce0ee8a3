package poison

import (
	"cmp"
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
	// weight is the weight of the ends, given the other suspects that are blamed.
	weight    int
	reachedAt time.Time
}

// blame is the search for the contents and parts to blame among the suspects.
type blame struct {
	blamed []*suspect
	// holders maps each server to the blamed suspects that it held when it ended.
	holders map[Server][]*suspect
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
// decide alike.
func (t *Tracker) suspects() []*suspect {
	var list []*suspect
	var unproven map[Server]bool
	for key, r := range t.records {
		if r.count() < MaxEnds {
			continue
		}
		s := &suspect{key: key, position: r.position, proven: r.proven(), reachedAt: r.reachedAt}
		if s.proven && unproven == nil {
			unproven = t.heldByUnproven()
		}
		for server, e := range r.ends {
			if r.counts(e) && (!s.proven || !unproven[server]) {
				s.ends = append(s.ends, server)
			}
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

// heldByUnproven returns the servers that ended while they held a request with a part that nothing proves. A part that was
// answered lately is not to blame for them, even while too few servers have ended under the other one.
func (t *Tracker) heldByUnproven() map[Server]bool {
	held := make(map[Server]bool)
	for _, r := range t.records {
		if r.position == 0 || r.proven() {
			continue
		}
		for server, e := range r.ends {
			if r.counts(e) {
				held[server] = true
			}
		}
	}
	return held
}

func newBlame(suspects []*suspect) *blame {
	b := &blame{blamed: suspects, holders: make(map[Server][]*suspect)}
	for _, s := range suspects {
		for _, server := range s.ends {
			b.holders[server] = append(b.holders[server], s)
		}
	}
	for _, s := range suspects {
		s.weight = b.weightOf(s)
	}
	return b
}

// weightOf returns the weight of a suspect's ends.
func (b *blame) weightOf(s *suspect) int {
	weight := 0
	for _, server := range s.ends {
		weight += s.endWeight(b.holders[server])
	}
	return weight
}

// endWeight returns the weight of the end of a server that holders held, of which the suspect is one. A part that was answered
// lately explains nothing that one that was not explains as well, and takes nothing from it.
func (s *suspect) endWeight(holders []*suspect) int {
	weight := unexplainedWeight
	for _, other := range holders {
		switch {
		case other == s:
		case s.proven && !other.proven:
			return 0
		case s.proven == other.proven:
			weight = explainedWeight
		}
	}
	return weight
}

// leastNeeded returns the blamed suspect whose ends weigh least, or nil if all of them weigh enough
// to be blocked.
func (b *blame) leastNeeded() *suspect {
	var least *suspect
	for _, s := range b.blamed {
		if s.weight < unexplainedWeight*MaxEnds && (least == nil || s.lessNeeded(least)) {
			least = s
		}
	}
	return least
}

// lessNeeded reports whether s is to be acquitted before another suspect.
func (s *suspect) lessNeeded(other *suspect) bool {
	return cmp.Or(
		cmp.Compare(s.weight, other.weight), compareBools(other.proven, s.proven), cmp.Compare(s.specificity(), other.specificity()),
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

// acquit removes a suspect from the blamed ones. What only it explained beside others weighs more for them then.
func (b *blame) acquit(acquitted *suspect) {
	isAcquitted := func(s *suspect) bool { return s == acquitted }
	b.blamed = slices.DeleteFunc(b.blamed, isAcquitted)
	for _, server := range acquitted.ends {
		before := slices.Clone(b.holders[server])
		rest := slices.DeleteFunc(b.holders[server], isAcquitted)
		b.holders[server] = rest
		for _, s := range rest {
			s.weight += s.endWeight(rest) - s.endWeight(before)
		}
	}
}
