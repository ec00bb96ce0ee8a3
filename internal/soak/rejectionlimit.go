package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxRejections is the number of requests that a limited backend server can reject within a second.
	maxRejections = 3
	// limitSettle is the time after the first announcement from which limited servers queue nothing
	// and fail if they must reject too many requests.
	limitSettle = 3 * time.Second
	// limitDuration is the time for which they are limited then.
	limitDuration = 3 * time.Second
	// maxPause bounds the silence of a healthy backend server.
	maxPause = 1200 * time.Millisecond
)

// limitRejections limits the rejections of all backend servers for a time and checks how many fail. Faults that take
// servers away or end their callers' instances overlap with it.
func (w *World) limitRejections(faultParams) {
	now := w.recorder.elapsed()
	if !w.limitedSince.CompareAndSwap(0, int64(now)) {
		return
	}
	w.limitFailures.Store(0)
	time.Sleep(limitSettle + limitDuration)
	w.limitedSince.Store(0)
	if failures := int(w.limitFailures.Load()); failures > 2+w.options.Backends/10 {
		w.recorder.recordViolation("servers that limit rejections seldom fail", "all", fmt.Sprintf("%d of %d failed", failures, w.options.Backends))
	}
}

// rejectionLimit returns the limit that backend servers announce, 0 if none, and whether they fail if they
// exceed it.
func (w *World) rejectionLimit() (limit int, strict bool) {
	since := time.Duration(w.limitedSince.Load())
	if since == 0 {
		return 0, false
	}
	return maxRejections, w.recorder.elapsed()-since >= limitSettle
}

// room returns the number of requests that a backend server runs and queues.
func (b *backend) room() int {
	if _, strict := b.world.rejectionLimit(); strict {
		return backendSlots
	}
	return 2 * backendSlots
}

// recordRejection records that the backend server rejected a request. A limited one that must do so too
// often fails.
func (b *backend) recordRejection() {
	b.mu.Lock()
	now := time.Now()
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) > time.Second })
	b.rejections = append(b.rejections, now)
	exceeded := len(b.rejections) > maxRejections
	b.mu.Unlock()
	if _, strict := b.world.rejectionLimit(); strict && exceeded && b.leavingAt.CompareAndSwap(0, -1) {
		b.world.limitFailures.Add(1)
		b.world.replacing.start(func() { b.world.replaceEnded(b) })
	}
}
