package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ebonydyke/ebonydyke/test/fixedseed"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

const claimWindow = 10 * time.Minute

func newClaimFleet(seed uint64) *fleet {
	f := newFleet(seed, 4, 2, fleetText(claimWindow))
	f.run(3 * time.Second)
	return f
}

// requireRunCount requires that exactly keys requests ran, so that no key stays blocked by
// a claim whose request never ran.
func (f *fleet) requireRunCount(t *testing.T, keys int) {
	t.Helper()
	ran := len(f.runs)
	require.Equal(t, keys, ran)
}

func requireCleanTally(t *testing.T, f *fleet) {
	t.Helper()
	c := f.countViolations(claimWindow)
	t.Logf("lost %d, run twice %d, falsely refused as not run %d", c.lost, c.duplicated, c.falselyNotRun)
	require.Equal(t, violations{}, c)
}

// A caller retries a request through an instance in another zone at the same moment, since
// the first connection seems dead, and the request runs twice. Only the store can detect
// that both have the same key.
func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	f := newClaimFleet(1)
	for i := range 50 {
		key := fmt.Sprintf("note-%d", i)
		for _, m := range f.instances {
			f.submit(m, key)
		}
		f.run(500 * time.Millisecond)
	}
	f.run(10 * time.Second)
	requireCleanTally(t, f)
	f.requireRunCount(t, 50)
	for _, s := range f.requests {
		if s.runs == 0 {
			require.Equal(t, reason.Duplicate, s.outcome)
		}
	}
	again := f.submit(f.instances[3], "note-7")
	f.run(5 * time.Second)
	require.Equal(t, reason.Duplicate, again.outcome)
	require.Equal(t, "answered", again.first, "state of the first request")
}

// Same as above, but the instances disagree about the members of the fleet, so that each
// considers itself the owner of every partition.
func TestKeyRunsOnceWhenInstancesDisagreeOnOwners(t *testing.T) {
	f := newFleet(2, 4, 2, fleetText(claimWindow))
	f.listDown = true
	f.run(3 * time.Second)
	for i := range 50 {
		for _, m := range f.instances {
			f.submit(m, fmt.Sprintf("note-%d", i))
		}
		f.run(200 * time.Millisecond)
	}
	f.run(10 * time.Second)
	requireCleanTally(t, f)
	f.requireRunCount(t, 50)
}

// The store's answer to a claim is lost before the write or after it, or the write takes
// effect after all instances have given up on it. The request then runs twice, or is
// refused as the duplicate of one that never ran.
func TestLostStoreAnswersNeitherRepeatNorBlockKeys(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"answer", "write", "late"} {
		t.Run(kind, func(t *testing.T) {
			f := newClaimFleet(3)
			switch kind {
			case "answer":
				f.store.lostReplyShare = 0.3
			case "write":
				f.store.lostWriteShare = 0.3
			case "late":
				f.store.lateWriteShare = 0.3
			}
			for i := range 60 {
				f.submit(f.instances[i%4], fmt.Sprintf("note-%d", i%20))
				f.run(300 * time.Millisecond)
			}
			f.store.lostReplyShare, f.store.lostWriteShare, f.store.lateWriteShare = 0, 0, 0
			f.run(time.Minute)
			for i := range 20 {
				f.submit(f.instances[i%4], fmt.Sprintf("note-%d", i))
			}
			f.run(time.Minute)
			requireCleanTally(t, f)
			f.requireRunCount(t, 20)
		})
	}
}

// While the store is unavailable, requests must be refused as not run within a few
// seconds. Their keys must be free once the store is back.
func TestStoreOutageRefusesWithoutBlockingKeys(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(4)
	f.store.down = true
	var refused []*callerRequest
	for i := range 10 {
		refused = append(refused, f.submit(f.instances[i%4], fmt.Sprintf("note-%d", i)))
		f.run(10 * time.Second)
	}
	for _, s := range refused {
		require.Equal(t, reason.NotRun, s.outcome)
		require.Equal(t, reason.ClaimUnavailable, s.reason)
		require.LessOrEqual(t, s.ended.Sub(s.at), 4*time.Second)
	}
	f.store.down = false
	f.run(2 * time.Minute)
	for i := range 10 {
		f.submit(f.instances[i%4], fmt.Sprintf("note-%d", i))
	}
	f.run(10 * time.Second)
	requireCleanTally(t, f)
	f.requireRunCount(t, 10)
}

// The owner of the partitions is frozen for longer than the claim window while others
// write claims. It resumes with a stale tail and with requests whose claims it still
// considers valid.
func TestFrozenOwnerResumesWithStaleTail(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(5)
	for i := range 40 {
		f.submit(f.instances[i%4], fmt.Sprintf("warm-%d", i))
	}
	f.run(3 * time.Second)
	frozen := f.instances[0]
	for i := range 40 {
		f.submit(frozen, fmt.Sprintf("note-%d", i))
	}
	f.run(2 * time.Millisecond)
	frozen.frozenUntil = f.now.Add(claimWindow + time.Minute)
	for round := range 13 {
		for i := range 40 {
			f.submit(f.instances[1+i%3], fmt.Sprintf("note-%d", i))
		}
		f.run(time.Duration(50+round) * time.Second)
	}
	f.run(time.Minute)
	for i := range 40 {
		f.submit(frozen, fmt.Sprintf("note-%d", i))
	}
	f.run(20 * time.Second)
	requireCleanTally(t, f)
	require.Positive(t, f.counters["claim_takeovers/"], "takeovers by other instances")
}

// An instance is killed after its claim is stored and before the request is sent. The key
// stays claimed: a second request with it is refused as in progress or lost, and a third
// one runs after the window.
func TestInstanceKilledBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(6)
	m := f.instances[0]
	s := f.submit(m, "note")
	for f.calls["claim-write"] == 0 {
		f.run(time.Millisecond)
	}
	require.Zero(t, s.runs)
	m.dead = true
	f.run(time.Second)
	second := f.submit(f.instances[1], "note")
	f.run(10 * time.Second)
	require.Equal(t, reason.Duplicate, second.outcome)
	require.Equal(t, "in-progress-or-lost", second.first)
	f.run(claimWindow + time.Minute)
	third := f.submit(f.instances[2], "note")
	f.run(10 * time.Second)
	require.Equal(t, 1, third.runs)
	requireCleanTally(t, f)
}

// A request that could not be sent is refused as not run. Its caller retries at once and
// must not be refused as a duplicate.
func TestReleasedKeyRunsAgain(t *testing.T) {
	f := newClaimFleet(7)
	f.dialFailureShare = 1
	first := f.submit(f.instances[0], "note")
	f.run(3 * time.Second)
	require.Equal(t, reason.NotRun, first.outcome)
	f.dialFailureShare = 0
	second := f.submit(f.instances[1], "note")
	f.run(3 * time.Second)
	require.Equal(t, 1, second.runs)
	requireCleanTally(t, f)
}

// A zone with the owners of half the partitions is cut off from the platform. Requests in
// the other zone must still run, and the zone that is cut off must refuse with the correct
// outcome.
func TestZoneWithoutPlatformDoesNotAffectOtherZone(t *testing.T) {
	f := newClaimFleet(8)
	f.platformCut = func(m *fakeInstance) bool { return m.zone == "zone-0" }
	for i := range 60 {
		f.submit(f.instances[i%4], fmt.Sprintf("note-%d", i))
		f.run(200 * time.Millisecond)
	}
	f.run(10 * time.Second)
	requireCleanTally(t, f)
	ran := map[string]int{}
	for _, s := range f.requests {
		ran[s.instance.zone] += s.runs
	}
	t.Logf("ran: %v of 30 each", ran)
	require.Equal(t, 30, ran["zone-1"])
}

// Under any order of requests, freezes, kills, outages, network partitions, lost answers
// and differing instance lists, no key runs twice, and no request that ran is refused as
// not run.
func TestNoScheduleRunsAKeyTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.SampledFrom([]time.Duration{20 * time.Second, claimWindow}).Draw(t, "window")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, fleetText(window))
		f.run(time.Second)
		ms := func(label string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(1, limit).Draw(t, label)) * time.Millisecond
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "member")]
			switch rapid.IntRange(0, 15).Draw(t, "what") {
			case 0:
				m.frozenUntil = f.now.Add(ms("frozen", 60_000))
			case 1:
				m.dead = true
				f.run(ms("dead", 3000))
				f.boot(m, fleetText(window))
			case 2:
				f.store.down = !f.store.down
			case 3:
				f.store.delay = ms("slow", 4000)
			case 4:
				f.store.delay = 0
			case 5:
				f.store.lostReplyShare, f.store.lateWriteShare, f.store.lostWriteShare = 0.2, 0.2, 0.2
			case 6:
				f.store.lostReplyShare, f.store.lateWriteShare, f.store.lostWriteShare = 0, 0, 0
			case 7:
				f.linkCut = func(a, b *fakeInstance) bool { return a.zone != b.zone }
			case 8:
				f.linkCut = func(_, _ *fakeInstance) bool { return false }
			case 9:
				f.dialFailureShare = 0.5 - f.dialFailureShare
			case 10:
				f.list[rapid.IntRange(0, 2).Draw(t, "listed")].State = membership.Leaving
			default:
				f.submit(m, fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "key")))
			}
			f.run(ms("pause", rapid.SampledFrom([]int{5, 50, 1000, 15_000}).Draw(t, "pace")))
		}
		f.run(2 * time.Minute)
		require.Equal(t, violations{}, f.countViolations(window))
	})
}

// An instance resumes briefly, freezes again just as it receives a request, and resumes
// after the claim window. Another instance received a request with the same key a
// millisecond before that freeze. The resumed instance sent its request although its claim
// had expired, and the key ran twice. The property test above found this schedule.
func TestRequestBeforeFreezeLongerThanClaimWindow(t *testing.T) {
	const window = 20 * time.Second
	f := newFleet(0, 3, 2, fleetText(window))
	f.run(time.Second)
	resumed, other := f.instances[0], f.instances[1]
	for range 2 {
		resumed.frozenUntil = f.now.Add(time.Millisecond)
		f.run(time.Millisecond)
	}
	f.submit(other, "key-2")
	f.run(time.Millisecond)
	resumed.frozenUntil = f.now.Add(50_993 * time.Millisecond)
	f.run(time.Millisecond)
	f.submit(resumed, "key-2")
	f.run(time.Millisecond)
	f.run(2 * time.Minute)
	require.Equal(t, violations{}, f.countViolations(window))
}

// The store handles several hundred writes a second in total. One write per request would
// overload it at 1,000 requests a second.
func TestGroupCommitKeepsStoreBelowHundredWrites(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones int }{{8, 3}, {58, 3}} {
		if !racedetector.RunsFleet(size.instances) {
			continue
		}
		f := newFleet(9, size.instances, size.zones, fleetText(claimWindow))
		f.run(5 * time.Second)
		const seconds = 20
		clear(f.calls)
		for i := range seconds * 1000 {
			f.submit(f.instances[i%len(f.instances)], fmt.Sprintf("note-%d", i))
			f.run(time.Millisecond)
		}
		writes := float64(f.calls["claim-write"]) / seconds
		t.Logf("%d instances: %.1f writes, %.0f bytes written and %.1f reads a second for 1,000 claims a second, %d takeovers",
			size.instances, writes, float64(f.calls["claim-bytes"])/seconds, float64(f.calls["get"])/seconds, f.counters["claim_takeovers/"])
		f.run(10 * time.Second)
		requireCleanTally(t, f)
		f.requireRunCount(t, seconds*1000)
		require.Less(t, writes, 100.0)
	}
}
