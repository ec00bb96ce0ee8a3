package daemon

import "runtime/debug"

const (
	// megabyte is the unit of max_memory, in bytes.
	megabyte = 1_000_000
	// bodyNumerator and bodyDenominator give the part of the memory that bodies of requests may take. With the collector's
	// overhead, buffers of connections and what an instance takes at rest, the rest is needed.
	bodyNumerator, bodyDenominator = 2, 5
	// heapNumerator and heapDenominator give the part of the memory from which the collector runs more often.
	heapNumerator, heapDenominator = 3, 4
)

// bodyMemory returns the limit, in bytes, of the memory for the bodies of requests: that of the settings, or a part of the memory
// that the process may take, in megabytes, if that is known.
func bodyMemory(limit, memory int) int {
	if memory == 0 {
		return limit
	}
	return min(limit, memory*megabyte/bodyDenominator*bodyNumerator)
}

// limitHeap makes the collector keep the heap below a part of the memory that the process may take, in megabytes, if that is known.
func limitHeap(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(memory) * megabyte / heapDenominator * heapNumerator)
	}
}
