package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/settings"
)

const settingsText = `{
  "name": "entry-1",
  "zone": "recife-a",
  "listen": "0.0.0.0:7080",
  "peer_listen": "10.20.1.5:7081",
  "platform": "http://10.20.0.1:7000",
  "stop_grace": "8s",
}`

// testReloader is a reloader with the settings that it has applied.
type testReloader struct {
	*reloader
	t       *testing.T
	applied []*settings.Settings
}

func newTestReloader(t *testing.T) *testReloader {
	t.Helper()
	r := &testReloader{t: t}
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(settingsText), 0o600))
	s, err := settings.Read(path)
	require.NoError(t, err)
	r.reloader = newReloader(path, nil, s, func(s *settings.Settings) { r.applied = append(r.applied, s) })
	return r
}

// write replaces old by text in the original file and reloads it.
func (r *testReloader) write(old, text string) {
	r.t.Helper()
	changed := strings.Replace(settingsText, old, text, 1)
	require.NoError(r.t, os.WriteFile(r.path, []byte(changed), 0o600))
	r.reload()
}

// The platform rewrites the settings file of a running instance, with or without a signal. Settings
// that can change without a restart must be applied. A file that cannot be read or has findings
// must change nothing, and the next valid file must be applied.
func TestReloadAppliesChangedSettings(t *testing.T) {
	r := newTestReloader(t)
	r.reload()
	require.Empty(t, r.applied, "nothing has changed")

	r.write(`"8s"`, `"20s"`)
	require.Len(t, r.applied, 1)
	require.Equal(t, config.Duration(20*time.Second), r.applied[0].StopGrace)

	r.write(`"8s"`, `"a while"`)
	r.write("{", "")
	require.NoError(t, os.Remove(r.path))
	r.reload()
	require.Len(t, r.applied, 1)

	r.write(`"8s"`, `"9s"`)
	require.Len(t, r.applied, 2)
	require.Equal(t, config.Duration(9*time.Second), r.applied[1].StopGrace)
}

// The settings file is rewritten after the process has read it at its start and before the first
// check for changes. That change was never applied: the first check compared the file with the
// changed content and not with the content read at the start.
func TestReloadAppliesChangeMadeDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(settingsText), 0o600))
	s, err := settings.Read(path)
	require.NoError(t, err)
	changed := strings.Replace(settingsText, `"8s"`, `"20s"`, 1)
	require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
	var applied []*settings.Settings
	r := newReloader(path, nil, s, func(s *settings.Settings) { applied = append(applied, s) })

	r.reload()

	require.Len(t, applied, 1)
	require.Equal(t, config.Duration(20*time.Second), applied[0].StopGrace)
}

// An address, which can change only with a restart, is changed and changed back. The log then
// reported that a restart was needed, although the process ran with the settings of the file.
func TestRevertedChangeNeedsNoRestart(t *testing.T) {
	r := newTestReloader(t)
	started := r.started
	r.write("7080", "7085")
	applied, pending := r.changes(r.current)
	require.Empty(t, applied)
	require.Equal(t, []string{"listen"}, pending)

	r.write("7080", "7080")
	_, pending = r.changes(r.current)
	require.Empty(t, pending)
	require.Same(t, started, r.started)
}

// Guards against a core that takes requests by another grace time than the one after which the process ends.
func TestCoreLearnsReloadedGrace(t *testing.T) {
	r := newTestReloader(t)
	var grace atomic.Int64
	var posted []core.Event
	r.onChange = func(s *settings.Settings) {
		applyReloaded(s, &grace, &storeCalls{}, func(e core.Event) { posted = append(posted, e) })
	}
	r.write(`"8s"`, `"20s"`)
	require.Equal(t, int64(20*time.Second), grace.Load())
	require.Equal(t, []core.Event{core.StopGraceSet{Grace: 20 * time.Second}}, posted)
}
