package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ebonydyke/ebonydyke/test/fixedseed"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func engine(name string, incarnation uint64, s membership.State) membership.Member {
	return membership.Member{
		Name: name, Role: membership.RoleBackend, Service: "underwriting", Zone: "zone-1",
		Address: "127.0.0.1:1", Incarnation: incarnation, State: s,
	}
}

// An engine that is shutting down must not get new requests. After the engine reports that it is
// leaving, older entries from the platform's list and from peers may still report it live, in any
// order and any number of times, because every source lags by a different time.
func TestStateNeverRevertsWithinIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := membership.NewView()
		want := make(map[string]membership.Member)
		now := start
		state := rapid.SampledFrom([]membership.State{membership.Live, membership.Leaving, membership.Gone})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprintf("engine-%d", rapid.IntRange(0, 2).Draw(t, "name"))
			member := engine(name, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), state.Draw(t, "state"))
			switch rapid.IntRange(0, 3).Draw(t, "source") {
			case 0:
				v.Merge(now, member)
			case 1:
				v.ApplyList(now, []membership.Member{member})
			case 2:
				v.ApplyFact(now, member.Fact())
				if want[name].Name == "" && member.State == membership.Live {
					continue
				}
			case 3:
				v.ApplyReport(now, membership.Report{Backend: name, Incarnation: member.Incarnation, State: member.State}, i%2 == 0)
			}
			want[name] = preferred(want[name], member)
			for name, member := range want {
				got := v.Get(name)
				require.NotNil(t, got)
				require.Equal(t, member.Incarnation, got.Incarnation)
				if member.State != membership.Live {
					require.NotEqual(t, membership.Live, got.State, "%s came back within incarnation %d", name, member.Incarnation)
				}
			}
		}
	})
}

// preferred returns the entry that takes precedence in the view.
func preferred(a, b membership.Member) membership.Member {
	rank := map[membership.State]int{membership.Live: 1, membership.Leaving: 2, membership.Gone: 3}
	if b.Incarnation > a.Incarnation || b.Incarnation == a.Incarnation && rank[b.State] > rank[a.State] {
		return b
	}
	return a
}

// A member counts as gone only if it is missing from several complete lists. Without this rule a
// server that crashed without a report would stay in the ranking forever, or a zone would lose
// all its servers at once when the platform returns an empty or partial list after an outage.
func TestAbsenceRequiresSeveralCompleteLists(t *testing.T) {
	all := []membership.Member{
		engine("a", 1, membership.Live), engine("b", 1, membership.Live),
		engine("c", 1, membership.Live), engine("d", 1, membership.Live),
	}
	goneAfter := func(list []membership.Member, until time.Duration) time.Duration {
		v := membership.NewView()
		v.ApplyList(start, all)
		for d := 2 * time.Second; d <= until; d += 2 * time.Second {
			v.ApplyList(at(d), list)
			if v.Get("d").State == membership.Gone {
				return d
			}
		}
		return 0
	}
	require.Equal(t, 10*time.Second, goneAfter(all[:3], time.Hour), "one of four left out")
	require.Equal(t, time.Minute, goneAfter(all[:1], time.Hour), "three of four left out")
	require.Zero(t, goneAfter(nil, time.Hour), "empty lists")
	require.Zero(t, goneAfter(all, time.Hour), "whole lists")
}

// A live server that was temporarily missing from the platform's list must get requests again
// without a restart. Absence is only inferred, so a later list undoes it, unlike a reported
// leaving state. Absence is never sent to peers.
func TestListUndoesAbsenceButNotReportedState(t *testing.T) {
	all := []membership.Member{engine("a", 1, membership.Live), engine("b", 1, membership.Live), engine("c", 1, membership.Live)}
	v := membership.NewView()
	v.ApplyList(start, all)
	seq := v.Seq()
	for d := 2 * time.Second; d <= 20*time.Second; d += 2 * time.Second {
		v.ApplyList(at(d), all[:2])
	}
	require.Equal(t, membership.Gone, v.Get("c").State)
	changes, complete := v.Changes(seq, 10)
	require.True(t, complete)
	require.Equal(t, []membership.Member{all[2]}, changes, "peers get the reported state, not the inferred one")

	v.ApplyList(at(22*time.Second), all)
	require.Equal(t, membership.Live, v.Get("c").State)

	v.ApplyFact(at(23*time.Second), membership.Fact{Name: "c", Incarnation: 1, State: membership.Leaving})
	v.ApplyList(at(24*time.Second), all)
	require.Equal(t, membership.Leaving, v.Get("c").State)
	v.ApplyList(at(26*time.Second), []membership.Member{all[0], all[1], engine("c", 2, membership.Live)})
	require.Equal(t, membership.Live, v.Get("c").State, "a new incarnation under the same address")
}

// Two instances whose lists have different addresses for a member must not overwrite each other's
// address. They would otherwise exchange updates forever and each would dial the other's address.
func TestPeerEntryDoesNotOverwriteKnownFields(t *testing.T) {
	v := membership.NewView()
	own := engine("a", 1, membership.Live)
	v.ApplyList(start, []membership.Member{own})
	theirs := own
	theirs.Address = "127.0.0.1:2"
	require.False(t, v.MergeFromPeer(at(time.Second), theirs))
	require.Equal(t, own.Address, v.Get("a").Address)
	theirs.State = membership.Leaving
	require.True(t, v.MergeFromPeer(at(2*time.Second), theirs))
	require.Equal(t, own.Address, v.Get("a").Address)
	theirs.Incarnation, theirs.State = 2, membership.Live
	require.True(t, v.MergeFromPeer(at(3*time.Second), theirs))
	require.Equal(t, theirs, *v.Get("a"), "a new incarnation may have another address")
}

// A statically configured server is in no list and reports no incarnation, so its reports are
// ordered by its own clock. Without that order it would never get requests again after a drain
// and restart, or long responses whose headers were written before the drain would make it live
// again while it drains.
func TestStaticServersAreOrderedByTheirOwnClock(t *testing.T) {
	report := func(v *membership.View, when time.Duration, s membership.State, fresh bool) {
		v.ApplyReport(at(time.Hour), membership.Report{Backend: "portal-a", State: s, At: at(when)}, fresh)
	}
	v := membership.NewView()
	report(v, 1*time.Second, membership.Live, true)
	require.Nil(t, v.Get("portal-a"), "a live server needs no record")
	report(v, 5*time.Second, membership.Leaving, false)
	require.Equal(t, membership.Leaving, v.Get("portal-a").State)
	report(v, 6*time.Second, membership.Live, false)
	require.Equal(t, membership.Leaving, v.Get("portal-a").State, "the header of a long response")
	report(v, 4*time.Second, membership.Live, true)
	require.Equal(t, membership.Leaving, v.Get("portal-a").State, "an older report that arrived late")
	report(v, 60*time.Second, membership.Live, true)
	require.Equal(t, membership.Live, v.Get("portal-a").State, "restarted")
	report(v, 5*time.Second, membership.Leaving, false)
	require.Equal(t, membership.Live, v.Get("portal-a").State, "a refusal from before the restart that arrived late")
}

// A server that restarts every minute must not get its full load each time, since each crash
// loses its requests in progress. The view counts recent returns and ramps up the load in steps.
func TestFlappingServerIsRampedUp(t *testing.T) {
	v := membership.NewView()
	v.Merge(start, engine("a", 1, membership.Live))
	require.InDelta(t, 1, v.LoadShare("a", start), 0, "a first start")
	flap := func(d time.Duration, incarnation uint64) {
		v.Merge(at(d), engine("a", incarnation-1, membership.Gone))
		v.Merge(at(d), engine("a", incarnation, membership.Live))
	}
	flap(time.Minute, 2)
	require.InDelta(t, 1, v.LoadShare("a", at(time.Minute)), 0, "one planned restart")
	flap(2*time.Minute, 3)
	shares := func(from time.Duration, steps ...time.Duration) (got []float64) {
		for _, s := range steps {
			got = append(got, v.LoadShare("a", at(from+s)))
		}
		return got
	}
	require.Equal(t, []float64{0.25, 0.5, 1}, shares(2*time.Minute, 0, 10*time.Second, 20*time.Second))
	require.Equal(t, []string{"a"}, v.ChangedShares(at(2*time.Minute+11*time.Second)))
	require.Empty(t, v.ChangedShares(at(2*time.Minute+12*time.Second)))
	flap(3*time.Minute, 4)
	require.Equal(t, []float64{0.25, 0.25, 0.5, 1}, shares(3*time.Minute, 0, 10*time.Second, 20*time.Second, 40*time.Second))
	flap(time.Hour, 5)
	require.InDelta(t, 1, v.LoadShare("a", at(time.Hour)), 0, "no return for a long time before")
}

// Gone members must be dropped eventually, or memory would grow without bound. If they are dropped
// too early, an outdated entry makes a gone server live again.
func TestTombstonesAreKeptADayAndBounded(t *testing.T) {
	v := membership.NewView()
	for i := range 20_010 {
		v.Merge(at(time.Duration(i)*time.Millisecond), engine(fmt.Sprintf("e%d", i), 1, membership.Gone))
	}
	v.Expire(at(time.Minute))
	require.Nil(t, v.Get("e9"), "the oldest one beyond the bound")
	require.NotNil(t, v.Get("e10"))
	v.Merge(at(23*time.Hour), engine("e11", 1, membership.Live))
	require.Equal(t, membership.Gone, v.Get("e11").State)
	v.Expire(at(25 * time.Hour))
	require.Nil(t, v.Get("e12"))
	require.NotNil(t, v.Get("e11"), "a source that still repeats it keeps the tombstone")
}

// Guards against a server that gets requests for good although its entry says that it leaves, because its clock was set back before
// it started; and against a sound server that is kept out by such an entry of another writer once its own is back.
func TestEntryOfEarlierProcessThatLeaves(t *testing.T) {
	v := membership.NewView()
	sound := membership.Member{Name: "i-7", Role: membership.RoleBackend, Service: "s", Zone: "z", Address: "10.0.0.9:80", Incarnation: 200, State: membership.Live}
	leaving := sound
	leaving.Incarnation, leaving.State = 100, membership.Leaving
	require.True(t, v.Register(start, sound))
	require.True(t, v.Register(start, leaving))
	require.Equal(t, membership.Leaving, v.Get("i-7").State)
	require.EqualValues(t, 200, v.Get("i-7").Incarnation)
	require.False(t, v.Register(start, leaving))
	require.False(t, v.ApplyFact(start, sound.Fact()), "a peer that has not read the entry")
	require.Equal(t, membership.Leaving, v.Get("i-7").State)
	members, _ := v.Changes(0, 10)
	require.Equal(t, membership.Live, members[0].State, "peers read the entry themselves")

	require.True(t, v.Register(start, sound))
	require.Equal(t, membership.Live, v.Get("i-7").State)
	require.True(t, v.Register(start, leaving))
	require.True(t, v.Unregister("i-7"))
	require.Equal(t, membership.Gone, v.Get("i-7").State)
	restarted := sound
	restarted.Incarnation = 300
	require.True(t, v.Register(start, restarted))
	require.Equal(t, membership.Live, v.Get("i-7").State)
}
