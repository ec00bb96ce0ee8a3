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
	text   []byte
	now    *settings.Settings
	// apply takes settings that have changed and had no findings.
	apply func(*settings.Settings)
}

// newReloader returns a reloader of a file that was read as s. Without a path there
// is nothing to follow.
func newReloader(path string, signal <-chan os.Signal, s *settings.Settings, apply func(*settings.Settings)) *reloader {
	r := &reloader{path: path, signal: signal, now: s, apply: apply}
	r.text, _ = r.read()
	return r
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

func (r *reloader) read() ([]byte, error) {
	if r.path == "" {
		return nil, nil
	}
	return os.ReadFile(r.path)
}

// reload reads the file if it has changed. One that cannot be read or has findings
// changes nothing: the instance goes on with what it has.
func (r *reloader) reload() {
	text, err := r.read()
	if err != nil {
		klog.V(1).InfoS("settings not read again", "file", r.path, "error", err)
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	s, err := settings.Parse(r.path, text)
	if err != nil {
		klog.ErrorS(err, "changed settings refused, the old ones stay", "file", r.path)
		return
	}
	taken, waiting := changes(r.now, s)
	klog.InfoS("settings reloaded", "taken", taken, "needRestart", waiting)
	r.now = s
	r.apply(s)
}

// live are the settings that a running instance takes.
var live = map[string]bool{"bounds": true, "log_verbosity": true, "stop_grace": true}

// changes names the settings that differ: those that are taken now, and those that
// wait for the next start.
func changes(old, s *settings.Settings) (taken, waiting []string) {
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*s)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		if live[name] {
			taken = append(taken, name)
		} else {
			waiting = append(waiting, name)
		}
	}
	return taken, waiting
}
