package core_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Guards against sending requests to a server that answers polls with bytes that are no response, and against leaving one whose
// polls get none.
func TestMalformedReportsEjectAServer(t *testing.T) {
	s := newNodeHarness(t, liveEngines(1))
	failed := core.BackendReported{Report: membership.Report{Backend: "portal-a", At: s.now}, Failed: true}
	for range 10 {
		s.handle(failed)
	}
	require.Len(t, s.countByBackend("portal"), 2, "polls without an answer")
	malformed := failed
	malformed.Malformed = true
	s.handle(malformed)
	s.handle(malformed)
	require.Equal(t, map[string]int{"portal-b": 60}, s.countByBackend("portal"))
}
