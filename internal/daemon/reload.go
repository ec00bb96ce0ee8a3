package daemon

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes, because it may
// change without a signal. Reading a few kilobytes per second costs practically nothing.
const reloadInterval = time.Second

// reloader watches the settings file and applies changes to it.
type reloader struct {
	path   string
	signal <-chan os.Signal
	// content holds the file as of the last check. It is empty before the first check, so
	// that a change between the start of the process and the first check is detected.
	content []byte
	// unreadable is set while the file cannot be read, so that the error is logged only once.
	unreadable bool
	// started holds the settings at the start of the process, now those of the last valid file.
	started, current *settings.Settings
	// onChange is called with changed settings that have no findings.
	onChange func(*settings.Settings)
}

// newReloader returns a reloader of the file at path, whose settings at the start are s. An empty
// path disables reloading.
func newReloader(path string, signal <-chan os.Signal, s *settings.Settings, onChange func(*settings.Settings)) *reloader {
	return &reloader{path: path, signal: signal, started: s, current: s, onChange: onChange}
}

// run checks the file at each signal and at each reloadInterval until ctx is done.
func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signal:
			klog.InfoS("settings reload requested")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reload applies the file if it has changed. If the file cannot be read or has findings, the
// current settings stay in use.
func (r *reloader) reload() {
	if r.path == "" {
		return
	}
	content, err := os.ReadFile(r.path)
	if err != nil {
		if !r.unreadable {
			klog.ErrorS(err, "failed to read the settings file; keeping the current settings", "file", r.path)
		}
		r.unreadable = true
		return
	}
	r.unreadable = false
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	s, err := settings.Parse(r.path, content)
	if err != nil {
		klog.ErrorS(err, "changed settings are invalid; keeping the current settings", "file", r.path)
		return
	}
	r.applyChanges(s)
}

// applyChanges applies settings that differ from the current ones.
func (r *reloader) applyChanges(s *settings.Settings) {
	if reflect.DeepEqual(r.current, s) {
		return
	}
	applied, pending := r.changes(s)
	klog.InfoS("settings reloaded", "applied", applied, "needRestart", pending)
	r.current = s
	r.onChange(s)
}

// reloadable lists the settings that can change without a restart.
var reloadable = map[string]bool{"bounds": true, "log_verbosity": true, "stop_grace": true}

// changes returns the names of the changed settings in s. Those that take effect now are compared
// with the current settings, and those that need a restart with the settings at the start.
func (r *reloader) changes(s *settings.Settings) (applied, pending []string) {
	started, current, next := reflect.ValueOf(*r.started), reflect.ValueOf(*r.current), reflect.ValueOf(*s)
	differ := func(old reflect.Value, i int) bool {
		return !reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface())
	}
	for i := range next.NumField() {
		name, _, _ := strings.Cut(next.Type().Field(i).Tag.Get("json"), ",")
		switch {
		case reloadable[name] && differ(current, i):
			applied = append(applied, name)
		case !reloadable[name] && differ(started, i):
			pending = append(pending, name)
		}
	}
	return applied, pending
}
