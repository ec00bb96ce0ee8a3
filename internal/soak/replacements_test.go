package soak

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a data race, or a goroutine that outlasts the soak, if a request in transit ends a backend server while the
// replacements are awaited.
func TestReplacementsStartWhileTheyAreAwaited(t *testing.T) {
	for range 1000 {
		var r replacements
		var running atomic.Int64
		var requests sync.WaitGroup
		for range 4 {
			requests.Go(func() {
				r.start(func() {
					running.Add(1)
					defer running.Add(-1)
				})
			})
		}
		r.finish()
		require.Zero(t, running.Load())
		requests.Wait()
		require.Zero(t, running.Load())
	}
}
