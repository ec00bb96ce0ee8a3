package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late answer that cannot be told from a soak that got no processor.
func TestStandstillsAreSummed(t *testing.T) {
	var s standstills
	s.record(standstill{from: time.Second, to: time.Second + standstillTick})
	s.record(standstill{from: 2 * time.Second, to: 3 * time.Second})
	s.record(standstill{from: 4 * time.Second, to: 6 * time.Second})
	require.Zero(t, s.within(0, 2*time.Second))
	require.Equal(t, 1500*time.Millisecond, s.within(2500*time.Millisecond, 5*time.Second))
}
