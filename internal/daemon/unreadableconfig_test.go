package daemon

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/configcopy"
	"github.com/ebonydyke/ebonydyke/internal/settings"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Guards against a configuration that cannot be read and passes for a store that fails, so that instances ask it again and again
// and hold what they know for outdated.
func TestUnreadableConfigurationIsAnAnswer(t *testing.T) {
	store := fakeplatform.New()
	server := httptest.NewServer(store)
	defer server.Close()
	events := make(chan core.Event, 1)
	s := settings.Default()
	s.Platform, s.Dialect = server.URL, settings.DialectPlatform
	calls := newStoreCalls(t.Context(), func(e core.Event) { events <- e }, &s)
	read := func(e core.StoreGet) core.StoreReplied {
		calls.get(e)
		return (<-events).(core.StoreReplied)
	}

	store.Put("op/config", []byte(`{"version":7,`))
	reply := read(core.StoreGet{Op: 1, Key: core.ConfigKey})
	require.Equal(t, core.StoreOK, reply.Status)
	require.NotEmpty(t, reply.Problem)
	require.Nil(t, reply.Config)
	require.NotZero(t, reply.Version)

	store.Put("op/config", []byte(`{"version":8}`))
	calls.watchOperatorKeys(core.StoreWatch{Op: 2, Key: core.ConfigKey, After: reply.Evacuations.Revision, Hold: time.Second, Timeout: 2 * time.Second})
	reply = (<-events).(core.StoreReplied)
	require.Empty(t, reply.Problem)
	require.EqualValues(t, 8, reply.Config.Envelope.Generation)

	require.Equal(t, core.StoreAbsent, read(core.StoreGet{Op: 3, Key: core.ConfigCopyKey}).Status)
	value, err := configcopy.Encode(reply.Config.Envelope)
	require.NoError(t, err)
	store.Put(core.ConfigCopyKey, value)
	kept := read(core.StoreGet{Op: 4, Key: core.ConfigCopyKey})
	require.Equal(t, reply.Config.Envelope, kept.Config.Envelope)
	require.NotNil(t, kept.Config.Text, "in the operators' format")
	store.Put(core.ConfigCopyKey, []byte("no copy"))
	require.NotEmpty(t, read(core.StoreGet{Op: 5, Key: core.ConfigCopyKey}).Problem)
	require.Equal(t, config.Envelope{Generation: 8, Edit: "operators-0000", Text: `{"version":8}`}, reply.Config.Envelope)
}
