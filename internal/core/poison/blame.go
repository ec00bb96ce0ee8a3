package poison

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a request under which enough servers ended to be blocked.
type suspect struct {
	key  Key
	ends []Server
	// weight is the weight of the ends, given the other requests that are blamed.
	weight    int
	reachedAt time.Time
}

// blame is the search for the requests to blame among the suspects.
type blame struct {
	blamed []*suspect
	// holders maps each server to the blamed requests that it held when it ended.
	holders map[Server][]*suspect
}

// solve determines the blocked requests: the fewest that explain the ended servers.
//
// All requests that a server held when it ended are suspects, but few of them are to blame. At
// first all with enough ends are blamed. Then the one that explains least beyond the others is
// acquitted, again and again, until each of the rest is needed. A request that merely ran beside
// another one, or beside several, is therefore not blocked. If two explain the same servers, the
// one that reached MaxEnds last is acquitted. If it is the one to blame, the next server that ends
// under it shows that.
func (t *Tracker) solve() {
	if t.blocked != nil {
		return
	}
	t.blocked = make(map[Key]bool)
	b := newBlame(t.suspects())
	for least := b.leastNeeded(); least != nil; least = b.leastNeeded() {
		b.acquit(least)
	}
	for _, s := range b.blamed {
		t.blocked[s.key] = true
	}
}

// suspects returns the requests with enough ends to be blocked, sorted, so that all instances
// decide alike.
func (t *Tracker) suspects() []*suspect {
	var list []*suspect
	for key, r := range t.records {
		if r.count() < MaxEnds {
			continue
		}
		s := &suspect{key: key, reachedAt: r.reachedAt}
		for server, counts := range r.ends {
			if counts {
				s.ends = append(s.ends, server)
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *suspect) int { return cmp.Compare(a.key, b.key) })
	return list
}

func newBlame(suspects []*suspect) *blame {
	b := &blame{blamed: suspects, holders: make(map[Server][]*suspect)}
	for _, s := range suspects {
		for _, server := range s.ends {
			b.holders[server] = append(b.holders[server], s)
		}
	}
	for _, s := range suspects {
		for _, server := range s.ends {
			s.weight += endWeight(b.holders[server])
		}
	}
	return b
}

// endWeight returns the weight of a server's end under one of its holders.
func endWeight(holders []*suspect) int {
	if len(holders) > 1 {
		return explainedWeight
	}
	return unexplainedWeight
}

// leastNeeded returns the blamed request whose ends weigh least, or nil if all of them weigh enough
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

// lessNeeded reports whether s is to be acquitted before another request.
func (s *suspect) lessNeeded(other *suspect) bool {
	return cmp.Or(cmp.Compare(s.weight, other.weight), other.reachedAt.Compare(s.reachedAt), cmp.Compare(other.key, s.key)) < 0
}

// acquit removes a request from the blamed ones. A server that only one of them held then is
// explained by no other.
func (b *blame) acquit(acquitted *suspect) {
	isAcquitted := func(s *suspect) bool { return s == acquitted }
	b.blamed = slices.DeleteFunc(b.blamed, isAcquitted)
	for _, server := range acquitted.ends {
		rest := slices.DeleteFunc(b.holders[server], isAcquitted)
		b.holders[server] = rest
		if len(rest) == 1 {
			rest[0].weight += unexplainedWeight - explainedWeight
		}
	}
}
