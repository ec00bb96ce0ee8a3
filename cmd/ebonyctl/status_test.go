package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/stretchr/testify/require"
)

// newFleetStatus returns the status of a fleet of n instances in three zones, with generation 7 in
// force on all of them.
func newFleetStatus(n int) *fleetStatus {
	s := &fleetStatus{Newest: 7, Stored: 7}
	for i := range n {
		s.Instances = append(s.Instances, statusResult{Address: fmt.Sprintf("10.0.0.%d:7090", i), Status: &status.Status{
			Instance: fmt.Sprintf("entry-%02d", i), Zone: fmt.Sprint("zone-", i%3), Generation: 7, InFlight: 10,
			Platform: status.Platform{Known: true, Reachable: true},
		}})
	}
	return s
}

func statusOutput(t *testing.T, s *fleetStatus, all bool) string {
	t.Helper()
	var out bytes.Buffer
	c := &cli{stdout: &out}
	s.findBehind()
	require.NoError(t, c.printStatus(s, all))
	return out.String()
}

// TestLargeFleetStatusFitsOneScreen guards against hiding the instances that need attention.
// In a fleet of 91 instances, a row for each healthy one pushed the three unhealthy ones off
// the screen.
func TestLargeFleetStatusFitsOneScreen(t *testing.T) {
	s := newFleetStatus(91)
	s.Instances[4].Status.Generation = 5
	s.Instances[5].Status.Platform = status.Platform{Known: true, Since: time.Unix(0, 0).UTC()}
	s.Instances[6].Status = nil
	out := statusOutput(t, s, false)
	require.LessOrEqual(t, strings.Count(out, "\n"), maxListedInstances)
	for _, line := range []string{
		`zone-0 +30 +30 +0 +0 +300`, `zone-1 +30 +30 +1 +0 +300`, `zone-2 +30 +30 +0 +1 +300`,
		`entry-04 +zone-1 +generation 5 +serving +10 +reachable`,
		`entry-05 +zone-2 +generation 7 +serving +10 +unreachable since 1970-01-01T00:00:00Z`,
		`10.0.0.6:7090 +no answer`,
		`store: generation 7`,
	} {
		require.Regexp(t, line, out)
	}
	require.NotContains(t, out, "entry-07")

	all := statusOutput(t, s, true)
	require.Contains(t, all, "entry-90")
	require.NotContains(t, all, "BEHIND")
}

// TestSmallFleetStatusListsAllInstances checks that the status of a small fleet has a row for
// each instance.
func TestSmallFleetStatusListsAllInstances(t *testing.T) {
	out := statusOutput(t, newFleetStatus(8), false)
	require.Contains(t, out, "entry-07")
	require.Contains(t, out, "generation 7 is in force on all 8 known instances")
}

// Guards against a cut zone that the status does not show: only instances know that they are cut off from it.
func TestStatusShowsSeparatedZones(t *testing.T) {
	s := newFleetStatus(4)
	since := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	s.Instances[0].Status.SeparatedZones = []status.SeparatedZone{{Zone: "zone-1", Since: since.Add(time.Second)}}
	s.Instances[2].Status.SeparatedZones = []status.SeparatedZone{{Zone: "zone-1", Since: since}}
	require.Contains(t, statusOutput(t, s, true), "zone zone-1: cut off from 2 of 4 instances since 2030-01-02T03:04:05Z\n")
}
