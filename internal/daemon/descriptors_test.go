package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against callers' connections that take the descriptors of connections to backend servers, peers and the store, or leave
// callers none.
func TestDescriptorsAreShared(t *testing.T) {
	for descriptors, want := range map[int]int{1_048_576: 786_432, 8_192: 6_144, 4_100: 3_075, 1_024: 768, 600: 344, 256: 128, 2: 1, 1: 1} {
		require.Equal(t, want, callersShare(descriptors), descriptors)
	}
	for _, limits := range [][3]int{{8_192, 4_100, 3_075}, {100, 4_100, 100}, {50, 0, 50}} {
		got, err := callerConns(limits[0], limits[1])
		require.NoError(t, err)
		require.LessOrEqual(t, got, limits[2])
	}
}
