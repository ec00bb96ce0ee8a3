package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

type fakeInstance struct {
	ready   bool
	stuck   bool
	drained chan struct{}
}

func (f *fakeInstance) waitIfStuck(ctx context.Context) error {
	if !f.stuck {
		return nil
	}
	<-ctx.Done()
	return errors.New("the core does not answer")
}

func (f *fakeInstance) Status(ctx context.Context) (status.Status, error) {
	return status.Status{Instance: "entry-1", Generation: 7}, f.waitIfStuck(ctx)
}

func (f *fakeInstance) Explain(ctx context.Context, q core.ExplainQuery) (core.Explanation, error) {
	return core.Explanation{ExplainQuery: q, Chosen: "engine-a"}, f.waitIfStuck(ctx)
}

func (f *fakeInstance) Ready(ctx context.Context) (bool, error) { return f.ready, f.waitIfStuck(ctx) }

func (f *fakeInstance) Drain() { close(f.drained) }

func serve(t *testing.T, f *fakeInstance, m *metrics.Metrics) func(method, path string) (int, string) {
	server := httptest.NewServer(admin.NewServer(f, m.Gatherer()).Handler)
	t.Cleanup(server.Close)
	return func(method, path string) (int, string) {
		req, err := http.NewRequest(method, server.URL+path, nil)
		require.NoError(t, err)
		resp, err := server.Client().Do(req)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(body)
	}
}

func TestAdminEndpoints(t *testing.T) {
	f := &fakeInstance{drained: make(chan struct{})}
	m := metrics.New()
	m.Refused(reason.Saturated)
	m.Answered("llm", time.Millisecond, time.Second)
	m.RegisterInFlight(func() float64 { return 3 })
	m.RegisterControl(func() metrics.ControlStats {
		return metrics.ControlStats{
			Traffic: []metrics.Traffic{{Kind: "digest", Direction: metrics.Sent, Messages: 2, Bytes: 90}},
			Dropped: map[string]uint64{"digest": 1},
		}
	})
	call := serve(t, f, m)

	code, _ := call(http.MethodGet, admin.PathHealth)
	require.Equal(t, http.StatusOK, code, "healthy although not ready")
	code, _ = call(http.MethodGet, admin.PathReady)
	require.Equal(t, http.StatusServiceUnavailable, code)
	f.ready = true
	code, _ = call(http.MethodGet, admin.PathReady)
	require.Equal(t, http.StatusOK, code)

	_, body := call(http.MethodGet, admin.PathStatus)
	var s status.Status
	require.NoError(t, json.Unmarshal([]byte(body), &s))
	require.Equal(t, uint64(7), s.Generation)
	_, body = call(http.MethodGet, admin.PathExplain+"?service=llm&customer=c&chat=d")
	require.Contains(t, body, `"customer":"c","chat":"d"`)
	code, _ = call(http.MethodGet, admin.PathExplain)
	require.Equal(t, http.StatusBadRequest, code)

	_, body = call(http.MethodGet, admin.PathMetrics)
	for _, line := range []string{
		`ebonydyke_refusals_total{reason="saturated"} 1`,
		`ebonydyke_refusals_total{reason="customer-share"} 0`,
		`ebonydyke_first_byte_seconds_count{service="llm"} 1`,
		`ebonydyke_requests_in_flight 3`,
		`ebonydyke_control_bytes_total{direction="sent",kind="digest"} 90`,
		`ebonydyke_control_dropped_total{kind="digest"} 1`,
	} {
		require.Contains(t, body, line+"\n")
	}

	code, _ = call(http.MethodGet, admin.PathDrain)
	require.Equal(t, http.StatusMethodNotAllowed, code, "a GET request must not drain an instance")
	code, _ = call(http.MethodPost, admin.PathDrain)
	require.Equal(t, http.StatusAccepted, code)
	<-f.drained
}

// TestCrossSiteRequestCannotDrain guards against cross-site requests: a third-party page in an
// operator's browser posts a drain request to the instance on the same machine.
func TestCrossSiteRequestCannotDrain(t *testing.T) {
	f := &fakeInstance{drained: make(chan struct{})}
	req := httptest.NewRequest(http.MethodPost, admin.PathDrain, nil)
	req.Header.Set("Sec-Fetch-Site", "cross-site")
	recorder := httptest.NewRecorder()
	admin.NewServer(f, metrics.New().Gatherer()).Handler.ServeHTTP(recorder, req)
	require.Equal(t, http.StatusForbidden, recorder.Code)
	select {
	case <-f.drained:
		t.Fatal("drained")
	default:
	}
}

// TestUnresponsiveCoreFailsHealthChecks guards against health checks that hang when the core no
// longer responds. The load balancer would keep sending requests to the instance, and each
// would hang. Health and readiness checks must fail within their timeout, and metrics must
// still be served.
func TestUnresponsiveCoreFailsHealthChecks(t *testing.T) {
	call := serve(t, &fakeInstance{ready: true, stuck: true}, metrics.New())
	for _, path := range []string{admin.PathHealth, admin.PathReady, admin.PathStatus} {
		code, body := call(http.MethodGet, path)
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Contains(t, body, "does not answer")
	}
	code, _ := call(http.MethodGet, admin.PathMetrics)
	require.Equal(t, http.StatusOK, code)
}
