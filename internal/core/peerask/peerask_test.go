package peerask

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that counts twice, or that a peer gives which was not asked.
func TestOnlyTheFirstAnswerOfTheAskedPeerCounts(t *testing.T) {
	var q Questions[string]
	token := q.Ask("b", "slot")
	_, ok := q.Take("c", token)
	require.False(t, ok, "another peer")
	about, ok := q.Take("b", token)
	require.True(t, ok)
	require.Equal(t, "slot", about)
	_, ok = q.Take("b", token)
	require.False(t, ok, "the second answer")
}

// Guards against questions that are taken for one another, or sent in an order that differs between replays.
func TestQuestionsToAPeerAreInTheOrderOfAsking(t *testing.T) {
	var q Questions[int]
	for i := range 20 {
		peer := "b"
		if i%2 == 1 {
			peer = "c"
		}
		require.Equal(t, uint64(i+1), q.Ask(peer, i))
	}
	q.DeleteFunc(func(i int) bool { return i > 9 })
	require.Equal(t, []int{0, 2, 4, 6, 8}, q.To("b"))
	require.Empty(t, q.To("d"))
	_, ok := q.Take("c", 12)
	require.False(t, ok, "a question of an ended request")
}

// Guards against a peer that is asked during its pause, or never again.
func TestPauseEnds(t *testing.T) {
	var p Pauses[string]
	now := time.Unix(1_800_000_000, 0)
	require.False(t, p.Active("b", now))
	p.Set("b", now.Add(time.Second))
	require.True(t, p.Active("b", now.Add(999*time.Millisecond)))
	p.Expire(now.Add(999 * time.Millisecond))
	require.True(t, p.Active("b", now))
	require.False(t, p.Active("b", now.Add(time.Second)))
	p.Expire(now.Add(time.Second))
	require.Zero(t, p.Len())
}

// Guards against an answer to a question of the process before this one that is taken for the answer to a question of this one:
// their tokens began alike.
func TestAnswerToTheProcessBeforeCountsForNoQuestion(t *testing.T) {
	before, now := New[string](1_796_000_000_123), New[string](1_796_000_001_517)
	late := before.Ask("b", "slot at server 1")
	for range 100 {
		now.Ask("b", "slot at server 2")
	}
	_, ok := now.Take("b", late)
	require.False(t, ok)
}
