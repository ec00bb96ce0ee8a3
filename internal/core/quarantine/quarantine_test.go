package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a server that keeps getting requests whatever it sends, and against one that never gets any again.
func TestServerIsLeftUntilItAnswers(t *testing.T) {
	tracker, now := quarantine.New(), start
	require.False(t, tracker.Fault("a", now))
	require.Equal(t, quarantine.Sound, tracker.StateOf("a", now), "one fault")
	require.True(t, tracker.Fault("a", now))
	require.False(t, tracker.Fault("a", now), "a response to a request that was sent before")
	for _, hold := range []time.Duration{2, 4, 8, 16, 16} {
		require.Equal(t, quarantine.Ejected, tracker.StateOf("a", now.Add(hold*time.Second-1)))
		now = now.Add(hold * time.Second)
		require.Equal(t, quarantine.OnTrial, tracker.StateOf("a", now))
		require.False(t, tracker.Fault("a", now), "it is ejected already")
	}
	require.Equal(t, quarantine.Ejected, tracker.StateOf("a", now))
	require.True(t, tracker.Answered("a"))
	require.Equal(t, quarantine.Sound, tracker.StateOf("a", now))
	require.True(t, tracker.Empty())
}

// Guards against leaving a server that spoils a response now and then.
func TestAnswersBetweenFaultsKeepAServer(t *testing.T) {
	tracker := quarantine.New()
	for n := range 100 {
		now := start.Add(time.Duration(n) * time.Second)
		require.False(t, tracker.Fault("a", now))
		require.False(t, tracker.Answered("a"))
		require.Equal(t, quarantine.Sound, tracker.StateOf("a", now))
	}
}

// Guards against state of servers that are gone, or that nobody asks any more.
func TestFaultsAreForgotten(t *testing.T) {
	tracker := quarantine.New()
	for range 2 {
		tracker.Fault("gone", start)
		tracker.Fault("idle", start)
	}
	keep := func(name string) bool { return name != "gone" }
	tracker.Keep(start, keep)
	require.Equal(t, quarantine.Sound, tracker.StateOf("gone", start))
	require.Equal(t, quarantine.Ejected, tracker.StateOf("idle", start))
	tracker.Keep(start.Add(time.Hour), keep)
	require.True(t, tracker.Empty())
}
