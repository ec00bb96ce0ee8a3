package core_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

// fault is a temporary fault; begin injects it into a fleet and end removes it.
type fault struct {
	name  string
	begin func(f *fleet)
	end   func(f *fleet)
}

func noInstance(*fakeInstance) bool     { return false }
func noLinkCut(_, _ *fakeInstance) bool { return false }
func inZoneZero(m *fakeInstance) bool   { return m.zone == "zone-0" }

var faults = []fault{
	{"platform down",
		func(f *fleet) { f.store.down, f.listDown = true, true },
		func(f *fleet) { f.store.down, f.listDown = false, false }},
	{"store slow",
		func(f *fleet) { f.store.delay = 700 * time.Millisecond },
		func(f *fleet) { f.store.delay = 0 }},
	{"store replies and writes lost or late",
		func(f *fleet) { f.store.lostReplyShare, f.store.lostWriteShare, f.store.lateWriteShare = 0.1, 0.1, 0.1 },
		func(f *fleet) { f.store.lostReplyShare, f.store.lostWriteShare, f.store.lateWriteShare = 0, 0, 0 }},
	{"zone cut off from the platform",
		func(f *fleet) { f.platformCut = inZoneZero },
		func(f *fleet) { f.platformCut = noInstance }},
	{"zone cut off from the other zones",
		func(f *fleet) { f.linkCut = func(a, b *fakeInstance) bool { return inZoneZero(a) != inZoneZero(b) } },
		func(f *fleet) { f.linkCut = noLinkCut }},
	{"instance frozen",
		func(f *fleet) { f.instances[1].frozenUntil = f.now.Add(9 * time.Minute) },
		func(*fleet) {}},
	{"instance killed and restarted",
		func(f *fleet) { f.instances[2].dead = true },
		func(f *fleet) { f.boot(f.instances[2], "") }},
}

// scenarioResult is the result of a scenario.
type scenarioResult struct {
	submitted, ran, refused int
	// falseDuplicates counts requests that were refused as duplicates of a claim that was about to
	// be released; blockedKeys counts keys for which that was still so after all faults had
	// ended.
	falseDuplicates, blockedKeys int
	violations
}

// runScenario runs a scenario with two faults that overlap for the given number of seconds; the
// second fault begins and ends 30 s later. Each second a request goes to two random instances, and
// 5 s later again to one if it has not run. The configuration is edited before and after the
// faults.
func runScenario(t *testing.T, seed uint64, seconds int, first, second fault) scenarioResult {
	t.Helper()
	f, text := configFleet(t, seed, 6, 3)
	ask := func(seconds int) {
		for range seconds {
			key := fmt.Sprintf("note-%d", len(f.requests))
			var targets [2]*fakeInstance
			for i := range targets {
				targets[i] = f.instances[f.random.IntN(len(f.instances))]
			}
			for _, m := range targets {
				if !m.dead {
					f.submit(m, key)
				}
			}
			f.schedule(5*time.Second, func() { f.resubmit(key) })
			f.run(time.Second)
		}
	}
	f.putConfig(2, "before", text)
	ask(20)
	first.begin(f)
	ask(30)
	second.begin(f)
	ask(seconds)
	first.end(f)
	ask(30)
	second.end(f)
	f.putConfig(3, "after", text)
	ask(30)
	f.run(5 * time.Minute)
	count, _ := f.onGeneration(3)
	require.Equal(t, len(f.instances), count, "all instances must have the last edit")
	require.Zero(t, f.rollbacks)
	result := f.summarize()
	result.blockedKeys = f.countBlockedKeys()
	return result
}

// countBlockedKeys repeats, after all faults have ended, the requests whose keys never ran, and
// returns the number of keys that still do not run.
func (f *fleet) countBlockedKeys() int {
	keys := make(map[string]bool)
	for _, s := range f.requests {
		if len(f.runs[s.key]) == 0 && s.instance.incarnation == s.incarnation {
			keys[s.key] = true
		}
	}
	for _, s := range f.requests {
		if s.instance.incarnation != s.incarnation {
			delete(keys, s.key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		f.submit(f.instances[f.random.IntN(len(f.instances))], key)
		f.run(100 * time.Millisecond)
	}
	f.run(10 * time.Second)
	blocked := 0
	for key := range keys {
		if len(f.runs[key]) == 0 {
			blocked++
		}
	}
	return blocked
}

// resubmit repeats a request that did not run.
func (f *fleet) resubmit(key string) {
	m := f.instances[f.random.IntN(len(f.instances))]
	if len(f.runs[key]) == 0 && !m.dead {
		f.submit(m, key)
	}
}

// summarize returns the result of a scenario. A request counts as a false duplicate if it was
// refused as a duplicate although no request with its key ran, was still undecided when it
// arrived, or was at an instance that was killed. Such a request met a claim that is still in the
// store while the release of the claim is in progress.
func (f *fleet) summarize() scenarioResult {
	result := scenarioResult{submitted: len(f.requests), violations: f.countViolations(claimWindow)}
	killed := make(map[string]bool)
	for _, s := range f.requests {
		if s.instance.incarnation != s.incarnation {
			killed[s.key] = true
		}
	}
	for _, s := range f.requests {
		switch {
		case s.runs > 0:
			result.ran++
		case s.outcome == reason.NotRun:
			result.refused++
		case s.outcome == reason.Duplicate && len(f.runs[s.key]) == 0 && !killed[s.key] && f.othersEnded(s):
			result.falseDuplicates++
		}
	}
	return result
}

// othersEnded reports whether all other requests with the same key had ended when a request
// arrived.
func (f *fleet) othersEnded(s *callerRequest) bool {
	for _, other := range f.requests {
		if other != s && other.key == s.key && !other.at.After(s.at) && other.ended.After(s.at) {
			return false
		}
	}
	return true
}

// Guarantees that hold under each single fault may break under two at once: a request is lost,
// runs twice, is refused as not run although it ran, or is refused as a duplicate although no
// other request has its key.
func TestAnyTwoFaultsTogether(t *testing.T) {
	t.Parallel()
	for i, first := range faults {
		for _, second := range faults[i:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				runScenario(t, uint64(20+i), racedetector.Choose(600, 200), first, second).require(t)
			})
		}
	}
}

// The store replies late for an hour, as after an outage of the platform. Requests wait longer for
// their claims, but none may be lost, run twice or be falsely refused, also if the owner of some
// partitions freezes meanwhile.
func TestStoreSlowForAnHour(t *testing.T) {
	t.Parallel()
	seconds := racedetector.Choose(3600, 600)
	result := runScenario(t, 40, seconds, faults[1], faults[5])
	result.require(t)
	require.Greater(t, result.ran, seconds*5/6, "requests must still run, but slowly")
}

// require logs the counts and checks that there are no violations and no blocked keys.
func (o scenarioResult) require(t *testing.T) {
	t.Helper()
	t.Logf("asked %d, ran %d, refused %d; lost %d, run twice %d, falsely refused as not run %d, falsely refused as duplicates permanently %d, temporarily %d",
		o.submitted, o.ran, o.refused, o.lost, o.duplicated, o.falselyNotRun, o.blockedKeys, o.falseDuplicates)
	require.Equal(t, violations{}, o.violations)
	require.Zero(t, o.blockedKeys)
	// 80 requests arrive before and after the faults; backoff may delay them by up to 15 s.
	require.GreaterOrEqual(t, o.ran, 65)
}
