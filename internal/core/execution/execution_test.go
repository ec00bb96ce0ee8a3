package execution_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/execution"
)

// Guards against an answer that says "not run" while an attempt is in progress, or after one without proof.
func TestOnlyProofForEachAttemptMeansNotRun(t *testing.T) {
	var r execution.Record
	require.False(t, r.MayHaveRun(), "never sent")
	r.Sent()
	require.True(t, r.MayHaveRun(), "in progress")
	r.NotRun()
	require.False(t, r.MayHaveRun(), "proved")
	r.Sent()
	r.Sent()
	r.NotRun()
	require.True(t, r.MayHaveRun(), "one of two is in progress")
	r.Ended()
	require.True(t, r.MayHaveRun(), "it has ended without proof")
	require.Equal(t, 1, r.Runs())
	r.Sent()
	r.NotRun()
	require.True(t, r.MayHaveRun(), "a later refusal proves nothing for an earlier attempt")
}
