package daemon

import (
	"fmt"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Descriptors that callers' connections leave to others: connections to backend servers, to and for peers, to the store and from
// operators, and files. Requests in progress take one at a backend server each, and most callers' connections are idle.
const (
	// reservedShare is the part that is reserved, as a divisor.
	reservedShare = 4
	// minReserved is the smallest number that is reserved, unless fewer than half are left then.
	minReserved = 256
)

// callerConns returns the limit of callers' connections: that of the settings, or what the descriptors of the process leave. most
// is the number of descriptors in the settings, 0 for that of the process alone.
func callerConns(limit, most int) (int, error) {
	descriptors, err := maxDescriptors()
	if err != nil {
		return 0, err
	}
	if most > 0 {
		descriptors = min(descriptors, most)
	}
	left := callersShare(descriptors)
	if left < limit {
		klog.InfoS("callers' connections limited by the file descriptors", "limit", left, "maxConns", limit, "descriptors", descriptors)
	}
	return min(limit, left), nil
}

// callersShare returns the number of descriptors for callers' connections.
func callersShare(descriptors int) int {
	reserved := min(max(minReserved, descriptors/reservedShare), descriptors/2)
	return max(1, descriptors-reserved)
}

// maxDescriptors returns the number of descriptors that the process may open.
func maxDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("daemon: limit of file descriptors: %w", err)
	}
	const most = 1 << 20
	return int(min(limit.Cur, most)), nil
}
