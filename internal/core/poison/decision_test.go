package poison

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// referenceBlocked determines the blocked keys from all records, with every weight computed anew after each acquittal.
func referenceBlocked(t *Tracker) []Key {
	unproven := make(map[Server]bool)
	for _, r := range t.records {
		for server, e := range r.ends {
			if r.position > 0 && !r.proven() && r.counts(e) {
				unproven[server] = true
			}
		}
	}
	var blamed []*suspect
	for key, r := range t.records {
		s := &suspect{key: key, position: r.position, proven: r.proven(), reachedAt: r.reachedAt}
		for server, e := range r.ends {
			if r.counts(e) && (!s.proven || !unproven[server]) {
				s.ends = append(s.ends, server)
			}
		}
		if len(s.ends) >= MaxEnds {
			blamed = append(blamed, s)
		}
	}
	slices.SortFunc(blamed, func(a, b *suspect) int { return cmp.Compare(a.key, b.key) })
	for {
		var acquittable []*suspect
		for _, s := range blamed {
			s.weight, s.unexplained = referenceWeight(s, blamed)
			s.ranked = s.rank()
			if !s.isNeeded() {
				acquittable = append(acquittable, s)
			}
		}
		if len(acquittable) == 0 {
			break
		}
		least := slices.MinFunc(acquittable, func(a, b *suspect) int { return compareBools(b.lessNeeded(a), a.lessNeeded(b)) })
		blamed = slices.DeleteFunc(blamed, func(s *suspect) bool { return s == least })
	}
	var keys []Key
	for _, s := range blamed {
		keys = append(keys, s.key)
	}
	return keys
}

func referenceWeight(s *suspect, blamed []*suspect) (total, unexplained int) {
	for _, server := range s.ends {
		weight := unexplainedWeight
		for _, other := range blamed {
			switch {
			case other == s || !slices.Contains(other.ends, server):
			case s.proven && !other.proven:
				weight = 0
			case s.proven == other.proven:
				weight = min(weight, explainedWeight)
			}
		}
		total += weight
		if weight == unexplainedWeight {
			unexplained++
		}
	}
	return total, unexplained
}

// Guards against decisions that rest on what records were before a change, as only some are looked at after each.
func TestDecisionFollowsEachChange(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		tracker, other := NewTracker(), NewTracker()
		now := epoch
		for step := range 400 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			changeAtRandom(random, tracker, other, now)
			if step%3 > 0 {
				continue // Several changes lie between two decisions.
			}
			require.Equal(t, referenceBlocked(tracker), tracker.BlockedKeys(), "seed %d, step %d", seed, step)
			for key := range tracker.records {
				require.Equal(t, slices.Contains(tracker.BlockedKeys(), key), tracker.Blocked(key))
			}
		}
	}
}

// changeAtRandom applies a random event to a tracker, or to another one whose record it then merges.
func changeAtRandom(random *rand.Rand, tracker, other *Tracker, now time.Time) {
	part := func() Key { return Key(100 + random.IntN(8)) }
	software := fmt.Sprint("v", random.IntN(2))
	at := tracker
	if random.IntN(3) == 0 {
		at = other
	}
	switch random.IntN(12) {
	case 0:
		at.Completed(Key(1+random.IntN(12)), now)
	case 1:
		at.Void(server(random.IntN(30)), now)
	case 2:
		at.PartsAnswered([]Key{part(), part()}, software, now.Add(-time.Second))
	case 3:
		at.Expire(now)
	case 4, 5, 6:
		key := part()
		at.PartEnded(key, 1+int(key%3), server(random.IntN(30)), software, now)
	default:
		at.Ended(Key(1+random.IntN(12)), server(random.IntN(30)), now)
	}
	for key := range other.records {
		if record, ok := other.Record(key, now); ok && random.IntN(4) == 0 {
			tracker.Merge(record, now)
		}
	}
}

// Guards against a cost of each message that grows with the number of the records: those under which few servers ended have no part in
// the decision.
func TestRecordsOfFewEndsNeedNoDecision(t *testing.T) {
	tracker := NewTracker()
	endAll(tracker, 1, 1, 2, 3)
	require.True(t, tracker.Blocked(1))
	tracker.TakeDecisions()
	for i := range maxRecords / 2 {
		tracker.Merge(Record{Key: Key(1000 + i), Ends: []End{{Server: server(i % 80)}}}, epoch)
		require.False(t, tracker.Blocked(Key(1000+i)))
		tracker.BlockedKeys()
	}
	require.Zero(t, tracker.TakeDecisions())
}
