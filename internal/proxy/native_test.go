package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Checks the status code of each refusal in the fleet's own interface. The core defines
// only outcomes and reasons.
func TestNativeStatus(t *testing.T) {
	for _, tt := range []struct {
		outcome reason.Outcome
		why     reason.Reason
		status  int
	}{
		{reason.NotRun, reason.CustomerLimit, http.StatusTooManyRequests},
		{reason.NotRun, reason.CustomerShare, http.StatusTooManyRequests},
		{reason.NotRun, reason.Saturated, http.StatusServiceUnavailable},
		{reason.NotRun, reason.NoBackend, http.StatusServiceUnavailable},
		{reason.NotRun, reason.NoConfiguration, http.StatusServiceUnavailable},
		{reason.NotRun, reason.DependencyUnavailable, http.StatusServiceUnavailable},
		{reason.NotRun, reason.ClaimUnavailable, http.StatusServiceUnavailable},
		{reason.NotRun, reason.ClaimsFull, http.StatusServiceUnavailable},
		{reason.NotRun, reason.UnknownService, http.StatusNotFound},
		{reason.NotRun, reason.UnknownCustomer, http.StatusForbidden},
		{reason.NotRun, reason.HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge},
		{reason.NotRun, reason.TooLarge, http.StatusRequestEntityTooLarge},
		{reason.NotRun, reason.DeadlineExceeded, http.StatusGatewayTimeout},
		{reason.Unknown, reason.DeadlineExceeded, http.StatusGatewayTimeout},
		{reason.Unknown, reason.BackendLost, http.StatusBadGateway},
		{reason.Unknown, reason.AttemptsExhausted, http.StatusBadGateway},
		{reason.NotRun, reason.BackendRefused, http.StatusServiceUnavailable},
		{reason.Duplicate, reason.ClaimDuplicate, http.StatusConflict},
	} {
		require.Equal(t, tt.status, nativeStatus(&core.Finish{Outcome: tt.outcome, Reason: tt.why}), "%s %s", tt.outcome, tt.why)
	}
}
