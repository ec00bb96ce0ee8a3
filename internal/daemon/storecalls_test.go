package daemon

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/settings"
)

// The store loses its history and drops all pending watches without closing their connections, and
// at the same time the operators write a configuration. All instances that watch the store waited
// for the timeouts of their watches and meanwhile refused API keys of the new configuration, for
// longer than the operators allow after such an outage.
func TestLostWatchTimesOutBeforeSettleTime(t *testing.T) {
	held := make(chan time.Duration, 2)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ms, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
		if err != nil {
			t.Error(err)
		}
		held <- time.Duration(ms) * time.Millisecond
		<-release
	}))
	defer server.Close()
	defer close(release)
	const settle = 1600 * time.Millisecond
	events := make(chan core.Event, 2)
	s := settings.Default()
	s.Platform, s.PlatformSettle = server.URL, config.Duration(settle)
	calls := newStoreCalls(t.Context(), func(e core.Event) { events <- e }, &s)
	started := time.Now()
	go calls.watch(core.StoreWatch{Op: 1, Key: core.ConfigKey, Version: 3})
	go calls.watchBackends(core.WatchBackends{Op: 2, After: 3})
	for range 2 {
		require.Greater(t, <-held, 500*time.Millisecond, "a watch must not become a poll")
		switch e := (<-events).(type) {
		case core.StoreReplied:
			require.Equal(t, core.StoreUnknown, e.Status)
		case core.BackendsRead:
			require.Equal(t, core.StoreUnknown, e.Status)
		}
	}
	require.Less(t, time.Since(started), settle-300*time.Millisecond, "time must remain for a read")
}
