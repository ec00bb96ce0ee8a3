package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/standin"
)

const (
	// probeInterval is the interval at which instances, in turn, are probed for the version
	// of their configuration.
	probeInterval = 50 * time.Millisecond
	// probeTimeout is the timeout that a probe sends: half of its route's timeout.
	probeTimeout = routeTimeout / 2
	// settleTime is the pause between the last fault and the final checks. applyBound is
	// how long a configuration may then take to be applied.
	settleTime = 5 * time.Second
	applyBound = 2 * time.Second
)

// Each version of the configuration has an API key of its own. The key that an instance
// accepts shows which version it applies.

// taken is the newest version whose key an instance's process accepted. starts identifies
// the process.
type taken struct{ starts, version int }

// probe checks that no process returns to an older configuration.
func (w *World) probe(ctx context.Context) {
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	accepted := make(map[*instance]taken)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(probeInterval)
		i := w.instances[n%len(w.instances)]
		w.mu.Lock()
		newest := w.keyed[len(w.keyed)-1]
		w.mu.Unlock()
		i.mu.Lock()
		starts := i.starts
		i.mu.Unlock()
		last := accepted[i]
		if last.starts != starts {
			last = taken{starts: starts}
		}
		if w.follows(ctx, client, i, newest, fmt.Sprint("p", n)) == http.StatusOK {
			last.version = max(last.version, newest)
		}
		w.probeOld(ctx, client, i, last, n)
		accepted[i] = last
	}
}

// probeOld checks that the process rejects the key of the version before the accepted one.
// It reports nothing if the process was replaced meanwhile: a new one may still have an
// older version.
func (w *World) probeOld(ctx context.Context, client *http.Client, i *instance, last taken, n int) {
	oldVersion := 0
	w.mu.Lock()
	for _, v := range w.keyed {
		if v < last.version {
			oldVersion = v
		}
	}
	w.mu.Unlock()
	if oldVersion == 0 || w.follows(ctx, client, i, oldVersion, fmt.Sprint("o", n)) != http.StatusOK {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.starts == last.starts {
		w.ledger.broken("a configuration never goes back", fmt.Sprint("o", n),
			fmt.Sprintf("%s took the key of version %d after %d", i.name, oldVersion, last.version))
	}
}

// follows sends a request with the key of a version to an instance and returns the status,
// or 0 if there was no response.
func (w *World) follows(ctx context.Context, client *http.Client, i *instance, version int, id string) int {
	req, err := standin.NewRequest(ctx, standin.Call{
		Address: i.listen, Host: host, Path: "/" + kindSafe + "/x", ID: id, Key: fmt.Sprint("key-", version), Wait: probeTimeout,
	})
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkAfterwards checks, without faults, that all instances have recovered: each applies a
// new configuration, and a backend server that is leaving receives no new work.
func (w *World) checkAfterwards(ctx context.Context) {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	pause(settleTime)
	w.mu.Lock()
	previous := w.keyed[len(w.keyed)-1]
	w.configure()
	current := w.keyed[len(w.keyed)-1]
	w.mu.Unlock()
	w.leaveInCalm()
	pause(applyBound)
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n, i := range w.instances {
		if got := w.follows(ctx, client, i, current, fmt.Sprint("n", n)); got == http.StatusUnauthorized || got == 0 {
			w.ledger.broken("a configuration is in force in time", i.name, fmt.Sprintf("status %d with the new key", got))
		}
		if got := w.follows(ctx, client, i, previous, fmt.Sprint("b", n)); got != http.StatusUnauthorized {
			w.ledger.broken("a key that was taken away is refused", i.name, fmt.Sprintf("status %d", got))
		}
	}
	pause(drainBound)
}

// leaveInCalm marks a backend server as leaving; checkArrival checks its requests.
func (w *World) leaveInCalm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		if b.leftAt.Load() == 0 {
			b.register(true)
			b.leftAt.Store(int64(w.ledger.elapsed()))
			return
		}
	}
}
