package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// fewLenders returns a fleet of three, of which the given instances have a link.
func fewLenders(linked ...string) *retry.Fleet {
	return &retry.Fleet{
		Service: "engines", Names: []string{"a", "b", "c"}, Self: "a", EqualPart: 1, Random: func(int) int { return 0 },
		Linked: func(name string) bool {
			for _, other := range linked {
				if other == name {
					return true
				}
			}
			return false
		},
	}
}

// Guards against a request that asks a silent or denying instance again, or goes on asking without end.
func TestLendersAreAskedInTurn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := retry.NewBorrowing[string](1)
	ask := b.Begin("r", "engines", now)
	first := b.Next(ask, fewLenders("b", "c"), now)
	require.Equal(t, "b", first.Lender)
	require.Nil(t, b.Granted("c", first.Token), "the answer of another instance")
	require.Same(t, ask, b.TimedOut("b", first.Token, now))
	require.Nil(t, b.Granted("b", first.Token), "a late answer")
	second := b.Next(ask, fewLenders("b", "c"), now)
	require.Equal(t, "c", second.Lender)
	require.Same(t, ask, b.Denied("c", second.Token, time.Second, now))
	require.Equal(t, retry.Step{NoneToAsk: true}, b.Next(ask, fewLenders("b", "c"), now))
	b.Expire(func(string) bool { return false }, now.Add(time.Second))
	require.Equal(t, retry.Step{}, b.Next(ask, fewLenders("b", "c"), now.Add(time.Second)), "too late for this request")
	require.Equal(t, "c", b.Next(b.Begin("s", "engines", now.Add(time.Second)), fewLenders("b", "c"), now.Add(time.Second)).Lender)
}

// Guards against a request that waits for links beyond its time, and one that is asked for twice when two links come up.
func TestFirstLinkEndsTheWait(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := retry.NewBorrowing[string](1)
	ask := b.Begin("r", "engines", now)
	step := b.Next(ask, fewLenders(), now)
	require.Equal(t, []string{"b", "c"}, step.Links)
	require.Empty(t, b.LinkUp("d"))
	require.Equal(t, []*retry.Ask[string]{ask}, b.LinkUp("b"))
	require.Empty(t, b.LinkUp("c"))
	require.False(t, b.LinksTimedOut(ask, step.Until))
	late := b.Begin("s", "engines", now)
	b.Next(late, fewLenders(), now)
	require.True(t, b.LinksTimedOut(late, step.Until))
	require.Equal(t, retry.Step{NoneToAsk: true}, b.Next(b.Begin("u", "engines", step.Until), fewLenders(), step.Until))
	ended := b.Begin("v", "portal", now)
	b.Next(ended, fewLenders("b"), now)
	b.Expire(func(string) bool { return true }, now)
	require.Nil(t, b.Granted("b", 1))
}
