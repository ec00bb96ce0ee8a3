package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// probeInterval is the interval at which instances, in turn, are probed for the version
	// of their configuration.
	probeInterval = 50 * time.Millisecond
	// probeTimeout is the timeout that a probe sends: half of its route's timeout.
	probeTimeout = routeTimeout / 2
	// settleTime is the pause between the last fault and the final checks. maxApplyTime is
	// how long a configuration may then take to be applied.
	settleTime   = 5 * time.Second
	maxApplyTime = 2 * time.Second
	// maxLateness is how long the key of a late configuration is tried, for the report.
	maxLateness = 5 * time.Second
)

// Each version of the configuration has an API key of its own. The key that an instance
// accepts shows which version it applies.

// acceptedVersion is the newest version whose key an instance's process accepted. starts
// identifies the process.
type acceptedVersion struct{ starts, version int }

// probeVersions checks that no process returns to an older configuration.
func (w *World) probeVersions(ctx context.Context) {
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	accepted := make(map[*instance]acceptedVersion)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(probeInterval)
		i := w.instances[n%len(w.instances)]
		w.mu.Lock()
		newest := w.writtenVersions[len(w.writtenVersions)-1]
		w.mu.Unlock()
		i.mu.Lock()
		starts := i.starts
		i.mu.Unlock()
		last := accepted[i]
		if last.starts != starts {
			last = acceptedVersion{starts: starts}
		}
		if w.requestWithKey(ctx, client, i, newest, fmt.Sprint("p", n)) == http.StatusOK {
			last.version = max(last.version, newest)
		}
		w.probeOldKey(ctx, client, i, last, n)
		accepted[i] = last
	}
}

// probeOldKey checks that the process rejects the key of the version before the accepted one.
// It reports nothing if the process was replaced meanwhile: a new one may still have an
// older version.
func (w *World) probeOldKey(ctx context.Context, client *http.Client, i *instance, last acceptedVersion, n int) {
	oldVersion := 0
	w.mu.Lock()
	for _, v := range w.writtenVersions {
		if v < last.version {
			oldVersion = v
		}
	}
	w.mu.Unlock()
	if oldVersion == 0 || w.requestWithKey(ctx, client, i, oldVersion, fmt.Sprint("o", n)) != http.StatusOK {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.starts == last.starts {
		w.recorder.recordViolation("a configuration never goes back", fmt.Sprint("o", n),
			fmt.Sprintf("%s took the key of version %d after %d", i.name, oldVersion, last.version))
	}
}

// requestWithKey sends a request with the key of a version to an instance and returns the
// status, or 0 if there was no response.
func (w *World) requestWithKey(ctx context.Context, client *http.Client, i *instance, version int, id string) int {
	req, err := fakeplatform.NewRequest(ctx, fakeplatform.Call{
		Address: i.listen, Host: routeHost, Path: "/" + kindSafe + "/x", ID: id, Key: fmt.Sprint("key-", version), Timeout: probeTimeout,
	})
	if err != nil {
		return 0
	}
	w.zones.recordSender(id, i)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkRecovery checks, without faults, that all instances have recovered: each applies a
// new configuration, and a backend server that is leaving receives no new work.
func (w *World) checkRecovery(ctx context.Context) {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	pause(settleTime)
	w.mu.Lock()
	previous := w.writtenVersions[len(w.writtenVersions)-1]
	w.writeNextConfig()
	current := w.writtenVersions[len(w.writtenVersions)-1]
	w.mu.Unlock()
	w.markBackendLeaving()
	pause(maxApplyTime)
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var late []lateInstance
	for n, i := range w.instances {
		sentAt := w.recorder.elapsed()
		if got := w.requestWithKey(ctx, client, i, current, fmt.Sprint("n", n)); got == http.StatusUnauthorized || got == 0 {
			late = append(late, lateInstance{instance: i, status: got, sentAt: sentAt, answeredAt: w.recorder.elapsed()})
		}
		if got := w.requestWithKey(ctx, client, i, previous, fmt.Sprint("b", n)); got != http.StatusUnauthorized {
			w.recorder.recordViolation("a key that was taken away is refused", i.name, fmt.Sprintf("status %d", got))
		}
	}
	for _, l := range late {
		w.recordLate(ctx, client, l, current)
	}
	pause(newWorkGrace)
}

// lateInstance is an instance that did not accept the key of a version in time, and its answer.
type lateInstance struct {
	instance           *instance
	status             int
	sentAt, answeredAt time.Duration
}

// recordLate records that a version was not in force in time, with what tells a lost change from a process that stood
// still: how long the answer took, and how much later the key is accepted.
func (w *World) recordLate(ctx context.Context, client *http.Client, l lateInstance, version int) {
	accepted := fmt.Sprintf("nor %v later", maxLateness)
	for n := 0; ctx.Err() == nil && w.recorder.elapsed() < l.answeredAt+maxLateness; n++ {
		got := w.requestWithKey(ctx, client, l.instance, version, fmt.Sprint("l", n))
		if got != http.StatusUnauthorized && got != 0 {
			accepted = fmt.Sprintf("accepted within %v after it", w.recorder.elapsed()-l.answeredAt)
			break
		}
		time.Sleep(probeInterval)
	}
	w.recorder.recordViolationAt(l.answeredAt, "a configuration is in force in time", l.instance.name,
		fmt.Sprintf("status %d with the new key after %v, %s%s", l.status, l.answeredAt-l.sentAt, accepted, l.instance.describeEnd()))
}

// markBackendLeaving marks a backend server as leaving; checkArrival checks its requests.
func (w *World) markBackendLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		if b.leavingAt.Load() == 0 {
			b.register(true)
			b.leavingAt.Store(int64(w.recorder.elapsed()))
			return
		}
	}
}
