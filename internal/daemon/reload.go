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

// reloadInterval is how often the settings file is compared with what was read: it
// may change without a signal. Reading a few kilobytes a second costs nothing.
const reloadInterval = time.Second

// reloader follows the settings file.
type reloader struct {
	path   string
	signal <-chan os.Signal
	// text is the file as last looked at; nothing at first, so that a change between
	// the process's own reading of it and the first look is seen.
	text []byte
	// unreadable is set while the file cannot be read, which is logged once.
	unreadable bool
	// started are the settings that the process started with, now those of the file.
	started, now *settings.Settings
	// apply takes settings that have changed and had no findings.
	apply func(*settings.Settings)
}

// newReloader returns a reloader of a file that was read as s. Without a path there
// is nothing to follow.
func newReloader(path string, signal <-chan os.Signal, s *settings.Settings, apply func(*settings.Settings)) *reloader {
	return &reloader{path: path, signal: signal, started: s, now: s, apply: apply}
}

// run follows the file until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signal:
			klog.InfoS("told to read the settings again")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reload reads the file if it has changed. One that cannot be read or has findings
// changes nothing: the instance goes on with what it has.
func (r *reloader) reload() {
	if r.path == "" {
		return
	}
	text, err := os.ReadFile(r.path)
	if err != nil {
		if !r.unreadable {
			klog.ErrorS(err, "settings not read again, the old ones stay", "file", r.path)
		}
		r.unreadable = true
		return
	}
	r.unreadable = false
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	s, err := settings.Parse(r.path, text)
	if err != nil {
		klog.ErrorS(err, "changed settings refused, the old ones stay", "file", r.path)
		return
	}
	r.take(s)
}

// take applies settings that differ from those in force.
func (r *reloader) take(s *settings.Settings) {
	if reflect.DeepEqual(r.now, s) {
		return
	}
	taken, waiting := r.changes(s)
	klog.InfoS("settings reloaded", "taken", taken, "needRestart", waiting)
	r.now = s
	r.apply(s)
}

// live are the settings that a running instance takes.
var live = map[string]bool{"bounds": true, "log_verbosity": true, "stop_grace": true}

// changes names the settings of s that differ: from those in force where they are
// taken now, and from those of the start where they wait for the next one.
func (r *reloader) changes(s *settings.Settings) (taken, waiting []string) {
	started, now, next := reflect.ValueOf(*r.started), reflect.ValueOf(*r.now), reflect.ValueOf(*s)
	differ := func(old reflect.Value, i int) bool {
		return !reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface())
	}
	for i := range next.NumField() {
		name, _, _ := strings.Cut(next.Type().Field(i).Tag.Get("json"), ",")
		switch {
		case live[name] && differ(now, i):
			taken = append(taken, name)
		case !live[name] && differ(started, i):
			waiting = append(waiting, name)
		}
	}
	return taken, waiting
}
