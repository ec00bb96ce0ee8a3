package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/standin"
)

const (
	// probeInterval is how often some instance is asked which configuration it follows.
	probeInterval = 50 * time.Millisecond
	// probeTimeout is how long a probe says that it waits: half of its route's time.
	probeTimeout = routeTimeout / 2
	// settleTime is how long the world is left alone before it is checked in calm, and
	// applyBound how long a configuration may then take to be in force.
	settleTime = 5 * time.Second
	applyBound = 2 * time.Second
)

// Each version of the configuration holds a key of its own. Which of them an instance
// takes shows which version it follows.

// taken is what a process was seen to take last.
type taken struct{ starts, version int }

// probe checks that no process goes back to an older configuration.
func (w *World) probe(ctx context.Context) {
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	seen := make(map[*instance]taken)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(probeInterval)
		i := w.instances[n%len(w.instances)]
		w.mu.Lock()
		newest := w.keyed[len(w.keyed)-1]
		w.mu.Unlock()
		i.mu.Lock()
		starts := i.starts
		i.mu.Unlock()
		last := seen[i]
		if last.starts != starts {
			last = taken{starts: starts}
		}
		if w.follows(ctx, client, i, newest, fmt.Sprint("p", n)) == http.StatusOK {
			last.version = max(last.version, newest)
		}
		w.probeOld(ctx, client, i, last, n)
		seen[i] = last
	}
}

// probeOld asks with the key of a version before the one that was taken. A process
// that was replaced meanwhile may follow an older one.
func (w *World) probeOld(ctx context.Context, client *http.Client, i *instance, last taken, n int) {
	old := 0
	w.mu.Lock()
	for _, v := range w.keyed {
		if v < last.version {
			old = v
		}
	}
	w.mu.Unlock()
	if old == 0 || w.follows(ctx, client, i, old, fmt.Sprint("o", n)) != http.StatusOK {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.starts == last.starts {
		w.ledger.broken("a configuration never goes back", fmt.Sprint("o", n),
			fmt.Sprintf("%s took the key of version %d after %d", i.name, old, last.version))
	}
}

// follows asks an instance with the key of one version and returns the status, 0 if
// there was no answer.
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

// checkAfterwards checks in calm that all instances are back and in step, whatever
// came before: a new configuration is in force everywhere, and a leaver gets no work.
func (w *World) checkAfterwards(ctx context.Context) {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	pause(settleTime)
	w.mu.Lock()
	before := w.keyed[len(w.keyed)-1]
	w.configure()
	now := w.keyed[len(w.keyed)-1]
	w.mu.Unlock()
	w.leaveInCalm()
	pause(applyBound)
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n, i := range w.instances {
		if got := w.follows(ctx, client, i, now, fmt.Sprint("n", n)); got == http.StatusUnauthorized || got == 0 {
			w.ledger.broken("a configuration is in force in time", i.name, fmt.Sprintf("status %d with the new key", got))
		}
		if got := w.follows(ctx, client, i, before, fmt.Sprint("b", n)); got != http.StatusUnauthorized {
			w.ledger.broken("a key that was taken away is refused", i.name, fmt.Sprintf("status %d", got))
		}
	}
	pause(drainBound)
}

// leaveInCalm lets a backend server leave, whose requests are checked on arrival.
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
