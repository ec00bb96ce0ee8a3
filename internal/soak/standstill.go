package soak

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// standstillTick is the interval at which the soak's own process looks at the time, and minStandstill the least
	// lateness that counts.
	standstillTick, minStandstill = 20 * time.Millisecond, 100 * time.Millisecond
)

// standstills records when the process of the soak, and of its callers and backend servers, got no processor.
type standstills struct {
	mu    sync.Mutex
	spans []standstill
}

// standstill is a time for which the process did nothing.
type standstill struct{ from, to time.Duration }

// watch looks at the time until ctx ends.
func (s *standstills) watch(ctx context.Context, elapsed func() time.Duration) {
	last := elapsed()
	for ctx.Err() == nil {
		time.Sleep(standstillTick)
		now := elapsed()
		s.record(standstill{from: last, to: now})
		last = now
	}
}

// record records the time between two looks, if it is longer than it should be.
func (s *standstills) record(between standstill) {
	if between.to-between.from < standstillTick+minStandstill {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, between)
}

// within returns for how much of a time the process stood still.
func (s *standstills) within(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, span := range s.spans {
		sum += max(0, min(span.to, to)-max(span.from, from))
	}
	return sum
}

// all returns the times at which the process stood still.
func (s *standstills) all() []standstill {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.spans)
}
