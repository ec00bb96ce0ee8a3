package hedge

import "time"

// Timeouts after which the server of an attempt counts as silent. A server that hangs or is cut off would block the caller
// until the deadline without a hedge.
const (
	// firstByteGoalFactor is the timeout for the first bytes as a multiple of the route's
	// latency goal.
	firstByteGoalFactor = 2
	// minFirstByteTimeout is the minimum timeout for the first bytes: an engine that runs the
	// prefill of another request's long prompt sends nothing for a few hundred milliseconds.
	minFirstByteTimeout = 250 * time.Millisecond
	// minStreamFirstByteTimeout is the minimum for a stream, which the engine may queue.
	minStreamFirstByteTimeout = 1200 * time.Millisecond
	// stallPauseGoalFactor is the stall timeout of a stream as a multiple of the route's
	// pause goal. Callers disconnect after eight times the pause goal.
	stallPauseGoalFactor = 3
	// minStallTimeout is the minimum stall timeout.
	minStallTimeout = 700 * time.Millisecond
)

// FirstByteTimeout returns the timeout for the first bytes of a response that no other server can go on with.
func FirstByteTimeout(goal time.Duration) time.Duration {
	return max(minFirstByteTimeout, firstByteGoalFactor*goal)
}

// StreamTimeouts returns the timeouts of a stream that another server may go on with: for the first bytes and between events.
func StreamTimeouts(goal, pauseGoal time.Duration) (firstByte, stall time.Duration) {
	return max(minStreamFirstByteTimeout, firstByteGoalFactor*goal), max(minStallTimeout, stallPauseGoalFactor*pauseGoal)
}
