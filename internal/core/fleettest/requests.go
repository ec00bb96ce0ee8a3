package fleettest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// EngineRestart is the time until an engine that ended is back, under a new name.
const EngineRestart = 400 * time.Millisecond

// RunningAttempt is an attempt that an engine holds.
type RunningAttempt struct {
	Instance *FakeInstance
	Attempt  core.SendAttempt
}

// SortedRequests returns the requests of a map in a fixed order.
func SortedRequests[T any](running map[core.RequestID]T) []core.RequestID {
	return slices.Sorted(maps.Keys(running))
}

// StreamRate returns the number of new streams per second in a fleet.
func StreamRate(size FleetSize) int { return min(60, 12+size.Instances/4) }

// StreamCount counts requests, and those of them that brought an event.
type StreamCount struct{ Sent, Served int }

// Add counts a request.
func (c *StreamCount) Add(served bool) {
	c.Sent++
	if served {
		c.Served++
	}
}

// Share returns the share of the requests that brought an event.
func (c StreamCount) Share() float64 { return float64(c.Served) / float64(max(1, c.Sent)) }

// String returns the counts for the log of a test.
func (c StreamCount) String() string { return fmt.Sprintf("%d of %d", c.Served, c.Sent) }
