package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxRejections is the number of requests that a brittle backend server can reject within a second.
	maxRejections = 3
	// brittleSettle is the time after the first announcement from which brittle servers queue nothing
	// and fail if they must reject too many requests.
	brittleSettle = 3 * time.Second
	// brittleDuration is the time for which they are brittle then.
	brittleDuration = 3 * time.Second
	// pauseInterval is the interval at which a pausing backend server checks whether it may go on.
	pauseInterval = 10 * time.Millisecond
	// maxPause bounds the silence of a healthy backend server.
	maxPause = 1200 * time.Millisecond
)

// makeBrittle makes all backend servers brittle for a time and checks how many fail. Faults that take
// servers away or end their callers' instances overlap with it.
func (w *World) makeBrittle(faultParams) {
	now := w.recorder.elapsed()
	if !w.brittleSince.CompareAndSwap(0, int64(now)) {
		return
	}
	w.brittleFailures.Store(0)
	time.Sleep(brittleSettle + brittleDuration)
	w.brittleSince.Store(0)
	if failures := int(w.brittleFailures.Load()); failures > 2+w.options.Backends/10 {
		w.recorder.recordViolation("brittle servers seldom fail", "all", fmt.Sprintf("%d of %d failed", failures, w.options.Backends))
	}
}

// rejectionLimit returns the limit that backend servers announce, 0 if none, and whether they fail if they
// exceed it.
func (w *World) rejectionLimit() (limit int, strict bool) {
	since := time.Duration(w.brittleSince.Load())
	if since == 0 {
		return 0, false
	}
	return maxRejections, w.recorder.elapsed()-since >= brittleSettle
}

// room returns the number of requests that a backend server runs and queues.
func (b *backend) room() int {
	if _, strict := b.world.rejectionLimit(); strict {
		return backendSlots
	}
	return 2 * backendSlots
}

// recordRejection records that the backend server rejected a request. A brittle one that must do so too
// often fails.
func (b *backend) recordRejection() {
	b.mu.Lock()
	now := time.Now()
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) > time.Second })
	b.rejections = append(b.rejections, now)
	exceeded := len(b.rejections) > maxRejections
	b.mu.Unlock()
	if _, strict := b.world.rejectionLimit(); strict && exceeded && b.leavingAt.CompareAndSwap(0, -1) {
		b.world.brittleFailures.Add(1)
		b.world.replacing.Go(func() { b.world.replaceEnded(b) })
	}
}

// waitWhilePausing blocks while the backend server is silent.
func (b *backend) waitWhilePausing() {
	for backendFault(b.fault.Load()) == pausing {
		time.Sleep(pauseInterval)
	}
}
