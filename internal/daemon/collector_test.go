package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against collections that take a large part of the processor time of a large fleet, and against memory that a small one does not
// need.
func TestHeapGrowsWithTheFleet(t *testing.T) {
	for instances, want := range map[int]int{0: 100, 7: 104, 91: 160, 300: 300, 10_000: 300} {
		require.Equal(t, want, heapGrowth(instances), "%d instances", instances)
	}
}
