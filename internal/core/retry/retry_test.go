package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// A pool falls sick and every request fails. Without a budget each would be sent
// as often as it may, and the pool, sick from load, would get three times as much.
func TestBudgetBoundsTheStorm(t *testing.T) {
	tests := []struct {
		name                string
		successes, failures int
		retries             int
	}{
		{"all fail", 0, 1000, 10},
		{"nine of ten succeed", 9000, 1000, 910},
		{"half succeed", 1000, 1000, 110},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retry.NewBudget(0.1, 10)
			retries := 0
			for n := range tt.failures {
				for range tt.successes*(n+1)/tt.failures - tt.successes*n/tt.failures {
					b.Success()
				}
				if b.Take() {
					retries++
				}
			}
			require.InDelta(t, tt.retries, retries, 1)
		})
	}
}

func TestOutcomesThatMayHaveRun(t *testing.T) {
	for outcome, want := range map[retry.Outcome]bool{
		retry.NotSent:      false,
		retry.Refused:      false,
		retry.Unknown:      true,
		retry.Answered:     true,
		retry.Broken:       true,
		retry.Outcome("x"): true,
	} {
		require.Equal(t, want, outcome.MayHaveRun(), outcome)
	}
}
