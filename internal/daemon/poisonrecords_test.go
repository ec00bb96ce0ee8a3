package daemon

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/settings"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Guards against poison records that instances which share only the store do not receive with the
// backend servers' entries, or that overwrite each other there.
func TestPoisonRecordsReachOtherInstancesThroughStore(t *testing.T) {
	platform := fakeplatform.New()
	server := httptest.NewServer(platform)
	defer server.Close()
	events := make(chan core.Event, 8)
	start := func(name string) *storeCalls {
		s := settings.Default()
		s.Name, s.Platform = name, server.URL
		return newStoreCalls(t.Context(), func(e core.Event) { events <- e }, &s)
	}
	first, second := start("entry-1"), start("entry-2")
	record := func(servers ...string) poison.Record {
		r := poison.Record{Key: 7}
		for _, name := range servers {
			r.Ends = append(r.Ends, poison.End{Server: poison.Server{Name: name, Incarnation: 1}})
		}
		return r
	}
	const timeout = 5 * time.Second

	platform.Register(fakeplatform.Backend{Name: "engine-1", Service: "engines", Zone: "z", Address: "10.0.0.1:80", Slots: 4})
	first.storePoison(core.StorePoison{Op: 1, TTL: time.Minute, Records: []poison.Record{record("engine-8")}})
	written := (<-events).(core.LeaseReplied)
	require.Equal(t, core.StoreOK, written.Status)
	require.NotZero(t, written.Lease)

	second.listBackends(core.ListBackends{Op: 2, Timeout: timeout})
	listed := (<-events).(core.BackendsRead)
	require.Equal(t, core.StoreOK, listed.Status)
	require.Len(t, listed.Entries, 1)
	require.Equal(t, []poison.Record{record("engine-8")}, listed.Poison)

	second.storePoison(core.StorePoison{Op: 3, TTL: time.Minute, Records: []poison.Record{record("engine-9")}})
	require.Equal(t, core.StoreOK, (<-events).(core.LeaseReplied).Status)
	first.watchBackends(core.WatchBackends{Op: 4, After: listed.Revision, Hold: time.Second, Timeout: timeout})
	watched := (<-events).(core.BackendsRead)
	require.Equal(t, core.StoreOK, watched.Status)
	require.Equal(t, []poison.Record{record("engine-9")}, watched.Poison)

	first.storePoison(core.StorePoison{Op: 5, Lease: written.Lease, TTL: time.Minute, Records: []poison.Record{record("engine-8", "engine-9")}})
	require.Equal(t, written.Lease, (<-events).(core.LeaseReplied).Lease)
	first.listBackends(core.ListBackends{Op: 6, Timeout: timeout})
	listed = (<-events).(core.BackendsRead)
	require.Equal(t, []poison.Record{record("engine-8", "engine-9"), record("engine-9")}, listed.Poison)
}
