package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/soak"
)

// seeds are those that are played each time: one short soak, and each seed that ever
// failed, with a line on the cause.
var seeds = []uint64{
	1,
}

// A fleet of real processes is killed, stopped, paused and cut off from its store and
// its backend servers, and its configuration changes all the while. No caller gets a
// wrong or doubled answer, or a refusal that is not true, and in the calm after it all
// instances are in step.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ebonydyked")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/ebonydyked").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, seed := range seeds {
		result, err := soak.Run(t.Context(), soak.Options{
			Binary: binary, Seed: seed, Instances: 4, Backends: 6, Callers: 8, Duration: 6 * time.Second, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Counts["answered"])
		t.Logf("seed %d: %v", seed, result.Counts)
	}
}
