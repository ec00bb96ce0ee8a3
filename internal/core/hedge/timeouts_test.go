package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/hedge"
)

// Guards against sound servers that count as silent while they read a long prompt, and against callers who leave before a
// hedge is sent.
func TestTimeoutsFollowTheGoals(t *testing.T) {
	require.Equal(t, 250*time.Millisecond, hedge.FirstByteTimeout(0))
	require.Equal(t, 600*time.Millisecond, hedge.FirstByteTimeout(300*time.Millisecond))

	first, stall := hedge.StreamTimeouts(300*time.Millisecond, 200*time.Millisecond)
	require.Equal(t, 1200*time.Millisecond, first)
	require.Equal(t, 700*time.Millisecond, stall)

	first, stall = hedge.StreamTimeouts(time.Second, time.Second)
	require.Equal(t, 2*time.Second, first)
	require.Equal(t, 3*time.Second, stall)
}
