package fleettest

import (
	"runtime/debug"
	"testing"
)

// gcPercent lets the heap grow to five times what is in use, in place of twice. The simulated fleets hold some megabytes and make
// much garbage, so that collecting it would take a third of their time.
const gcPercent = 400

// Main runs the tests of a package.
func Main(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	m.Run()
}
