package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Backend servers are cold after a start, and after a fault that makes them cold. While they are cold they tolerate few requests in any
// one second, summed over all instances.
const (
	// coldDuration is how long a server is cold, and coldPerSecond the number of requests a second that it tolerates. The
	// usual traffic of a server exceeds coldBound.
	coldDuration  = 3 * time.Second
	coldPerSecond = 5
	// mixedColdDuration replaces coldDuration beside all other faults: they end many servers, and most requests would be refused if
	// each of their successors were cold for long.
	mixedColdDuration = time.Second
	// coldOverage and coldSlack give the number of requests from which a cold server ends.
	coldOverage, coldSlack = 1.5, 2
	coldBound              = coldPerSecond*coldOverage + coldSlack
	// maxHeartbeatDelay bounds the time until the entry of a server says that it is cold, and warmUpHeartbeat is the
	// interval of its entries while it is.
	maxHeartbeatDelay, warmUpHeartbeat = 2 * time.Second, time.Second
	// minDowntime and maxDowntime bound the time between the end of a server's process and the start of the next one at its address.
	// Instances notice the end only by requests that find no process there, so the time must be long enough for one.
	minDowntime, maxDowntime = time.Second, 2500 * time.Millisecond
	// rebindTime is how long a new process tries to take the address of the one before.
	rebindTime = time.Second
)

// warmUp returns the warm-up that the operators' configuration announces for the backend servers.
func (w *World) warmUp() fakeplatform.WarmUp {
	switch w.options.Faults {
	case FaultsPauses, FaultsEndless, FaultsRestarts, FaultsCopies:
		return fakeplatform.WarmUp{}
	case FaultsZones:
		return fakeplatform.WarmUp{Duration: coldDuration, PerSecond: coldPerSecond}
	default:
		return fakeplatform.WarmUp{Duration: mixedColdDuration, PerSecond: coldPerSecond}
	}
}

// coldState is the state of a server's warm-up.
type coldState struct {
	mu sync.Mutex
	// until is when the server is warm, as a time since the start of the soak.
	until time.Duration
	// arrivals are its requests of the last second in which it was cold.
	arrivals []coldArrival
}

// coldArrival is a request that has arrived at a cold server.
type coldArrival struct {
	id string
	at time.Duration
}

// coldExcess is a second in which a cold server got more requests than it tolerates.
type coldExcess struct {
	server   *backend
	arrivals []coldArrival
}

// turnCold makes the server cold for a time, unless that is 0.
func (b *backend) turnCold(lasts time.Duration) {
	if lasts == 0 {
		return
	}
	b.world.recorder.count("servers turned cold")
	b.cold.mu.Lock()
	defer b.cold.mu.Unlock()
	b.cold.until, b.cold.arrivals = b.world.recorder.elapsed()+lasts, nil
}

// warmUpLeft returns the time until the server is warm, 0 if it is.
func (b *backend) warmUpLeft() time.Duration {
	b.cold.mu.Lock()
	defer b.cold.mu.Unlock()
	return max(0, b.cold.until-b.world.recorder.elapsed())
}

// announce writes the server's entry after a delay, and again at intervals until it has said that the server is warm.
func (b *backend) announce(delay time.Duration) {
	if delay == 0 {
		b.register(false)
	}
	if delay == 0 && b.warmUpLeft() == 0 {
		return
	}
	b.world.replacing.start(func() {
		time.Sleep(delay)
		for b.heartbeat() {
			time.Sleep(warmUpHeartbeat)
		}
	})
}

// heartbeat writes the entry of a server that neither drains nor has ended, and reports whether another one is due.
func (b *backend) heartbeat() bool {
	b.entry.Lock()
	defer b.entry.Unlock()
	if b.draining || b.unregistered {
		return false
	}
	left := b.warmUpLeft()
	b.writeEntry(left)
	return left > 0
}

// countCold counts a request that arrives while the server is cold. If the server gets more than it tolerates, it ends.
func (b *backend) countCold(id string) {
	w, now := b.world, b.world.recorder.elapsed()
	b.cold.mu.Lock()
	defer b.cold.mu.Unlock()
	if now >= b.cold.until {
		return
	}
	w.recorder.count("requests at cold servers")
	b.cold.arrivals = slices.DeleteFunc(b.cold.arrivals, func(a coldArrival) bool { return a.at <= now-time.Second })
	b.cold.arrivals = append(b.cold.arrivals, coldArrival{id: id, at: now})
	w.zones.recordColdSecond(len(b.cold.arrivals))
	excess := coldExcess{server: b, arrivals: b.cold.arrivals}
	if !w.exceedsBound(excess) {
		return
	}
	b.cold.arrivals = nil
	w.zones.recordExcess(excess)
	if b.leavingAt.CompareAndSwap(0, -1) {
		w.replacing.start(func() { w.replaceEnded(b) })
	}
}

// exceedsBound reports whether requests that arrived within a second were sent at a rate above the bound: those that a pause
// of the server, or of the soak, has held back arrive together.
func (w *World) exceedsBound(e coldExcess) bool {
	last := e.arrivals[len(e.arrivals)-1].at
	from := w.earliestSend(e.server, last-time.Second)
	return float64(len(e.arrivals)) > coldBound*(last-from).Seconds()
}

// checkColdBound reports the seconds in which cold servers got more requests than they tolerate.
func (w *World) checkColdBound() {
	excesses, most := w.zones.coldSeconds()
	w.recorder.add("most requests of a second at a cold server", most)
	for _, e := range excesses {
		if !w.exceedsBound(e) {
			w.recorder.count("cold servers over the bound after a standstill")
			continue
		}
		var text strings.Builder
		for _, a := range e.arrivals {
			_, _ = fmt.Fprintf(&text, "; %.3f %s", a.at.Seconds(), a.id)
			if i := w.zones.senderOf(a.id); i != nil {
				_, _ = fmt.Fprintf(&text, " at %s", i.name)
			}
		}
		w.recorder.recordViolationAt(e.arrivals[len(e.arrivals)-1].at, "a cold server gets few requests", e.server.name,
			fmt.Sprintf("%s, %d within a second%s", e.server.zone, len(e.arrivals), text.String()))
	}
}

// restartOneCold ends a backend server and starts it again at its address.
func (w *World) restartOneCold(p faultParams) {
	if server := w.randomBackend(p); server != nil {
		w.restartCold(p.random, server)
	}
}

// restartZoneCold ends the backend servers of a zone and starts them again at their addresses.
func (w *World) restartZoneCold(p faultParams) {
	server := w.randomBackend(p)
	if server == nil {
		return
	}
	var restarted sync.WaitGroup
	defer restarted.Wait()
	for _, b := range w.serversIn(server.zone) {
		own := rand.New(rand.NewPCG(p.random.Uint64(), 0))
		restarted.Go(func() { w.restartCold(own, b) })
	}
}

// serversIn returns the backend servers of a zone that have not left.
func (w *World) serversIn(zone string) []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var servers []*backend
	for _, b := range w.backends {
		if b.zone == zone && b.leavingAt.Load() == 0 {
			servers = append(servers, b)
		}
	}
	return servers
}

// restartCold ends a backend server and starts its next process at the same address, which is cold. The entry in the store is
// that of the ended process until the new one's first heartbeat.
func (w *World) restartCold(random *rand.Rand, ended *backend) {
	downtime, delay := randomDuration(random, minDowntime, maxDowntime), randomDuration(random, 0, maxHeartbeatDelay)
	w.restarts.coldRestarts.RLock()
	defer w.restarts.coldRestarts.RUnlock()
	if !ended.leavingAt.CompareAndSwap(0, -1) {
		return
	}
	ended.close()
	time.Sleep(downtime)
	b, err := w.newBackend(ended.name, ended.zone, ended.version, ended.relay.Address())
	for end := time.Now().Add(rebindTime); err != nil && time.Now().Before(end); time.Sleep(rebindTime / 20) {
		b, err = w.newBackend(ended.name, ended.zone, ended.version, ended.relay.Address())
	}
	if err != nil {
		w.recorder.count("address taken after a restart")
		w.store.Unregister(ended.name)
		w.replaceBackend(ended, ended.version)
		return
	}
	b.turnCold(w.warmUp().Duration)
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	b.announce(max(delay, time.Millisecond))
}
