package soak_test

import (
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/soak"
)

// seeds lists the seeds of every run: 1, and each seed that has ever failed, with a line on
// the cause.
var seeds = []uint64{
	1,
}

// pauseSeeds lists the seeds of every run with pauses only, likewise.
var pauseSeeds = []uint64{
	1,
}

// endlessSeeds lists the seeds of every run with bytes without end only, likewise.
var endlessSeeds = []uint64{
	2, // streams of comments alone, without an event, or with trailers without end
	3, // the same
}

// zoneSeeds lists the seeds of every run with evacuated zones and cold servers, likewise.
var zoneSeeds = []uint64{
	1,
}

// copySeeds lists the seeds of every run with late copies only, likewise.
var copySeeds = []uint64{
	1, // a copy of a server's report on itself, in front of the answer to the request for which it was asked
}

// Guards against wrong, truncated or late responses, requests that run twice or after a
// refusal, and instances that do not recover. Processes of a real fleet are killed, stopped,
// paused and cut off from the store and the backend servers while the configuration changes.
func TestShortSoak(t *testing.T) {
	binary := buildDaemon(t)
	for _, seed := range seeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Binary: binary, Seed: seed, Instances: 4, Backends: 6, Callers: 8, Duration: 6 * time.Second, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Counts["answered"])
		require.Positive(t, result.Counts["responses on kept connections"])
		t.Logf("seed %d: %v", seed, result.Counts)
	}
}

// Guards against requests that an instance passed on and ended without a whole answer because a sound backend server fell
// silent for a second or two, or left without an answer or an end of their connection, beside changes of the configuration,
// reloads and planned stops.
func TestPausedServersLoseNoRequest(t *testing.T) {
	binary := buildDaemon(t)
	for _, seed := range pauseSeeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Binary: binary, Seed: seed, Instances: 4, Backends: 6, Callers: 16, Duration: 12 * time.Second,
			Faults: soak.FaultsPauses, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Counts["waves of pauses"])
		require.Positive(t, result.Counts["passed on without unplanned faults"])
		require.Positive(t, result.Counts["responses on kept connections"])
		t.Logf("seed %d: %v", seed, result.Counts)
	}
}

// Guards against requests that wait for the end of bytes that are no answer, which a backend server sends until its caller
// closes the connection, and against such a server that is asked like the others, or not again once it is sound.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	binary := buildDaemon(t)
	for _, seed := range endlessSeeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Binary: binary, Seed: seed, Instances: 4, Backends: 6, Callers: 24, Duration: 12 * time.Second,
			Faults: soak.FaultsEndless, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Counts["sent bytes without end"])
		t.Logf("seed %d: %v", seed, result.Counts)
	}
}

// Guards against requests to servers of evacuated zones, requests that are refused meanwhile although other zones have room, zones
// that get no load afterwards, and cold servers that get more requests than they tolerate, beside faults of instances and the store.
func TestEvacuatedZonesAndColdServers(t *testing.T) {
	binary := buildDaemon(t)
	for _, seed := range zoneSeeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Binary: binary, Seed: seed, Instances: 4, Backends: 9, Callers: 16, Duration: 14 * time.Second,
			Faults: soak.FaultsZones, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		inRoom := func(v soak.Violation) bool { return v.Guarantee == soak.ServedWhereRoom }
		t.Run("all else", func(t *testing.T) {
			require.Empty(t, slices.DeleteFunc(slices.Clone(result.Violations), inRoom), "seed %d", seed)
			require.Positive(t, result.Counts["zones with load again"])
			require.Positive(t, result.Counts["requests at cold servers"])
			require.Positive(t, result.Counts["ms of evacuations beside room"])
		})
		t.Run("room in other zones", func(t *testing.T) {
			isOther := func(v soak.Violation) bool { return !inRoom(v) }
			require.Empty(t, slices.DeleteFunc(slices.Clone(result.Violations), isOther), "seed %d", seed)
		})
		t.Logf("seed %d: %v", seed, result.Counts)
	}
}

// Guards against requests that run twice, or run and are answered as not run, or are not answered although the answer follows, because
// a backend server sends any of its responses a second time, late.
func TestLateCopiesOfResponses(t *testing.T) {
	binary := buildDaemon(t)
	for _, seed := range copySeeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Binary: binary, Seed: seed, Instances: 4, Backends: 12, Callers: 32, Duration: 2 * time.Second,
			Faults: soak.FaultsCopies, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Counts["late copies 200 OK with a length"])
		require.Positive(t, result.Counts["late copies 503 Service Unavailable with a length"])
		t.Logf("seed %d: %v", seed, result.Counts)
	}
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ebonydyked")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/ebonydyked").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}
