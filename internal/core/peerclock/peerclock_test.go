package peerclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clocks that drift apart until all digests look late, or early.
func TestClockOffsetFollowsDrift(t *testing.T) {
	start := time.Unix(1_764_000_000, 0)
	for _, drift := range []float64{-1e-4, 1e-4} {
		var o Offset
		now := start
		for range 24 * 3600 {
			now = now.Add(time.Second)
			made := start.Add(time.Duration(float64(now.Sub(start)) * (1 + drift)))
			o.Observe(now, made)
			local, known := o.ToLocal(made)
			if known {
				require.InDelta(t, 0, now.Sub(local).Seconds(), 0.01)
			}
		}
	}
}
