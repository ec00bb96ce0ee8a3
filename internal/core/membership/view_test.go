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

func engine(name string, incarnation uint64, s membership.State) membership.Instance {
	return membership.Instance{
		Name: name, Role: membership.Backend, Service: "underwriting", Zone: "zone-1",
		Address: "127.0.0.1:1", Incarnation: incarnation, State: s,
	}
}

// A caller would be sent to an engine that is shutting down. The engine's word
// that it leaves is followed, in any order and any number of times, by older lines
// of the platform's list and of peers that still name it live. Cause: every
// source lags, each by its own time.
func TestWithinAnIncarnationNothingThatLeftComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := membership.NewView()
		worst := make(map[string]membership.Instance)
		now := start
		state := rapid.SampledFrom([]membership.State{membership.Live, membership.Leaving, membership.Gone})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprintf("engine-%d", rapid.IntRange(0, 2).Draw(t, "name"))
			in := engine(name, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), state.Draw(t, "state"))
			switch rapid.IntRange(0, 3).Draw(t, "source") {
			case 0:
				v.Merge(now, in)
			case 1:
				v.Listed(now, []membership.Instance{in})
			case 2:
				v.Learn(now, in.Fact())
				if worst[name].Name == "" && in.State == membership.Live {
					continue
				}
			case 3:
				v.Report(now, membership.Report{Backend: name, Incarnation: in.Incarnation, State: in.State}, i%2 == 0)
			}
			worst[name] = worse(worst[name], in)
			for name, in := range worst {
				got := v.Get(name)
				require.NotNil(t, got)
				require.Equal(t, in.Incarnation, got.Incarnation)
				if in.State != membership.Live {
					require.NotEqual(t, membership.Live, got.State, "%s came back within incarnation %d", name, in.Incarnation)
				}
			}
		}
	})
}

func worse(a, b membership.Instance) membership.Instance {
	rank := map[membership.State]int{membership.Live: 1, membership.Leaving: 2, membership.Gone: 3}
	if b.Incarnation > a.Incarnation || b.Incarnation == a.Incarnation && rank[b.State] > rank[a.State] {
		return b
	}
	return a
}

// A server that crashed without a word stays in the ranking for ever, or a whole
// zone loses its servers at once because the platform came back with an empty or
// half a list. Cause: absence from one list is no evidence; from many it is.
func TestAbsenceCountsOnlyOverSeveralWholeLists(t *testing.T) {
	all := []membership.Instance{
		engine("a", 1, membership.Live), engine("b", 1, membership.Live),
		engine("c", 1, membership.Live), engine("d", 1, membership.Live),
	}
	goneAfter := func(list []membership.Instance, until time.Duration) time.Duration {
		v := membership.NewView()
		v.Listed(start, all)
		for d := 2 * time.Second; d <= until; d += 2 * time.Second {
			v.Listed(at(d), list)
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

// A live server that the platform forgot for a while would stay without work
// until it restarts. Absence is only inferred, so a later list undoes it, unlike a
// word that the server leaves; and it is never told to peers.
func TestAListUndoesAbsenceButNotAWord(t *testing.T) {
	all := []membership.Instance{engine("a", 1, membership.Live), engine("b", 1, membership.Live), engine("c", 1, membership.Live)}
	v := membership.NewView()
	v.Listed(start, all)
	seq := v.Seq()
	for d := 2 * time.Second; d <= 20*time.Second; d += 2 * time.Second {
		v.Listed(at(d), all[:2])
	}
	require.Equal(t, membership.Gone, v.Get("c").State)
	changes, complete := v.Changes(seq, 10)
	require.True(t, complete)
	require.Equal(t, []membership.Instance{all[2]}, changes, "peers hear what was said, not what was inferred")

	v.Listed(at(22*time.Second), all)
	require.Equal(t, membership.Live, v.Get("c").State)

	v.Learn(at(23*time.Second), membership.Fact{Name: "c", Incarnation: 1, State: membership.Leaving})
	v.Listed(at(24*time.Second), all)
	require.Equal(t, membership.Leaving, v.Get("c").State)
	v.Listed(at(26*time.Second), []membership.Instance{all[0], all[1], engine("c", 2, membership.Live)})
	require.Equal(t, membership.Live, v.Get("c").State, "a new incarnation under the same address")
}

// Two instances whose lists show an address differently would tell each other theirs
// for ever, and each would dial the other's.
func TestAPeerIntroducesButDoesNotRewrite(t *testing.T) {
	v := membership.NewView()
	own := engine("a", 1, membership.Live)
	v.Listed(start, []membership.Instance{own})
	theirs := own
	theirs.Address = "127.0.0.1:2"
	require.False(t, v.Introduce(at(time.Second), theirs))
	require.Equal(t, own.Address, v.Get("a").Address)
	theirs.State = membership.Leaving
	require.True(t, v.Introduce(at(2*time.Second), theirs))
	require.Equal(t, own.Address, v.Get("a").Address)
	theirs.Incarnation, theirs.State = 2, membership.Live
	require.True(t, v.Introduce(at(3*time.Second), theirs))
	require.Equal(t, theirs, *v.Get("a"), "a new incarnation may stand elsewhere")
}

// A fixed server that is in no list drains, is restarted and would never get work
// again, or its long answers, whose headers were written before the drain, would
// bring it back while it drains. Cause: it gives no incarnation.
func TestFixedServersAreOrderedByTheirOwnClock(t *testing.T) {
	say := func(v *membership.View, when time.Duration, s membership.State, fresh bool) {
		v.Report(at(time.Hour), membership.Report{Backend: "portal-a", State: s, At: at(when)}, fresh)
	}
	v := membership.NewView()
	say(v, 1*time.Second, membership.Live, true)
	require.Nil(t, v.Get("portal-a"), "nothing to remember of a live one")
	say(v, 5*time.Second, membership.Leaving, false)
	require.Equal(t, membership.Leaving, v.Get("portal-a").State)
	say(v, 6*time.Second, membership.Live, false)
	require.Equal(t, membership.Leaving, v.Get("portal-a").State, "the header of an answer that took long")
	say(v, 4*time.Second, membership.Live, true)
	require.Equal(t, membership.Leaving, v.Get("portal-a").State, "an older report that came late")
	say(v, 60*time.Second, membership.Live, true)
	require.Equal(t, membership.Live, v.Get("portal-a").State, "restarted")
	say(v, 5*time.Second, membership.Leaving, false)
	require.Equal(t, membership.Live, v.Get("portal-a").State, "a refusal of before the restart that came late")
}

// A server that restarts every minute gets its full share each time, and each time
// callers lose what it was working on. Cause: nobody remembers that it flaps.
func TestFlappingServersComeBackBySteps(t *testing.T) {
	v := membership.NewView()
	v.Merge(start, engine("a", 1, membership.Live))
	require.InDelta(t, 1, v.Share("a", start), 0, "a first start")
	flap := func(d time.Duration, incarnation uint64) {
		v.Merge(at(d), engine("a", incarnation-1, membership.Gone))
		v.Merge(at(d), engine("a", incarnation, membership.Live))
	}
	flap(time.Minute, 2)
	require.InDelta(t, 1, v.Share("a", at(time.Minute)), 0, "one planned restart")
	flap(2*time.Minute, 3)
	shares := func(from time.Duration, steps ...time.Duration) (got []float64) {
		for _, s := range steps {
			got = append(got, v.Share("a", at(from+s)))
		}
		return got
	}
	require.Equal(t, []float64{0.25, 0.5, 1}, shares(2*time.Minute, 0, 10*time.Second, 20*time.Second))
	require.Equal(t, []string{"a"}, v.Stepped(at(2*time.Minute+11*time.Second)))
	require.Empty(t, v.Stepped(at(2*time.Minute+12*time.Second)))
	flap(3*time.Minute, 4)
	require.Equal(t, []float64{0.25, 0.25, 0.5, 1}, shares(3*time.Minute, 0, 10*time.Second, 20*time.Second, 40*time.Second))
	flap(time.Hour, 5)
	require.InDelta(t, 1, v.Share("a", at(time.Hour)), 0, "long quiet before")
}

// A memory of every server that ever was would grow without end; forgotten too
// early, a lagging line brings a dead server back.
func TestTombstonesAreKeptADayAndBounded(t *testing.T) {
	v := membership.NewView()
	for i := range 20_010 {
		v.Merge(at(time.Duration(i)*time.Millisecond), engine(fmt.Sprintf("e%d", i), 1, membership.Gone))
	}
	v.Expire(at(time.Minute))
	require.Nil(t, v.Get("e9"), "the oldest beyond the bound")
	require.NotNil(t, v.Get("e10"))
	v.Merge(at(23*time.Hour), engine("e11", 1, membership.Live))
	require.Equal(t, membership.Gone, v.Get("e11").State)
	v.Expire(at(25 * time.Hour))
	require.Nil(t, v.Get("e12"))
	require.NotNil(t, v.Get("e11"), "a source that still repeats it keeps the tombstone")
}
