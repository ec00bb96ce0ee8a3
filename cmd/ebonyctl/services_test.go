package main

import (
	"testing"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Guards against an operator who cannot tell from the status which requests were refused, why, and at how many instances.
func TestStatusShowsWhatWasRefused(t *testing.T) {
	s := newFleetStatus(3)
	for i := range s.Instances[:2] {
		s.Instances[i].Status.Services = []status.Service{{Name: "llm", Overload: &status.Overload{
			Load: 30 + 10*float64(i), Capacity: 32, Servers: 2, Overloaded: i == 1,
			Levels: []status.Level{
				{Level: -1, Admitted: 1}, {Level: 0, Admitted: 20, Wait: 40 * time.Millisecond},
				{Level: 7, Admitted: 2, Refused: 9, Wait: time.Duration(i+1) * time.Second},
			},
			Refused: []status.Refused{{Reason: reason.Saturated, Count: 2}, {Reason: reason.WaitTooLong, Count: 7}},
		}}}
	}
	// An instance of an earlier build tells nothing of overload, and must not lower the means.
	s.Instances[2].Status.Services = []status.Service{{Name: "llm"}}
	require.Regexp(t, `llm +35\.0 +32 +2 +1 of 2 +none: 0 of 2; 0: 0 of 40, 40ms; 7: 18 of 22, 2s +14 wait-too-long, 4 saturated`, statusOutput(t, s, false))
}

// Guards against a slow server that looks like any other in the list.
func TestBackendsShowSlowness(t *testing.T) {
	require.Equal(t, "live, 2.5 times slower (reported)", backendState(status.Backend{State: "live", Slowness: 2.5, Basis: status.SlownessReported}))
	require.Equal(t, "live", backendState(status.Backend{State: "live"}))
}
